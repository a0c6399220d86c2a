//go:build review

package rig3

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ModelOptions describe the model servers of a service.
type ModelOptions struct {
	Service string
	// FirstEvent is the time from the arrival of a request to the moment at which the server begins to write its answer.
	FirstEvent time.Duration
	Events     int
	// EventGap is the time between two events.
	EventGap time.Duration
	// DeadlyPart is the part of a prompt on which a server crashes when it begins to write its answer; empty if there is none.
	DeadlyPart string
	// HeadFirst lets a server send the head of its answer before it crashes.
	HeadFirst bool
	// DownTime is how long a crashed server is down.
	DownTime  time.Duration
	Heartbeat time.Duration
}

// Crash is the crash of a server.
type Crash struct {
	Server string
	At     time.Time
}

// Arrival is a request that reached a server.
type Arrival struct {
	ID, Server string
	Deadly     bool
	At         time.Time
}

// Models are the model servers of a service.
type Models struct {
	options ModelOptions
	store   *Store
	record  *Record
	mu      sync.Mutex
	next    int
	crashes []Crash
	arrived []Arrival
	// running is the number of servers that run.
	running int
}

// NewModels starts the servers, one in each of the zones.
func NewModels(options ModelOptions, store *Store, record *Record, zones []string) *Models {
	m := &Models{options: options, store: store, record: record}
	for _, zone := range zones {
		m.start(zone)
	}
	return m
}

// Crashes returns the crashes so far.
func (m *Models) Crashes() []Crash {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Crash(nil), m.crashes...)
}

// Arrivals returns the requests that reached servers.
func (m *Models) Arrivals() []Arrival {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Arrival(nil), m.arrived...)
}

// Running returns the number of servers that run.
func (m *Models) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running
}

// modelServer is one lifetime of a server.
type modelServer struct {
	models   *Models
	id, zone string
	listener net.Listener
	http     *http.Server
	born     int64

	mu       sync.Mutex
	conns    map[net.Conn]bool
	sequence int64
	dead     bool
}

func (m *Models) start(zone string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Check(err)
	m.mu.Lock()
	m.next++
	s := &modelServer{models: m, id: fmt.Sprintf("i-%08x", 0x7f3a9000+m.next), zone: zone, listener: listener, born: time.Now().UnixMilli(),
		conns: map[net.Conn]bool{}}
	m.running++
	m.mu.Unlock()
	s.http = &http.Server{Handler: s, ConnState: s.track}
	go func() { _ = s.http.Serve(listener) }()
	s.write()
	go s.beat()
}

func (s *modelServer) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = true
	case http.StateClosed:
		delete(s.conns, conn)
	}
}

func (s *modelServer) write() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{"Service": s.models.options.Service, "Address": s.listener.Addr().String(), "Zone": s.zone, "Version": "v1", "Slots": 64,
		"State": "ready", "ColdRemainingMs": 0, "Stage": "both", "Models": []any{map[string]any{"Name": "daka510000", "Version": 1, "Adapters": []any{}}},
		"Sequence": s.sequence, "born": s.born}
	s.mu.Unlock()
	s.models.store.Put("servers", s.id, entry)
}

func (s *modelServer) beat() {
	for range time.Tick(s.models.options.Heartbeat) {
		s.mu.Lock()
		dead := s.dead
		s.mu.Unlock()
		if dead {
			return
		}
		s.write()
	}
}

// crash ends the server: its connections are reset, and its entry lapses after three heartbeat intervals. Another lifetime begins when it is back.
func (s *modelServer) crash() {
	s.mu.Lock()
	if s.dead {
		s.mu.Unlock()
		return
	}
	s.dead = true
	conns := s.conns
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	_ = s.listener.Close()
	for conn := range conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	m := s.models
	m.mu.Lock()
	m.crashes = append(m.crashes, Crash{s.id, time.Now()})
	m.running--
	m.mu.Unlock()
	time.AfterFunc(3*m.options.Heartbeat, func() { m.store.Remove("servers", s.id) })
	time.AfterFunc(m.options.DownTime, func() { m.start(s.zone) })
}

// ServeHTTP implements http.Handler.
func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m := s.models
	id := r.Header.Get("Cicadawall-Request-Id")
	w.Header().Set("Cicadawall-Instance-Id", s.id)
	w.Header().Set("Cicadawall-Request-Id", id)
	if expected := r.Header.Get("Cicadawall-Expected-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	deadly := m.options.DeadlyPart != "" && strings.Contains(r.Header.Get("Cicadawall-Prompt-Prefix"), m.options.DeadlyPart+":")
	m.mu.Lock()
	m.arrived = append(m.arrived, Arrival{id, s.id, deadly, time.Now()})
	m.mu.Unlock()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !sleep(r, m.options.FirstEvent) {
		return
	}
	if deadly {
		if m.options.HeadFirst {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cicadawall-Response-Seal", "3e1b.07.5a2.600.0."+strconv.FormatInt(time.Now().UnixNano(), 16))
			w.Header().Set("Cicadawall-Confidence", "100")
			_ = http.NewResponseController(w).Flush()
		}
		m.record.Printf("server %s crashes as it begins to write its answer to %s", s.id, id)
		s.crash()
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cicadawall-Response-Seal", "3e1b.07.5a2.600.0."+strconv.FormatInt(time.Now().UnixNano(), 16))
	w.Header().Set("Cicadawall-Confidence", "100")
	w.Header().Set("Cicadawall-Weight-Versions", "1")
	controller := http.NewResponseController(w)
	for event := after + 1; event <= m.options.Events; event++ {
		if event > after+1 && !sleep(r, m.options.EventGap) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", event, event)
		_ = controller.Flush()
	}
}

// sleep waits; it returns false if the request ends before.
func sleep(r *http.Request, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// StreamAnswer is what a client got of a stream.
type StreamAnswer struct {
	ID     string
	Status int
	// Events is the number of events, Whole is set if all came, once each and in order, and the answer ended as complete.
	Events int
	Whole  bool
	Err    error
	// First is the time to the first event.
	First time.Duration
}

// Stream sends a request with a prompt to a machine, on a new connection, and reads its stream.
func Stream(address, host, path, key, prompt string, tokens, events int, deadline time.Duration) StreamAnswer {
	answer := StreamAnswer{ID: NewID()}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	client := &http.Client{Transport: transport, Timeout: deadline}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(bytes.Repeat([]byte("x"), tokens)))
	Check(err)
	request.Host = host
	request.Header.Set("Cicadawall-Request-Id", answer.ID)
	request.Header.Set("Cicadawall-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Cicadawall-Model", "*")
	request.Header.Set("Cicadawall-Token-Counts", fmt.Sprintf("%d,%d", tokens, 5*events))
	request.Header.Set("Cicadawall-Prompt-Prefix", prompt)
	request.Header.Set("Authorization", "Bearer "+key)
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	answer.Status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return answer
	}
	inOrder := true
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if answer.Events == 0 {
				answer.First = time.Since(began)
			}
			answer.Events++
			inOrder = inOrder && text == strconv.Itoa(answer.Events)
		}
	}
	answer.Err = lines.Err()
	answer.Whole = inOrder && answer.Events == events && answer.Err == nil
	return answer
}
