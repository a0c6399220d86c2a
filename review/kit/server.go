//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for one lifetime of a backend server: it registers in the store, runs requests in slots and queues a few more.
type server struct {
	id, service, version string
	slots, queue         int
	// retryAfter, if not empty, is the time in seconds for which a full server wants no requests.
	retryAfter string
	fleet      *fleet
	// work serves a request that has a slot.
	work func(w http.ResponseWriter, r *http.Request, body string)

	address  string
	born     int64
	listener net.Listener
	http     *http.Server
	places   chan struct{}
	running  chan struct{}
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

func (f *fleet) startServer(s *server) *server {
	s.fleet = f
	s.places, s.running = make(chan struct{}, s.slots+s.queue), make(chan struct{}, s.slots)
	s.conns = map[net.Conn]struct{}{}
	s.born = time.Now().UnixMilli()
	s.listen(loopback + ":0")
	s.register("ready")
	return s
}

func (s *server) listen(address string) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		cannotRun("listen for a server: %v", err)
	}
	s.listener, s.address = listener, listener.Addr().String()
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.trackConn}
	go func() { _ = s.http.Serve(listener) }()
}

func (s *server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.conns[c] = struct{}{}
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
	}
}

// register writes the server's entry in the platform's store.
func (s *server) register(state string) {
	s.fleet.store.put("servers", s.id, map[string]any{
		"Service": s.service, "Address": s.address, "Zone": "zone-a", "Version": s.version, "Slots": s.slots, "State": state,
		"ColdRemainingMs": 0, "Sequence": 1, "Stage": "both", "Models": []any{}, "born": s.born,
	})
	record("server %s (%s %s at %s) is %s", s.id, s.service, s.version, s.address, state)
}

// drain reports that the server leaves, serves for drainTime and a little longer, and ends.
func (s *server) drain() {
	s.register("draining")
	time.Sleep(drainTime + 500*time.Millisecond)
	s.stop()
}

// stop ends the server at once and removes its entry.
func (s *server) stop() {
	s.fleet.store.remove("servers", s.id)
	_ = s.http.Close()
	record("server %s has ended", s.id)
}

// crash resets all channels and refuses new ones for the time; then the server is back.
func (s *server) crash(down time.Duration) {
	s.mu.Lock()
	_ = s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	s.mu.Unlock()
	time.AfterFunc(down, func() {
		s.born = time.Now().UnixMilli()
		s.listen(s.address)
		s.register("ready")
	})
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Cicadawall-Request-Id")
	header := w.Header()
	header.Set("Cicadawall-Instance-Id", s.id)
	header.Set("Cicadawall-Request-Id", id)
	if expected := r.Header.Get("Cicadawall-Expected-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.places <- struct{}{}:
	default:
		record("%s reaches %s, which is full and does not run it: 503", id, s.id)
		header.Set("Cicadawall-Not-Executed", "1")
		if s.retryAfter != "" {
			header.Set("Retry-After", s.retryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.places }()
	deadline := 30 * time.Second
	if millis, err := strconv.Atoi(r.Header.Get("Cicadawall-Request-Deadline")); err == nil {
		deadline = time.Duration(millis) * time.Millisecond
	}
	select {
	case s.running <- struct{}{}:
	case <-time.After(deadline):
		header.Set("Cicadawall-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.running }()
	s.work(w, r, string(body))
}

// seal sets the proof of the server.
func (s *server) seal(w http.ResponseWriter) {
	w.Header().Set("Cicadawall-Response-Seal", "seal."+s.id)
}

// sleep waits unless the caller closes the channel; it reports whether the whole time passed.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// firstEvent returns the number of the event after the one that Last-Event-Id names.
func firstEvent(r *http.Request) int {
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		return last + 1
	}
	return 1
}

// events writes the events of a stream after the one that Last-Event-Id names.
func events(w http.ResponseWriter, r *http.Request, count int, pause time.Duration) {
	controller := http.NewResponseController(w)
	for n := firstEvent(r); n <= count; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 40))
		_ = controller.Flush()
		if n < count && !sleep(r, pause) {
			return
		}
	}
}

// manifestRoute returns a route of the manifest.
func manifestRoute(name, kind, service string, more map[string]any) map[string]any {
	route := map[string]any{
		"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "Kind": kind, "Service": service, "TimeoutMs": 1500,
		"TargetLatencyMs": 300, "Priority": 2, "MaxAttempts": 2, "AllowAnonymous": false,
	}
	for key, value := range more {
		route[key] = value
	}
	return route
}

// putManifest writes a version of the manifest, as the operator does.
func (f *fleet) putManifest(version int, services []any, routes ...any) {
	f.store.put("op", "config", map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{apiKey}, "Priority": 1}},
	})
	record("manifest %d acknowledged", version)
}
