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

// arrival is a request that reached a server.
type arrival struct {
	id, server string
	deadly     bool
	ran        bool
	at         time.Time
}

// server is a stand-in for a server of the platform, which registers itself in the store.
type server struct {
	w       *world
	id      string
	service string
	address string
	// deadlyPart is the part of a prompt that crashes the server when it begins to write an answer on it; restart is how long it is then away.
	deadlyPart string
	restart    time.Duration
	// plain, if set, answers plain requests.
	plain func(w http.ResponseWriter, r *http.Request, s *server)

	mu       sync.Mutex
	http     *http.Server
	arrivals []arrival
	crashes  []time.Time
	born     int64
}

// start starts a lifetime of the server and writes its entry.
func (s *server) start() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp4", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	h := &http.Server{Handler: s}
	s.mu.Lock()
	s.address, s.http, s.born = listener.Addr().String(), h, time.Now().UnixMilli()
	s.mu.Unlock()
	go func() { _ = h.Serve(listener) }()
	s.register("ready")
	return nil
}

func (s *server) register(state string) {
	s.w.put("servers", s.id, map[string]any{
		"Service": s.service, "Address": s.address, "Zone": "lom-a", "Version": "v1", "Slots": 16, "State": state,
		"ColdRemainingMs": 0, "Sequence": 1, "born": s.born,
	})
}

func (s *server) stop() {
	s.mu.Lock()
	h := s.http
	s.http = nil
	s.mu.Unlock()
	if h != nil {
		_ = h.Close()
	}
}

// crash ends the lifetime: all its channels end, and the next lifetime begins after the restart time.
func (s *server) crash(by string) {
	s.mu.Lock()
	h := s.http
	s.http = nil
	if h != nil {
		s.crashes = append(s.crashes, time.Now())
	}
	s.mu.Unlock()
	if h == nil {
		return
	}
	s.w.printf("crash    server %s by request %s", s.id, by)
	_ = h.Close()
	time.AfterFunc(s.restart, func() {
		if err := s.start(); err != nil {
			s.w.printf("error    server %s did not start again: %v", s.id, err)
			return
		}
		s.w.printf("restart  server %s", s.id)
	})
}

func (s *server) arrive(a arrival) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.server, a.at = s.id, time.Now()
	s.arrivals = append(s.arrivals, a)
	return len(s.arrivals) - 1
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Cicadawall-Request-Id")
	w.Header().Set("Cicadawall-Request-Id", id)
	w.Header().Set("Cicadawall-Instance-Id", s.id)
	if expected := r.Header.Get("Cicadawall-Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Cicadawall-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.plain != nil {
		s.plain(w, r, s)
		return
	}
	prompt := r.Header.Get("Cicadawall-Prompt-Prefix")
	deadly := s.deadlyPart != "" && strings.Contains(prompt, s.deadlyPart+":")
	s.arrive(arrival{id: id, deadly: deadly, ran: true})
	if deadly {
		s.w.printf("arrived  request %s with the deadly part at server %s", id, s.id)
	}
	select {
	case <-time.After(40 * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Cicadawall-Response-Seal", "seal-of-"+id+"-at-"+s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cicadawall-Weight-Versions", "1")
	controller := http.NewResponseController(w)
	if deadly {
		w.WriteHeader(http.StatusOK)
		_ = controller.Flush()
		s.crash(id)
		panic(http.ErrAbortHandler)
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for event := first; event <= streamEvents; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", event, event, id); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-time.After(25 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

// streamEvents is the number of events of a stream.
const streamEvents = 20

// isComplete reports whether a stream holds each event once and in order.
func isComplete(body, id string) bool {
	var want strings.Builder
	for event := 1; event <= streamEvents; event++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d of %s\n\n", event, event, id)
	}
	return body == want.String()
}
