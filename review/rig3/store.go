//go:build review

// Package rig3 holds the stand-ins of the cases 11 to 15: the platform's store, servers, clients, and the start of the project's processes.
package rig3

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Row is a row of the store as the page shows it.
type Row struct {
	Table      string
	Part       string `json:"part"`
	Key        string
	Value      []byte `json:",omitempty"`
	RowVersion int64
	Deleted    bool `json:",omitempty"`
}

type rowID struct{ table, part, key string }

type change struct {
	row Row
	at  time.Time
}

// Copy is a copy of the store's state.
type Copy struct {
	rows    map[rowID]Row
	version int64
}

const (
	answerDelay   = 4 * time.Millisecond
	historyLength = 20 * time.Second
)

// Store is the platform's store: rows in tables, transactions under conditions, and the feed of changes.
type Store struct {
	Address string

	mu      sync.Mutex
	started time.Time
	rows    map[rowID]Row
	history []change
	// oldest is the oldest version from which the feed can continue.
	oldest  int64
	version int64
	era     int
	changed chan struct{}
	server  *http.Server
	calls   []string
	log     *Record
}

// NewStore returns a store that listens on a free loopback port.
func NewStore(log *Record) *Store {
	s := &Store{started: time.Now(), rows: map[rowID]Row{}, era: 1, changed: make(chan struct{}), log: log}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Check(err)
	s.Address = listener.Addr().String()
	s.serve(listener)
	return s
}

func (s *Store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
}

// Away closes the store's listener and all its connections.
func (s *Store) Away() { _ = s.server.Close() }

// Return lets the store listen again.
func (s *Store) Return() {
	for i := 0; ; i++ {
		listener, err := net.Listen("tcp4", s.Address)
		if err == nil {
			s.serve(listener)
			return
		}
		if i > 50 {
			Check(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Copy returns a copy of the state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{rows: map[rowID]Row{}, version: s.version}
	for id, row := range s.rows {
		c.rows[id] = row
	}
	return c
}

// Restore replaces the state by a copy. Versions go back, and the era rises.
func (s *Store) Restore(c Copy) (lost int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = s.version - c.version
	s.rows, s.version = map[rowID]Row{}, c.version
	for id, row := range c.rows {
		s.rows[id] = row
	}
	var kept []change
	for _, ch := range s.history {
		if ch.row.RowVersion <= c.version {
			kept = append(kept, ch)
		}
	}
	s.history = kept
	s.era++
	return lost
}

// Version returns the newest version.
func (s *Store) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Put writes a row as the operator or a server does, and returns its version.
func (s *Store) Put(table, key string, value any) int64 {
	encoded, err := json.Marshal(value)
	Check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(Row{Table: table, Key: key, Value: encoded, RowVersion: s.version})
	s.wake()
	return s.version
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(Row{Table: table, Key: key, RowVersion: s.version, Deleted: true})
	s.wake()
}

func (s *Store) set(row Row) {
	id := rowID{row.Table, row.Part, row.Key}
	if row.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = row
	}
	now := time.Now()
	s.history = append(s.history, change{row, now})
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyLength {
		s.oldest = s.history[0].row.RowVersion
		s.history = s.history[1:]
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type reply struct {
	Rows       []Row `json:",omitempty"`
	HasMore    bool
	RowVersion int64
	NowMs      int64
}

func (s *Store) answer(w http.ResponseWriter, status int, rows []Row, version int64) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply{Rows: rows, RowVersion: version, NowMs: time.Since(s.started).Milliseconds()})
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRevision []Row
		Puts             []Row
		Remove           []Row
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(answerDelay)
	for _, put := range append(t.Puts, t.Remove...) {
		if put.Table == "op" || put.Table == "servers" {
			s.answer(w, http.StatusForbidden, nil, s.Version())
			return
		}
	}
	s.mu.Lock()
	var current []Row
	holds := true
	for _, c := range t.ExpectedRevision {
		row := s.rows[rowID{c.Table, c.Part, c.Key}]
		holds = holds && row.RowVersion == c.RowVersion
		if row.RowVersion != 0 {
			current = append(current, row)
		}
	}
	status := http.StatusPreconditionFailed
	if holds {
		status, current = http.StatusOK, nil
		s.version++
		for _, put := range t.Puts {
			s.set(Row{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value, RowVersion: s.version})
			s.log.Printf("store: the system wrote %s/%s at version %d", put.Table, put.Key, s.version)
		}
		for _, row := range t.Remove {
			s.set(Row{Table: row.Table, Part: row.Part, Key: row.Key, RowVersion: s.version, Deleted: true})
		}
		s.wake()
	}
	version := s.version
	s.mu.Unlock()
	s.answer(w, status, current, version)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	time.Sleep(answerDelay)
	s.mu.Lock()
	var rows []Row
	for _, row := range s.rows {
		if row.Table == query.Get("Table") && row.Part == query.Get("part") && row.Key >= query.Get("From") &&
			(query.Get("Target") == "" || row.Key < query.Get("Target")) {
			rows = append(rows, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	s.log.Printf("store: %s reads the table %s in full at version %d", r.RemoteAddr, query.Get("Table"), version)
	s.answer(w, http.StatusOK, rows, version)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("AfterRevision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	time.Sleep(answerDelay)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		version, changed := s.version, s.changed
		gone := after > version || after < s.oldest
		newest := map[rowID]Row{}
		for _, ch := range s.history {
			if ch.row.Table == query.Get("Table") && ch.row.RowVersion > after {
				newest[rowID{ch.row.Table, ch.row.Part, ch.row.Key}] = ch.row
			}
		}
		s.mu.Unlock()
		if gone {
			s.log.Printf("store: feed of %s after %d answered 410 at version %d", query.Get("Table"), after, version)
			s.answer(w, http.StatusGone, nil, version)
			return
		}
		var rows []Row
		for _, row := range newest {
			rows = append(rows, row)
		}
		sort.Slice(rows, func(a, b int) bool { return rows[a].RowVersion < rows[b].RowVersion })
		if len(rows) > 0 {
			if query.Get("Table") == "op" {
				s.log.Printf("store: feed of op after %d answered at version %d with %d rows", after, version, len(rows))
			}
			s.answer(w, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if query.Get("Table") == "op" {
				s.log.Printf("store: feed of op after %d answered at version %d without rows", after, version)
			}
			s.answer(w, http.StatusOK, nil, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}
