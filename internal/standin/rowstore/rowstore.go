// Package rowstore is a stand-in for the metadata store of the users' platform: rows in tables, conditional transactions, a
// feed of changes with limited history, and faults on command. It is meant for tests and demonstrations.
package rowstore

import (
	"context"
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/platform/wire"
)

// Fault is what the store does instead of answering.
type Fault string

// Faults. Lost answers belong to transactions that were done; late ones are done after the caller has given up, held ones when
// Release is called.
const (
	FaultNone   Fault = ""
	FaultBusy   Fault = "busy"
	FaultMany   Fault = "many"
	FaultReset  Fault = "reset"
	FaultSilent Fault = "silent"
	FaultLost   Fault = "lost"
	FaultLate   Fault = "late"
	FaultHeld   Fault = "held"
)

// rowName names a row.
type rowName struct{ table, part, key string }

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	started time.Time

	mu      *lockorder.Mutex
	version int64
	// oldest is the version below which history is gone.
	oldest int64
	rows   map[rowName]wire.Row
	// history holds every version of the rows, in order.
	history []wire.Row
	changed chan struct{}
	fault   Fault
	calls   int
	// held are the transactions of FaultHeld that are not done yet.
	held []wire.Transaction
	// longestWait bounds the waits for changes; zero means that they last as long as they are asked for.
	longestWait time.Duration
}

// New returns an empty store.
func New() *Store {
	return &Store{
		started: time.Now(), mu: lockorder.New(lockorder.RankStandin), rows: map[rowName]wire.Row{}, changed: make(chan struct{}),
	}
}

// Fail makes the store fail all calls in the given way, until it is called with FaultNone.
func (s *Store) Fail(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// LimitWaits ends waits for changes earlier than they are asked for, so that a test that makes one call after another does
// not wait.
func (s *Store) LimitWaits(longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longestWait = longest
}

// Release does the transactions that FaultHeld kept back, the latest first.
func (s *Store) Release() {
	s.mu.Lock()
	held := s.held
	s.held = nil
	s.mu.Unlock()
	for i := len(held) - 1; i >= 0; i-- {
		s.apply(held[i])
	}
}

// History returns all versions that rows of a table had, in order.
func (s *Store) History(table string) []wire.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []wire.Row
	for _, row := range s.history {
		if row.Table == table {
			rows = append(rows, row)
		}
	}
	return rows
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.version
	s.wake()
}

// Put writes a row as the operator or a server does, and returns its version.
func (s *Store) Put(table, key string, value []byte) int64 {
	reply, _ := s.apply(wire.Transaction{Puts: []wire.RowPut{{Table: table, Key: key, Value: value}}})
	return reply.NewestVersion
}

// Remove drops a row.
func (s *Store) Remove(table, key string) {
	s.apply(wire.Transaction{Removals: []wire.RowKey{{Table: table, Key: key}}})
}

// Get returns a row and whether it exists.
func (s *Store) Get(table, key string) (wire.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowName{table: table, key: key}]
	return row, ok && !row.Deleted
}

// apply runs a transaction; it reports false and the current rows if a condition does not hold.
func (s *Store) apply(t wire.Transaction) (wire.RowsReply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []wire.Row
	holds := true
	for _, c := range t.Conditions {
		row := s.rows[rowName{c.Table, c.Partition, c.Key}]
		version := row.RowVersion
		if row.Deleted {
			version = 0
		}
		holds = holds && version == c.RowVersion
		current = append(current, row)
	}
	if !holds {
		return s.reply(current), false
	}
	s.version++
	for _, p := range t.Puts {
		s.set(wire.Row{Table: p.Table, Partition: p.Partition, Key: p.Key, Value: p.Value, RowVersion: s.version})
	}
	for _, r := range t.Removals {
		if _, ok := s.rows[rowName{r.Table, r.Partition, r.Key}]; ok {
			s.set(wire.Row{Table: r.Table, Partition: r.Partition, Key: r.Key, RowVersion: s.version, Deleted: true})
		}
	}
	s.wake()
	return s.reply(nil), true
}

// set records a row's new version. The caller holds the lock.
func (s *Store) set(row wire.Row) {
	s.rows[rowName{row.Table, row.Partition, row.Key}] = row
	s.history = append(s.history, row)
}

// wake ends the waits of feeds. The caller holds the lock.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) reply(rows []wire.Row) wire.RowsReply {
	return wire.RowsReply{Rows: rows, NewestVersion: s.version, StoreClockMs: time.Since(s.started).Milliseconds()}
}

// list returns the rows of a table that match, in the order given.
func (s *Store) list(table string, match func(wire.Row) bool, less func(a, b wire.Row) bool) []wire.Row {
	var rows []wire.Row
	for name, row := range s.rows {
		if name.table == table && match(row) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return less(rows[a], rows[b]) })
	return rows
}

// read returns the rows of a table from a key on.
func (s *Store) read(table, from string, limit int) wire.RowsReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.list(table,
		func(r wire.Row) bool { return !r.Deleted && r.Key >= from },
		func(a, b wire.Row) bool { return a.Key < b.Key })
	more := limit > 0 && len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	reply := s.reply(rows)
	reply.HasMore = more
	return reply
}

// changes returns the rows of a table that changed after a version, waiting for the first. It reports false if the history
// is gone.
func (s *Store) changes(ctx context.Context, table string, after int64, wait time.Duration) (wire.RowsReply, bool) {
	s.mu.Lock()
	if s.longestWait > 0 {
		wait = min(wait, s.longestWait)
	}
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		gone := after < s.oldest
		rows := s.list(table,
			func(r wire.Row) bool { return r.RowVersion > after },
			func(a, b wire.Row) bool { return a.RowVersion < b.RowVersion })
		reply, changed := s.reply(rows), s.changed
		s.mu.Unlock()
		if gone || len(rows) > 0 {
			return reply, !gone
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply, true
		case <-ctx.Done():
			return reply, true
		}
	}
}

// enter counts a call and returns the fault in force.
func (s *Store) enter() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.fault
}

// hold keeps a transaction back until Release is called.
func (s *Store) hold(t wire.Transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = append(s.held, t)
}
