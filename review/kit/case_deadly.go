//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	contactTime    = 3 * time.Second
	deadlyPart     = "91bd3f06"
	restartTime    = 2 * time.Second
	maxAfterCrash  = 3
	crashesBefore  = 5
	deadlyRate     = 1.0
	soundRate      = 12.0
	deadlyDuration = 20 * time.Second
)

// caseDeadly: one part of a prompt crashes each server that begins to write an answer on it.
func caseDeadly() {
	f := newFleet(2)
	f.putManifest(7, []any{map[string]any{
		"Name": "models", "HealthCheckPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
		"Engine": map[string]any{"Slots": 8, "KvCacheTokens": 595276, "Models": []any{map[string]any{"Name": smallModel, "Cost": 0.018}}},
	}}, manifestRoute("draft", "streaming", "models", map[string]any{
		"TimeoutMs": 8000, "TargetLatencyMs": 2000, "MaxAttempts": 3, "SessionAffinity": true, "StreamResumption": true, "TargetGapMs": 2000,
	}))

	var mu sync.Mutex
	var crashes []time.Time
	deadlySent, deadlyAfter := map[string]time.Time{}, 0
	for n := range 4 {
		s := &server{id: fmt.Sprintf("i-model-%d", n), service: "models", version: "v1", slots: 8, queue: 8}
		s.work = func(w http.ResponseWriter, r *http.Request, _ string) {
			id := r.Header.Get("Cicadawall-Request-Id")
			deadly := strings.Contains(r.Header.Get("Cicadawall-Prompt-Prefix"), deadlyPart+":")
			if deadly {
				mu.Lock()
				after := len(crashes) >= crashesBefore && deadlySent[id].After(crashes[crashesBefore-1].Add(contactTime))
				if after {
					deadlyAfter++
				}
				record("%s, which has the part that crashes servers, reaches %s (counted: %v)", id, s.id, after)
				mu.Unlock()
			}
			if !sleep(r, 60*time.Millisecond) {
				return
			}
			s.seal(w)
			w.Header().Set("Content-Type", "text/event-stream")
			if !deadly {
				events(w, r, 16, 30*time.Millisecond)
				return
			}
			events(w, r, firstEvent(r), 0)
			time.Sleep(10 * time.Millisecond)
			mu.Lock()
			crashes = append(crashes, time.Now())
			record("%s has begun to write an answer on %s, with one event, and crashes (crash %d)", s.id, id, len(crashes))
			mu.Unlock()
			s.crash(restartTime)
		}
		f.startServer(s)
	}
	f.start()

	sound := map[bool][2]int{}
	ask := func(part string, deadly bool) {
		id := newID()
		if deadly {
			mu.Lock()
			deadlySent[id] = time.Now()
			mu.Unlock()
		}
		record("%s sent: POST /draft/1 with part %s", id, part)
		a := f.send(request{id: id, method: http.MethodPost, path: "/draft/1", body: "draft", deadline: 8 * time.Second, header: map[string]string{
			"Cicadawall-Model": smallModel, "Cicadawall-Token-Counts": "1110,80",
			"Cicadawall-Prompt-Prefix": "5c1e07a2:800," + part + ":210," + id[:8] + ":100",
		}})
		record("%s answered by %s: %d %v", id, a.instance, a.status, a.err)
		if deadly {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		after := len(crashes) > 0
		counts := sound[after]
		counts[1]++
		if a.served() {
			counts[0]++
		}
		sound[after] = counts
	}
	stop := make(chan struct{})
	number := 0
	go every(soundRate, stop, func() {
		mu.Lock()
		number++
		part := fmt.Sprintf("e440%04x", number%12)
		mu.Unlock()
		ask(part, false)
	})
	time.Sleep(5 * time.Second)
	if trouble {
		go every(deadlyRate, stop, func() { ask(deadlyPart, true) })
	}
	time.Sleep(deadlyDuration)
	close(stop)
	time.Sleep(8500 * time.Millisecond)

	mu.Lock()
	defer mu.Unlock()
	record("crashes of servers: %d", len(crashes))
	record("sound requests served before the first crash: %d of %d; after it: %d of %d", sound[false][0], sound[false][1], sound[true][0], sound[true][1])
	if 10*sound[false][0] < 9*sound[false][1] || trouble && len(crashes) < crashesBefore {
		cannotRun("the servers did not work as they should before the first crash, or did not crash")
	}
	if deadlyAfter > maxAfterCrash {
		end(1, "BUDGET is broken: %d requests with the part reached servers later than %v after the fifth of %d crashes; sound requests served: %d of %d",
			deadlyAfter, contactTime, len(crashes), sound[true][0], sound[true][1])
	}
	end(0, "BUDGET holds: %d requests with the part reached servers later than %v after the fifth of %d crashes", deadlyAfter, contactTime, len(crashes))
}
