//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// busyAfterRun sends orders, which run at most once, while one of three servers runs a part of them and fails them with status 503 and its seal,
// without the header by which a server says that it has not run a request. It looks for orders that ran and were answered 503, which promises
// the requester that they have not.
func busyAfterRun(w *world, trouble bool) (bool, error) {
	const (
		share    = 0.45
		greyTime = 6500 * time.Millisecond
		every    = 60 * time.Millisecond
		warmUp   = 40
	)
	w.manifest([]map[string]any{{
		"Name": "book", "Host": host, "PathPrefix": "/book/", "Kind": "non_idempotent", "Service": "field", "TimeoutMs": 1500, "TargetLatencyMs": 300,
		"MaxAttempts": 1, "Priority": 2,
	}}, []map[string]any{{"Name": "field", "MaxConnections": 96, "HealthCheckPath": "/health"}})
	var mu sync.Mutex
	var ran []string
	var greyFrom time.Time
	greyRuns, greyServer := 0, ""
	runsAt := map[string]int{}
	serve := func(rw http.ResponseWriter, r *http.Request, s *server) {
		id := r.Header.Get("Cicadawall-Request-Id")
		time.Sleep(30 * time.Millisecond)
		mu.Lock()
		ran = append(ran, id)
		runsAt[s.id]++
		grey := trouble && s.id == greyServer && !greyFrom.IsZero() && time.Since(greyFrom) < greyTime
		fails := false
		if grey {
			greyRuns++
			fails = int(float64(greyRuns)*share) > int(float64(greyRuns-1)*share)
		}
		mu.Unlock()
		rw.Header().Set("Cicadawall-Response-Seal", "seal-of-"+id+"-at-"+s.id)
		if fails {
			w.printf("ran      order %s at server %s, which fails it with 503", id, s.id)
			rw.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(rw, "the order could not be confirmed")
			return
		}
		_, _ = io.WriteString(rw, "order "+id+" placed")
	}
	for n := range 3 {
		s := &server{w: w, id: fmt.Sprintf("i-%d", n+1), service: "field", plain: serve}
		if err := s.start(); err != nil {
			return false, err
		}
		defer s.stop()
	}
	if err := w.add(2); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	var wait sync.WaitGroup
	var promised []string
	repeated := 0
	for n := 0; greyFrom.IsZero() || time.Since(greyFrom) < greyTime; n++ {
		if n == warmUp {
			// The server that gets most orders turns grey; one without orders would show nothing.
			mu.Lock()
			for _, id := range []string{"i-1", "i-2", "i-3"} {
				if greyServer == "" || runsAt[id] > runsAt[greyServer] {
					greyServer = id
				}
			}
			greyFrom = time.Now()
			mu.Unlock()
			w.printf("grey     server %s: %t", greyServer, trouble)
		}
		wait.Go(func() {
			// A requester repeats an order once, with an id of its own, after a promise that it has not run.
			for attempt := range 2 {
				id := fmt.Sprintf("order-%04d-%d", n, attempt+1)
				a := send(w.instances[(n+attempt)%2], requestOptions{method: http.MethodPost, path: "/book/x", id: id, key: apiKey, deadline: 3 * time.Second,
					body: []byte("order " + fmt.Sprint(n))})
				w.printf("answer   order %s: %d, seal %q, error %v", id, a.status, a.seal, a.err)
				if a.status != 503 && a.status != 429 && a.status != 408 && a.status != 421 {
					return
				}
				mu.Lock()
				promised = append(promised, id)
				repeated++
				mu.Unlock()
			}
		})
		time.Sleep(every)
	}
	wait.Wait()
	time.Sleep(time.Second)
	broken := 0
	for _, id := range promised {
		if slices.Contains(ran, id) {
			broken++
		}
	}
	w.printf("orders that ran: %d; answered with a promise that they have not run: %d; of these, ran: %d", len(ran), len(promised), broken)
	return broken > 0, nil
}
