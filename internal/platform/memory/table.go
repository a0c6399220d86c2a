// Package memory is an in-memory fake of the platform's services with faults on command, for tests.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// Fault is the behaviour of one call to the fake.
type Fault int

// Faults that a hook can ask for.
const (
	// FaultNone lets the call through.
	FaultNone Fault = iota
	// FaultUnavailable refuses the call without an effect.
	FaultUnavailable
	// FaultReplyLost applies a write and reports it as ambiguous; a read is unavailable.
	FaultReplyLost
	// FaultRequestLost drops a write and reports it as ambiguous; a read is unavailable.
	FaultRequestLost
	// FaultStale answers a read from the state before the last write of the key or prefix.
	FaultStale
)

// Op names a call for the fault hook.
type Op string

// Calls of the fake.
const (
	OpPut   Op = "put"
	OpGet   Op = "get"
	OpRange Op = "range"
)

// Table is an in-memory table service. Several views of one table may have hooks of their own, see View.
type Table struct {
	mu   sync.Mutex
	rows map[string]api.Row
	// keys holds the keys of rows in order, so that a range does not visit every row.
	keys    []string
	before  map[string]*api.Row
	version int64
	// Writes and Reads count calls that reached the table.
	writes, reads int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]api.Row{}, before: map[string]*api.Row{}}
}

// Counts returns the number of writes and reads that reached the table.
func (t *Table) Counts() (writes, reads int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writes, t.reads
}

// View returns a client of the table whose calls pass through the hook, for example the link of one instance. A nil
// hook injects no faults.
func (t *Table) View(hook func(op Op, key string) Fault) platform.Table {
	if hook == nil {
		hook = func(Op, string) Fault { return FaultNone }
	}
	return &view{table: t, hook: hook}
}

type view struct {
	table *Table
	hook  func(op Op, key string) Fault
}

func (v *view) Put(ctx context.Context, key string, value []byte, cond platform.Condition) (int64, error) {
	if ctx.Err() != nil {
		return 0, platform.ErrUnavailable
	}
	switch v.hook(OpPut, key) {
	case FaultUnavailable:
		return 0, platform.ErrUnavailable
	case FaultRequestLost:
		return 0, platform.ErrAmbiguous
	case FaultReplyLost:
		_, _ = v.table.put(key, value, cond)
		return 0, platform.ErrAmbiguous
	}
	return v.table.put(key, value, cond)
}

func (v *view) Get(ctx context.Context, key string) (api.Row, error) {
	if ctx.Err() != nil {
		return api.Row{}, platform.ErrUnavailable
	}
	fault := v.hook(OpGet, key)
	if fault != FaultNone && fault != FaultStale {
		return api.Row{}, platform.ErrUnavailable
	}
	return v.table.get(key, fault == FaultStale)
}

func (v *view) Range(ctx context.Context, prefix, after string, limit int) ([]api.Row, error) {
	if ctx.Err() != nil {
		return nil, platform.ErrUnavailable
	}
	fault := v.hook(OpRange, prefix)
	if fault != FaultNone && fault != FaultStale {
		return nil, platform.ErrUnavailable
	}
	return v.table.scan(prefix, after, limit, fault == FaultStale), nil
}

func (t *Table) put(key string, value []byte, cond platform.Condition) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	old, exists := t.rows[key]
	if cond.Absent && exists {
		return 0, platform.ErrConditionFailed
	}
	if cond.Version != 0 && (!exists || old.Version != cond.Version) {
		return 0, platform.ErrConditionFailed
	}
	if exists {
		t.before[key] = &old
	} else {
		t.before[key] = nil
		at, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, at, key)
	}
	t.version++
	t.rows[key] = api.Row{Key: key, Value: append([]byte(nil), value...), Version: t.version}
	return t.version, nil
}

// lookup returns the row, or the one before its last write if stale.
func (t *Table) lookup(key string, stale bool) (api.Row, bool) {
	if stale {
		if old := t.before[key]; old != nil {
			return *old, true
		}
		return api.Row{}, false
	}
	row, ok := t.rows[key]
	return row, ok
}

func (t *Table) get(key string, stale bool) (api.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, ok := t.lookup(key, stale)
	if !ok {
		return api.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (t *Table) scan(prefix, after string, limit int, stale bool) []api.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var rows []api.Row
	start, _ := slices.BinarySearch(t.keys, max(prefix, after))
	for _, key := range t.keys[start:] {
		if !strings.HasPrefix(key, prefix) || len(rows) >= limit {
			break
		}
		if key <= after {
			continue
		}
		if row, ok := t.lookup(key, stale); ok {
			rows = append(rows, row)
		}
	}
	return rows
}
