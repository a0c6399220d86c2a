// Package rowstore is a stand-in for the metadata store of the users' platform: rows in tables, conditional transactions, a
// change feed with limited history, and fault injection. It is meant for tests and demonstrations.
package rowstore

import (
	"context"
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/standin/common"
	"github.com/cicadawall/cicadawall/platform/wire"
)

// Fault is a failure that the store simulates.
type Fault string

// Faults. All of them apply to transactions; the reading calls are executed normally under lost, late and held.
const (
	FaultNone Fault = ""
	// FaultBusy rejects each call with status 503.
	FaultBusy Fault = "busy"
	// FaultMany rejects each call with status 429.
	FaultMany Fault = "many"
	// FaultReset closes the connection without executing the call.
	FaultReset Fault = "reset"
	// FaultSilent neither executes nor answers the call until the caller closes the connection.
	FaultSilent Fault = "silent"
	// FaultLost applies the transaction and closes the connection without an answer.
	FaultLost Fault = "lost"
	// FaultLate closes the connection without an answer and applies the transaction afterwards.
	FaultLate Fault = "late"
	// FaultHeld closes the connection without an answer and applies the transaction when ApplyHeld is called.
	FaultHeld Fault = "held"
)

// rowID identifies a row.
type rowID struct{ table, partition, key string }

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	startedAt time.Time

	mu      *lockorder.Mutex
	version int64
	// era is the number of times that the store has begun its history: with New, and at each Restore. omitEra keeps it out of the answers.
	era     int64
	omitEra bool
	// oldestVersion is the oldest version from which a feed call can continue; earlier changes were dropped.
	oldestVersion int64
	rows          map[rowID]wire.Row
	// history holds every version of the rows, in order.
	history []wire.Row
	// changed is closed and replaced at each change.
	changed chan struct{}
	// cut is closed and replaced when the connections of the feed calls that wait are closed.
	cut   chan struct{}
	fault Fault
	calls int
	// heldTransactions are the transactions that FaultHeld keeps back, in order of arrival.
	heldTransactions []wire.Transaction
	// maxWait limits the time that a feed call waits for changes; zero means no limit besides that of the call.
	maxWait time.Duration
}

// New returns an empty store.
func New() *Store {
	return &Store{
		startedAt: time.Now(), mu: lockorder.New(lockorder.RankStandin), era: 1, rows: map[rowID]wire.Row{}, changed: make(chan struct{}), cut: make(chan struct{}),
	}
}

// SetFault applies the fault to all calls from now on; FaultNone ends it.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// LimitWaits limits the time that feed calls wait for changes, so that a test that makes one call after another is not
// slowed down by them.
func (s *Store) LimitWaits(maxWait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxWait = maxWait
}

// ApplyHeld applies the transactions that FaultHeld kept back, the latest first.
func (s *Store) ApplyHeld() {
	s.mu.Lock()
	held := s.heldTransactions
	s.heldTransactions = nil
	s.mu.Unlock()
	for i := len(held) - 1; i >= 0; i-- {
		s.apply(held[i])
	}
}

// History returns all versions of a table's rows, in the order in which they were written.
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

// Calls returns the number of calls that the store received, those that met a fault included.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// DropHistory drops the change feed's history, so that a feed call that asks for changes after an earlier version is
// answered with 410. The method History still returns all versions.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldestVersion = s.version
	s.wakeFeedsLocked()
}

// Put writes a row unconditionally, as the operator or a backend server does, and returns its version.
func (s *Store) Put(table, key string, value []byte) int64 {
	answer, _ := s.apply(wire.Transaction{Puts: []wire.RowPut{{Table: table, Key: key, Value: value}}})
	return answer.reply.NewestVersion
}

// Remove deletes a row. The change feed reports the deletion.
func (s *Store) Remove(table, key string) {
	s.apply(wire.Transaction{Removals: []wire.RowKey{{Table: table, Key: key}}})
}

// Get returns a row and whether it exists.
func (s *Store) Get(table, key string) (wire.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowID{table: table, key: key}]
	return row, ok && !row.Deleted
}

