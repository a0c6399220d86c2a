//go:build review

package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	smallModel, largeModel = "daka510000", "ravo486f6a"
	// baseRate is the usual rate of requests, and burstFactor times that is the rate while many users come at once.
	baseRate    = 22.0
	burstFactor = 1.7
	burstTime   = 3 * time.Second
)

// caseRefused: many users come at once on a route whose streams may not be resumed and whose model the system chooses.
func caseRefused() {
	f := newFleet(2)
	f.putManifest(7, []any{map[string]any{
		"Name": "models", "HealthCheckPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
		"Engine": map[string]any{"Slots": 8, "KvCacheTokens": 595276, "Models": []any{
			map[string]any{"Name": smallModel, "Cost": 0.018}, map[string]any{"Name": largeModel, "Cost": 0.26},
		}},
	}}, manifestRoute("draft", "streaming", "models", map[string]any{
		"TimeoutMs": 8000, "TargetLatencyMs": 2000, "MaxAttempts": 3, "SessionAffinity": true, "StreamResumption": false,
		"TargetGapMs": 2000, "Sizes": []string{smallModel, largeModel},
	}))

	var mu sync.Mutex
	runs := map[string][]string{}
	for n := range 3 {
		s := &server{id: fmt.Sprintf("i-model-%d", n), service: "models", version: "v1", slots: 8, queue: 4, retryAfter: "1"}
		s.work = func(w http.ResponseWriter, r *http.Request, _ string) {
			id, model := r.Header.Get("Cicadawall-Request-Id"), r.Header.Get("Cicadawall-Model")
			// The large model takes more of the server's time.
			prefill, pause, confidence := 40*time.Millisecond, 10*time.Millisecond, "10"
			if model == largeModel {
				prefill, pause, confidence = 250*time.Millisecond, 30*time.Millisecond, "95"
			}
			if !sleep(r, prefill) {
				return
			}
			mu.Lock()
			runs[id] = append(runs[id], s.id+" with "+model)
			mu.Unlock()
			record("%s runs at %s with %s", id, s.id, model)
			s.seal(w)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cicadawall-Confidence", confidence)
			events(w, r, 16, pause)
		}
		f.startServer(s)
	}
	f.start()

	var answers []answer
	ask := func() {
		id := newID()
		record("%s sent: POST /draft/1", id)
		a := f.send(request{id: id, method: http.MethodPost, path: "/draft/1", body: "draft", deadline: 8 * time.Second, header: map[string]string{
			"Cicadawall-Model": "*", "Cicadawall-Token-Counts": "900,80", "Cicadawall-Prompt-Prefix": "5c1e07a2:800," + id + ":100",
		}})
		record("%s answered by %s: %d %v", id, a.instance, a.status, a.err)
		mu.Lock()
		answers = append(answers, a)
		mu.Unlock()
	}
	stop := make(chan struct{})
	go every(baseRate, stop, ask)
	time.Sleep(4 * time.Second)
	for range 6 {
		if trouble {
			record("many users come at once: %.1f times the usual traffic", burstFactor)
			extra := make(chan struct{})
			go every(baseRate*(burstFactor-1), extra, ask)
			time.Sleep(burstTime)
			close(extra)
		} else {
			time.Sleep(burstTime)
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	time.Sleep(8500 * time.Millisecond)

	mu.Lock()
	defer mu.Unlock()
	counts := map[int]int{}
	broken := 0
	for _, a := range answers {
		counts[a.status]++
		if (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && len(runs[a.id]) > 0 {
			broken++
			record("%s was answered %d and has run: %v", a.id, a.status, runs[a.id])
		}
	}
	var statuses []int
	for status := range counts {
		statuses = append(statuses, status)
	}
	sort.Ints(statuses)
	for _, status := range statuses {
		record("answers with status %d: %d", status, counts[status])
	}
	if 2*counts[http.StatusOK] < len(answers) {
		cannotRun("only %d of %d requests were served", counts[http.StatusOK], len(answers))
	}
	if broken > 0 {
		end(1, "REFUSED is broken: %d of %d requests were answered 429 or 503 and had run", broken, len(answers))
	}
	end(0, "REFUSED holds: %d requests, none refused that had run", len(answers))
}
