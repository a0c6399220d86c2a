//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Bounds of the deployment for the rule RECOVER.
const (
	recoveryTime   = 12 * time.Second
	rolloutSeconds = 12
	downTime       = 600 * time.Millisecond
)

// plainServers starts four servers of a version, of whose answers a share are failures.
func (f *fleet) plainServers(version, generation string, failing float64) []*server {
	var servers []*server
	for n := range 4 {
		s := &server{id: fmt.Sprintf("i-%s-%s-%d", version, generation, n), service: "orders", version: version, slots: 6, queue: 24}
		s.work = func(w http.ResponseWriter, r *http.Request, body string) {
			id := r.Header.Get("Cicadawall-Request-Id")
			if !sleep(r, 30*time.Millisecond) {
				return
			}
			s.seal(w)
			if rand.Float64() < failing {
				record("%s runs at %s: 500", id, s.id)
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			record("%s runs at %s: 200", id, s.id)
			_, _ = fmt.Fprintf(w, "answer to %s", id)
		}
		servers = append(servers, f.startServer(s))
	}
	return servers
}

// rollOut orders a version and waits for the state that the system records.
func (f *fleet) rollOut(version string) string {
	f.store.put("op", "rollout/orders", map[string]any{"Service": "orders", "Target": version, "DurationS": rolloutSeconds})
	record("the operator orders orders %s, to be done in %d s", version, rolloutSeconds)
	for deadline := time.Now().Add((rolloutSeconds + 6) * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		var status struct{ State, Target string }
		if f.store.value("status", "rollout/orders", &status) && status.Target == version &&
			(status.State == "completed" || status.State == "rolled_back") && f.statusIsNewer() {
			record("the system records orders %s: %s", version, status.State)
			return status.State
		}
	}
	return "unfinished"
}

// statusIsNewer reports whether the recorded state was written after the last order.
func (f *fleet) statusIsNewer() bool {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.rows[rowKey{"status", "", "rollout/orders"}].RowVersion > f.store.rows[rowKey{"op", "", "rollout/orders"}].RowVersion
}

func drainAll(servers []*server) {
	time.Sleep(2 * time.Second)
	var done sync.WaitGroup
	for _, s := range servers {
		done.Go(s.drain)
	}
	done.Wait()
}

// caseRecover: a version is rolled back, ordered again and completed; a later version is rolled back. Then all processes are killed and
// start again.
func caseRecover() {
	f := newFleet(3)
	services := []any{map[string]any{"Name": "orders", "HealthCheckPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false}}
	look := manifestRoute("look", "safe", "orders", nil)
	buy := manifestRoute("buy", "non_idempotent", "orders", map[string]any{"MaxAttempts": 1})
	f.putManifest(7, services, look, buy)
	old := f.plainServers("v1", "a", 0)
	f.start()

	var mu sync.Mutex
	var answers []answer
	stop := make(chan struct{})
	ask := func(method, path string) func() {
		return func() {
			q := request{id: newID(), method: method, path: path, body: "order", deadline: 3 * time.Second}
			record("%s sent: %s %s", q.id, method, path)
			a := f.send(q)
			record("%s answered by %s: %d %v", q.id, a.instance, a.status, a.err)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		}
	}
	go every(50, stop, ask(http.MethodGet, "/look/1"))
	go every(15, stop, ask(http.MethodPost, "/buy/1"))
	time.Sleep(3 * time.Second)

	bad := f.plainServers("v2", "a", 0.5)
	if state := f.rollOut("v2"); state != "rolled_back" {
		cannotRun("v2, half of whose answers fail, ended as %s", state)
	}
	drainAll(bad)
	f.plainServers("v2", "b", 0)
	if state := f.rollOut("v2"); state != "completed" {
		cannotRun("v2, whose answers are good now, ended as %s", state)
	}
	for _, s := range old {
		s.stop()
	}
	bad = f.plainServers("v3", "a", 0.5)
	if state := f.rollOut("v3"); state != "rolled_back" {
		cannotRun("v3, half of whose answers fail, ended as %s", state)
	}
	drainAll(bad)
	time.Sleep(3 * time.Second)

	before := time.Now()
	f.putManifest(9, services, look, buy, manifestRoute("stock", "safe", "orders", nil))
	if trouble {
		f.killAll(downTime)
	}
	back := time.Now()
	record("the machines are back")
	time.Sleep(recoveryTime + 10*time.Second)
	close(stop)
	time.Sleep(3200 * time.Millisecond)

	mu.Lock()
	defer mu.Unlock()
	served := func(from, to time.Time) (int, int) {
		good, all := 0, 0
		for _, a := range answers {
			if a.sent.After(from) && a.sent.Before(to) {
				all++
				if a.served() {
					good++
				}
			}
		}
		return good, all
	}
	goodBefore, allBefore := served(before.Add(-3*time.Second), before)
	goodAfter, allAfter := served(back.Add(recoveryTime), time.Now())
	record("served in the 3 s before the final fault: %d of %d", goodBefore, allBefore)
	record("served of those sent later than %v after the machines were back: %d of %d", recoveryTime, goodAfter, allAfter)
	if allBefore < 20 || allAfter < 20 || 4*goodBefore < allBefore {
		cannotRun("too few requests were served before the final fault: %d of %d", goodBefore, allBefore)
	}
	if 4*goodAfter < allAfter {
		end(1, "RECOVER is broken: %d of %d requests are served after the final fault, %d of %d before", goodAfter, allAfter, goodBefore, allBefore)
	}
	end(0, "RECOVER holds: %d of %d requests are served at the end, %d of %d before", goodAfter, allAfter, goodBefore, allBefore)
}