// apply applies a transaction. If a condition does not hold, it changes nothing and returns the current rows and false.
func (s *Store) apply(t wire.Transaction) (answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []wire.Row
	conditionsHold := true
	for _, c := range t.Conditions {
		row := s.rows[rowID{c.Table, c.Partition, c.Key}]
		version := row.RowVersion
		if row.Deleted {
			version = 0
		}
		conditionsHold = conditionsHold && version == c.RowVersion
		current = append(current, row)
	}
	if !conditionsHold {
		return s.answerLocked(current), false
	}
	s.version++
	for _, p := range t.Puts {
		s.setRowLocked(wire.Row{Table: p.Table, Partition: p.Partition, Key: p.Key, Value: p.Value, RowVersion: s.version})
	}
	for _, r := range t.Removals {
		if _, ok := s.rows[rowID{r.Table, r.Partition, r.Key}]; ok {
			s.setRowLocked(wire.Row{Table: r.Table, Partition: r.Partition, Key: r.Key, RowVersion: s.version, Deleted: true})
		}
	}
	s.wakeFeedsLocked()
	return s.answerLocked(nil), true
}

// setRowLocked stores a row's new version and adds it to the history. The caller holds the lock.
func (s *Store) setRowLocked(row wire.Row) {
	s.rows[rowID{row.Table, row.Partition, row.Key}] = row
	s.history = append(s.history, row)
}

// wakeFeedsLocked wakes the feed calls that wait for changes. The caller holds the lock.
func (s *Store) wakeFeedsLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer is an answer about rows with the era in which the store read them.
type answer struct {
	reply wire.RowsReply
	// era is zero if the answer does not tell it.
	era int64
}

func (s *Store) answerLocked(rows []wire.Row) answer {
	a := answer{reply: wire.RowsReply{Rows: rows, NewestVersion: s.version, StoreClockMs: time.Since(s.startedAt).Milliseconds()}}
	if !s.omitEra {
		a.era = s.era
	}
	return a
}

// selectRowsLocked returns the rows of a table that match, sorted by less. The caller holds the lock.
func (s *Store) selectRowsLocked(table string, match func(wire.Row) bool, less func(a, b wire.Row) bool) []wire.Row {
	var rows []wire.Row
	for name, row := range s.rows {
		if name.table == table && match(row) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return less(rows[a], rows[b]) })
	return rows
}

// readRows returns up to limit rows of a table from a key on, in key order; limit 0 means all rows.
func (s *Store) readRows(table, from string, limit int) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.selectRowsLocked(table,
		func(r wire.Row) bool { return !r.Deleted && r.Key >= from },
		func(a, b wire.Row) bool { return a.Key < b.Key })
	hasMore := limit > 0 && len(rows) > limit
	if hasMore {
		rows = rows[:limit]
	}
	a := s.answerLocked(rows)
	a.reply.HasMore = hasMore
	return a
}

// waitForChanges returns the rows of a table that changed after a version. It waits for the first change until the wait or
// the context ends. It reports false if the history after that version is incomplete or the store does not have the version.
func (s *Store) waitForChanges(ctx context.Context, table string, after int64, wait time.Duration) (answer, bool) {
	s.mu.Lock()
	if s.maxWait > 0 {
		wait = min(wait, s.maxWait)
	}
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		historyDropped := after < s.oldestVersion || after > s.version
		rows := s.selectRowsLocked(table,
			func(r wire.Row) bool { return r.RowVersion > after },
			func(a, b wire.Row) bool { return a.RowVersion < b.RowVersion })
		reply, changed, cut := s.answerLocked(rows), s.changed, s.cut
		s.mu.Unlock()
		if historyDropped || len(rows) > 0 {
			return reply, !historyDropped
		}
		select {
		case <-changed:
		case <-cut:
			common.CloseConnection()
		case <-timer.C:
			return reply, true
		case <-ctx.Done():
			return reply, true
		}
	}
}

// beginCall counts a call and returns the current fault.
func (s *Store) beginCall() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.fault
}

// holdTransaction keeps a transaction back until ApplyHeld is called.
func (s *Store) holdTransaction(t wire.Transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldTransactions = append(s.heldTransactions, t)
}
