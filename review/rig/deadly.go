//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// deadlyPart sends groups of requests that share a part of their prompts which crashes each server that begins to write an answer on it, and
// counts those that reach servers later than ContactMs after the fifth crash. Nothing else is disturbed.
func deadlyPart(w *world, trouble bool) (bool, error) {
	const (
		groups     = 4
		groupSize  = 4
		groupEvery = 5 * time.Second
		allowed    = 3
	)
	w.manifest([]map[string]any{{
		"Name": "guide", "Host": host, "PathPrefix": "/guide/", "Kind": "streaming", "Service": "assist", "TimeoutMs": 25000, "TargetLatencyMs": 4000,
		"TargetGapMs": 2000, "MaxAttempts": 3, "Priority": 1, "StreamResumption": true, "SessionAffinity": true,
	}}, []map[string]any{{"Name": "assist", "MaxConnections": 290, "HealthCheckPath": "/health", "Engine": map[string]any{
		"Slots": 16, "Models": []map[string]any{{"Name": "m1", "Cost": 0.1}}}}})
	var servers []*server
	for n := range 8 {
		s := &server{w: w, id: fmt.Sprintf("i-%d", n+1), service: "assist", deadlyPart: "dead0001", restart: 3 * time.Second}
		if err := s.start(); err != nil {
			return false, err
		}
		servers = append(servers, s)
		defer s.stop()
	}
	if err := w.add(3); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)

	// Sound requests share the first part of the others; each has a subject and a part of its own.
	var sound, soundBroken, soundRefused atomic.Int64
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			wait.Go(func() {
				id := fmt.Sprintf("sound-%04d", n)
				a := send(w.instances[n%3], requestOptions{method: http.MethodPost, path: "/guide/x", id: id, key: apiKey, deadline: 25 * time.Second,
					prompt: fmt.Sprintf("5c1e07a2:512,%08x:400,%08x:200", 0x100+n%20, 0x10000+n)})
				sound.Add(1)
				switch {
				case a.status == 200 && a.err == nil && isComplete(a.body, id):
				case a.status == 503:
					soundRefused.Add(1)
					w.printf("answer   request %s: 503 after %d ms", id, a.duration.Milliseconds())
				default:
					soundBroken.Add(1)
					w.printf("answer   request %s: %d, %d bytes, error %v, after %d ms", id, a.status, len(a.body), a.err, a.duration.Milliseconds())
				}
			})
		}
	})
	time.Sleep(2 * time.Second)
	part := "dead0001"
	if !trouble {
		part = "900d0001"
	}
	for g := range groups {
		for n := range groupSize {
			wait.Go(func() {
				id := fmt.Sprintf("group-%d-%d", g+1, n+1)
				w.printf("sent     request %s to %s", id, w.instances[n%3].name)
				a := send(w.instances[n%3], requestOptions{method: http.MethodPost, path: "/guide/x", id: id, key: apiKey, deadline: 25 * time.Second,
					prompt: fmt.Sprintf("5c1e07a2:512,%s:400,%08x:200", part, 0x20000+g*100+n)})
				w.printf("answer   request %s: %d, %d bytes, after %d ms", id, a.status, len(a.body), a.duration.Milliseconds())
			})
		}
		time.Sleep(groupEvery)
	}
	close(stop)
	wait.Wait()

	var crashes []time.Time
	var arrivals []arrival
	for _, s := range servers {
		s.mu.Lock()
		crashes = append(crashes, s.crashes...)
		for _, a := range s.arrivals {
			if a.deadly {
				arrivals = append(arrivals, a)
			}
		}
		s.mu.Unlock()
	}
	w.printf("sound requests: %d sent, %d refused, %d broken off or failed", sound.Load(), soundRefused.Load(), soundBroken.Load())
	w.printf("crashes: %d; requests with the part that reached servers: %d", len(crashes), len(arrivals))
	if len(crashes) < 5 {
		return false, nil
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for _, a := range arrivals {
		if a.at.After(crashes[4].Add(contact)) {
			late++
		}
	}
	w.printf("the fifth crash was at %.3f; later than %s after it, %d requests with the part reached servers; the rule allows %d",
		crashes[4].Sub(w.started).Seconds(), contact, late, allowed)
	return late > allowed, nil
}
