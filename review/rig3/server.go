//go:build review

package rig3

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is a request that a server began to work on.
type Run struct {
	ID, Server, Service, Tenant, Path string
	At                                time.Time
}

// Runs holds what all servers ran.
type Runs struct {
	mu   sync.Mutex
	byID map[string][]Run
}

// NewRuns returns an empty list.
func NewRuns() *Runs { return &Runs{byID: map[string][]Run{}} }

// Add adds a run.
func (r *Runs) Add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[run.ID] = append(r.byID[run.ID], run)
}

// Of returns the runs of a request.
func (r *Runs) Of(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.byID[id]...)
}

// PlainServer is a server of a plain service.
type PlainServer struct {
	ID, Service, Zone, Address string
	work                       time.Duration
	born                       int64
	runs                       *Runs
	store                      *Store
	mu                         sync.Mutex
	sequence                   int64
	state                      string
	// written counts the writes to the store.
	written int
	paused  bool
}

// NewPlainServer starts a server and writes its entry.
func NewPlainServer(id, service, zone string, work time.Duration, store *Store, runs *Runs) *PlainServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Check(err)
	s := &PlainServer{ID: id, Service: service, Zone: zone, Address: listener.Addr().String(), work: work, born: time.Now().UnixMilli(),
		runs: runs, store: store, state: "ready"}
	go func() { _ = http.Serve(listener, s) }()
	s.Write()
	return s
}

// Write writes the entry, with the next sequence number.
func (s *PlainServer) Write() {
	s.mu.Lock()
	s.sequence++
	s.written++
	entry := map[string]any{"Service": s.Service, "Address": s.Address, "Zone": s.Zone, "Version": "v1", "Slots": 6, "State": s.state,
		"ColdRemainingMs": 0, "Sequence": s.sequence, "born": s.born}
	s.mu.Unlock()
	s.store.Put("servers", s.ID, entry)
}

// Written returns the number of writes so far.
func (s *PlainServer) Written() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written
}

// Pause stops or continues the heartbeats, which find no store.
func (s *PlainServer) Pause(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = paused
}

// Beat writes the entry each interval, from an offset on.
func (s *PlainServer) Beat(offset, interval time.Duration) {
	go func() {
		time.Sleep(offset)
		for range time.Tick(interval) {
			s.mu.Lock()
			paused := s.paused
			s.mu.Unlock()
			if !paused {
				s.Write()
			}
		}
	}()
}

// ServeHTTP implements http.Handler.
func (s *PlainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Cicadawall-Instance-Id", s.ID)
	id := r.Header.Get("Cicadawall-Request-Id")
	if id != "" {
		w.Header().Set("Cicadawall-Request-Id", id)
	}
	if expected := r.Header.Get("Cicadawall-Expected-Instance"); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.runs.Add(Run{ID: id, Server: s.ID, Service: s.Service, Tenant: r.Header.Get("Cicadawall-Tenant"), Path: r.URL.Path, At: time.Now()})
	time.Sleep(s.work)
	body := fmt.Sprintf("%s ran %s\n", s.ID, id)
	w.Header().Set("Cicadawall-Response-Seal", "3e1b.07.5a2.600.0."+strconv.FormatInt(time.Now().UnixNano(), 16))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// Answer is what a client got.
type Answer struct {
	ID     string
	Status int
	Err    error
	Took   time.Duration
	Body   string
}

var (
	clientMu  sync.Mutex
	clientSeq int
)

// NewID returns a new request id.
func NewID() string {
	clientMu.Lock()
	defer clientMu.Unlock()
	clientSeq++
	return fmt.Sprintf("9c41d07be2%06x", clientSeq)
}

// Get sends a safe request of the host to the path with a key.
func Get(client *http.Client, address, host, path, key string, deadline time.Duration) Answer {
	id := NewID()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	Check(err)
	request.Host = host
	request.Header.Set("Cicadawall-Request-Id", id)
	request.Header.Set("Cicadawall-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+key)
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return Answer{ID: id, Err: err, Took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Answer{ID: id, Status: response.StatusCode, Err: err, Took: time.Since(began), Body: string(body)}
}
