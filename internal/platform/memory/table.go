// Package memory is an in-memory fake of the platform's services with fault injection, for tests.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// Fault is the fault that is injected into one call of the fake.
type Fault int

// Faults that a hook can return.
const (
	// FaultNone executes the call normally.
	FaultNone Fault = iota
	// FaultUnavailable rejects the call without an effect.
	FaultUnavailable
	// FaultReplyLost applies a write and reports it as ambiguous; a read fails with ErrUnavailable.
	FaultReplyLost
	// FaultRequestLost drops a write and reports it as ambiguous; a read fails with ErrUnavailable.
	FaultRequestLost
	// FaultStale answers a read with each row as it was before the last write of its key.
	FaultStale
)

// Op is the operation that the fault hook is asked about.
type Op string

// Operations of the table.
const (
	OpPut   Op = "put"
	OpGet   Op = "get"
	OpRange Op = "range"
)

// Table is an in-memory table service. Each view of a table may have its own fault hook, see View.
type Table struct {
	mu   sync.Mutex
	rows map[string]api.Row
	// keys holds the keys of rows in order, so that a range does not visit every row.
	keys []string
	// previous holds each row as it was before its last write, nil if it did not exist.
	previous map[string]*api.Row
	version  int64
	// writes and reads count the calls that reached the table.
	writes, reads int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]api.Row{}, previous: map[string]*api.Row{}}
}

// Counts returns the number of writes and reads that reached the table.
func (t *Table) Counts() (writes, reads int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writes, t.reads
}

// View returns a client of the table, for example that of one instance. The hook decides which fault each of its calls
// meets; it gets the key, or the prefix of a range. A nil hook injects no faults.
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
	current, exists := t.rows[key]
	if cond.Absent && exists {
		return 0, platform.ErrConditionFailed
	}
	if cond.Version != 0 && (!exists || current.Version != cond.Version) {
		return 0, platform.ErrConditionFailed
	}
	if exists {
		t.previous[key] = &current
	} else {
		t.previous[key] = nil
		index, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, index, key)
	}
	t.version++
	t.rows[key] = api.Row{Key: key, Value: append([]byte(nil), value...), Version: t.version}
	return t.version, nil
}

// lookup returns the row or, if stale is set, the row as it was before its last write. The caller holds the lock.
func (t *Table) lookup(key string, stale bool) (api.Row, bool) {
	if stale {
		if row := t.previous[key]; row != nil {
			return *row, true
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
