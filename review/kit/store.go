//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the platform's store.
type row struct {
	Table      string
	Partition  string `json:"part"`
	Key        string
	Value      []byte
	RowVersion int64
	Deleted    bool `json:",omitempty"`
}

type rowKey struct{ Table, Partition, Key string }

// store is a stand-in for the platform's metadata store. It loses nothing and its answers are linearizable.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	version int64
	rows    map[rowKey]row
	changed chan struct{}
}

func newStore() *store {
	s := &store{started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	listener, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		cannotRun("listen for the store: %v", err)
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, mux) }()
	return s
}

type rowCondition struct {
	Table, Key string
	Partition  string `json:"part"`
	RowVersion int64
}

type transaction struct {
	ExpectedRevision []rowCondition
	Puts             []row
	Remove           []row
}

type rowsReply struct {
	Rows       []row
	HasMore    bool
	RowVersion int64
	NowMs      int64
}

func (s *store) reply(rows []row) rowsReply {
	if rows == nil {
		rows = []row{}
	}
	return rowsReply{Rows: rows, RowVersion: s.version, NowMs: time.Since(s.started).Milliseconds()}
}

func (s *store) apply(t transaction) (rowsReply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	holds := true
	for _, c := range t.ExpectedRevision {
		r := s.rows[rowKey{c.Table, c.Partition, c.Key}]
		version := r.RowVersion
		if r.Deleted {
			version = 0
		}
		holds = holds && version == c.RowVersion
		if version > 0 {
			current = append(current, r)
		}
	}
	if !holds {
		return s.reply(current), false
	}
	s.version++
	for _, p := range t.Puts {
		p.RowVersion, p.Deleted = s.version, false
		s.rows[rowKey{p.Table, p.Partition, p.Key}] = p
	}
	for _, d := range t.Remove {
		key := rowKey{d.Table, d.Partition, d.Key}
		if r, ok := s.rows[key]; ok && !r.Deleted {
			s.rows[key] = row{Table: d.Table, Partition: d.Partition, Key: d.Key, RowVersion: s.version, Deleted: true}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.reply(nil), true
}

// put writes a row as the operator or a server does.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode a row: %v", err)
	}
	s.apply(transaction{Puts: []row{{Table: table, Key: key, Value: encoded}}})
}

func (s *store) remove(table, key string) {
	s.apply(transaction{Remove: []row{{Table: table, Key: key}}})
}

// value decodes a row and reports whether it exists.
func (s *store) value(table, key string, into any) bool {
	s.mu.Lock()
	r, ok := s.rows[rowKey{table, "", key}]
	s.mu.Unlock()
	return ok && !r.Deleted && json.Unmarshal(r.Value, into) == nil
}

func answerJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(append([]row{}, t.Puts...), t.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(6 * time.Millisecond)
	reply, applied := s.apply(t)
	if !applied {
		answerJSON(w, http.StatusPreconditionFailed, reply)
		return
	}
	answerJSON(w, http.StatusOK, reply)
}

// selected returns the rows of a table and partition that match, in the order of less.
func (s *store) selected(match func(row) bool, less func(a, b row) bool) []row {
	var rows []row
	for _, r := range s.rows {
		if match(r) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return less(rows[a], rows[b]) })
	return rows
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("Limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	rows := s.selected(func(c row) bool {
		return !c.Deleted && c.Table == query.Get("Table") && c.Partition == query.Get("part") && c.Key >= query.Get("From") &&
			(query.Get("Target") == "" || c.Key < query.Get("Target"))
	}, func(a, b row) bool { return a.Key < b.Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	reply := s.reply(rows)
	reply.HasMore = more
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, reply)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("AfterRevision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		rows := s.selected(func(c row) bool { return c.Table == query.Get("Table") && c.RowVersion > after },
			func(a, b row) bool { return a.RowVersion < b.RowVersion })
		reply, changed := s.reply(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			answerJSON(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answerJSON(w, http.StatusOK, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}
