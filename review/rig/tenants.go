//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lastTenant takes the only tenant away by a new manifest, whose list of tenants is then empty, and looks for requests that run although their key
// was dropped or never existed.
func lastTenant(w *world, trouble bool) (bool, error) {
	const (
		configuration = 2 * time.Second
		perKey        = 10
	)
	var mu sync.Mutex
	ran := map[string]string{}
	serve := func(rw http.ResponseWriter, r *http.Request, s *server) {
		id := r.Header.Get("Cicadawall-Request-Id")
		mu.Lock()
		ran[id] = r.Header.Get("Cicadawall-Tenant")
		mu.Unlock()
		w.printf("ran      order %s at server %s for tenant %q", id, s.id, r.Header.Get("Cicadawall-Tenant"))
		rw.Header().Set("Cicadawall-Response-Seal", "seal-of-"+id+"-at-"+s.id)
		_, _ = fmt.Fprintf(rw, "order %s placed", id)
	}
	for n := range 3 {
		s := &server{w: w, id: fmt.Sprintf("i-%d", n+1), service: "field", plain: serve}
		if err := s.start(); err != nil {
			return false, err
		}
		defer s.stop()
	}
	routes := []map[string]any{{
		"Name": "book", "Host": host, "PathPrefix": "/book/", "Kind": "non_idempotent", "Service": "field", "TimeoutMs": 1500, "TargetLatencyMs": 300,
		"MaxAttempts": 1, "Priority": 2,
	}}
	services := []map[string]any{{"Name": "field", "MaxConnections": 96, "HealthCheckPath": "/health"}}
	w.manifest(routes, services)
	if err := w.add(2); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	order := func(id, key string) answer {
		a := send(w.instances[len(id)%2], requestOptions{method: http.MethodPost, path: "/book/x", id: id, key: key, deadline: 3 * time.Second,
			body: []byte("order")})
		w.printf("answer   order %s: %d", id, a.status)
		return a
	}
	for n := range perKey {
		if a := order(fmt.Sprintf("before-%d", n), apiKey); a.status != http.StatusOK {
			return false, fmt.Errorf("an order was answered %d before the change", a.status)
		}
		if a := order(fmt.Sprintf("forged-before-%d", n), "forged"); a.status != http.StatusUnauthorized {
			return false, fmt.Errorf("an order with a forged key was answered %d before the change", a.status)
		}
	}
	if trouble {
		w.tenants = []map[string]any{}
		w.manifest(routes, services)
		w.printf("manifest version %d takes the only tenant away", w.version)
	}
	time.Sleep(configuration + 2*time.Second)
	for n := range perKey {
		if trouble {
			order(fmt.Sprintf("dropped-%d", n), apiKey)
		}
		order(fmt.Sprintf("forged-%d", n), "forged")
		order(fmt.Sprintf("keyless-%d", n), "")
	}
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	broken := map[string]int{}
	for id := range ran {
		for _, kind := range []string{"dropped", "forged", "keyless"} {
			if len(id) > len(kind) && id[:len(kind)] == kind {
				broken[kind]++
			}
		}
	}
	w.printf("later than ConfigurationMs after the change, %d orders with the dropped key, %d with a forged key and %d without one ran",
		broken["dropped"], broken["forged"], broken["keyless"])
	return broken["forged"] > 0, nil
}
