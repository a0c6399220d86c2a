//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// channelAnswer is what a requester reads from its channel: the status lines, and the error that ended the reading before a final answer.
type channelAnswer struct {
	statuses []string
	err      error
	duration time.Duration
}

// sendOnChannel sends an order on a new channel and reads heads until a final answer is complete, or the requester's deadline.
func sendOnChannel(i *instance, id string, deadline time.Duration) channelAnswer {
	began := time.Now()
	conn, err := net.DialTimeout("tcp4", i.front, time.Second)
	if err != nil {
		return channelAnswer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(deadline))
	body := "order " + id
	_, err = fmt.Fprintf(conn, "POST /book/x HTTP/1.1\r\nHost: %s\r\nCicadawall-Request-Id: %s\r\nCicadawall-Request-Deadline: %d\r\n"+
		"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", host, id, deadline.Milliseconds(), apiKey, len(body), body)
	if err != nil {
		return channelAnswer{err: err}
	}
	var a channelAnswer
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			a.err, a.duration = err, time.Since(began)
			return a
		}
		a.statuses = append(a.statuses, response.Status)
		if response.StatusCode >= http.StatusOK {
			_, a.err = io.Copy(io.Discard, response.Body)
			a.duration = time.Since(began)
			return a
		}
	}
}

// switchingProtocols sends orders while one of three servers spoils a few of its answers: after it has run the order it sends the head of an
// interim answer that nobody asked for, and nothing more. It looks for orders whose requesters got these bytes and no answer by their deadline.
func switchingProtocols(w *world, trouble bool) (bool, error) {
	const (
		rounds     = 5
		roundTime  = 5500 * time.Millisecond
		calm       = 3 * time.Second
		spoilEvery = 40
		every      = 30 * time.Millisecond
		deadline   = 3 * time.Second
		warmUp     = 60
	)
	w.manifest([]map[string]any{{
		"Name": "book", "Host": host, "PathPrefix": "/book/", "Kind": "non_idempotent", "Service": "field", "TimeoutMs": 1500, "TargetLatencyMs": 300,
		"MaxAttempts": 1, "Priority": 2,
	}}, []map[string]any{{"Name": "field", "MaxConnections": 96, "HealthCheckPath": "/health"}})
	var mu sync.Mutex
	runsAt := map[string]int{}
	faulty, faultyRuns := "", 0
	var spoilt []string
	serve := func(rw http.ResponseWriter, r *http.Request, s *server) {
		id := r.Header.Get("Cicadawall-Request-Id")
		time.Sleep(30 * time.Millisecond)
		mu.Lock()
		runsAt[s.id]++
		spoil := false
		if s.id == faulty {
			faultyRuns++
			spoil = faultyRuns%spoilEvery == spoilEvery/2
		}
		if spoil {
			spoilt = append(spoilt, id)
		}
		mu.Unlock()
		if !spoil {
			rw.Header().Set("Cicadawall-Response-Seal", "seal-of-"+id+"-at-"+s.id)
			_, _ = fmt.Fprintf(rw, "order %s placed", id)
			return
		}
		w.printf("ran      order %s at server %s, which spoils the answer", id, s.id)
		conn, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nCicadawall-Request-Id: "+id+"\r\n\r\n")
		// The server keeps the channel until its caller closes it.
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.Copy(io.Discard, conn)
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
	unanswered, sent := 0, 0
	send := func() {
		id := fmt.Sprintf("order-%05d", sent)
		target := w.instances[sent%2]
		sent++
		wait.Go(func() {
			a := sendOnChannel(target, id, deadline)
			w.printf("answer   order %s: %q after %d ms, error %v", id, a.statuses, a.duration.Milliseconds(), a.err)
			if a.err != nil && len(a.statuses) > 0 && strings.HasPrefix(a.statuses[0], "1") {
				mu.Lock()
				unanswered++
				mu.Unlock()
			}
		})
		time.Sleep(every)
	}
	for range warmUp {
		send()
	}
	for round := range rounds {
		mu.Lock()
		most := ""
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			if most == "" || runsAt[id] > runsAt[most] {
				most = id
			}
		}
		if trouble {
			faulty = most
		}
		mu.Unlock()
		w.printf("round %d: server %s spoils one in %d of its answers: %t", round+1, most, spoilEvery, trouble)
		for end := time.Now().Add(roundTime); time.Now().Before(end); {
			send()
		}
		mu.Lock()
		faulty = ""
		mu.Unlock()
		for end := time.Now().Add(calm); time.Now().Before(end); {
			send()
		}
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.printf("orders sent: %d; answers spoilt: %d; requesters that got a status 1xx and no answer by their deadline: %d", sent, len(spoilt), unanswered)
	return unanswered > 0, nil
}
