package storepos

import (
	"maps"
	"slices"
	"sync/atomic"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// firstEra is the lowest era that a store names.
const firstEra = 1

// maxStarts bounds the eras whose starts are kept and exchanged between instances.
const maxStarts = 8

// History tells which rows that were read in an era come from the copy with which it began: they were written in an earlier era, under the same
// version. For each era it holds a bound, the lowest version that an instance heard of after it had noticed the return; rows up to it count
// as rows of the copy, and rows above it were certainly written in the era. Instances exchange the bounds, and the lowest one holds. It is
// safe for concurrent use.
type History struct {
	// mu serializes the changes. Decisions on each request read the history, so reading takes no lock.
	mu    *lockorder.Mutex
	known atomic.Pointer[eraStarts]
}

// eraStarts is an immutable state of a History.
type eraStarts struct {
	newest int64
	starts map[int64]int64
}

// NewHistory returns a History that knows no era.
func NewHistory() *History {
	h := &History{mu: lockorder.New(lockorder.RankStoreHistory)}
	h.known.Store(&eraStarts{})
	return h
}

// change replaces the state by a copy that the function has changed, if it reports a change.
func (h *History) change(apply func(*eraStarts) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.known.Load()
	next := &eraStarts{newest: known.newest, starts: maps.Clone(known.starts)}
	if next.starts == nil {
		next.starts = map[int64]int64{}
	}
	if apply(next) {
		h.known.Store(next)
	}
}

// Begin records the first position of an era that was read after a return of the store. Later ones of the era change nothing.
func (h *History) Begin(p Position) {
	if _, ok := h.known.Load().starts[p.era]; ok {
		return
	}
	h.Reach(p.era)
	h.Limit(p)
}

// Reach records the newest era of the store.
func (h *History) Reach(era int64) {
	if era <= h.known.Load().newest {
		return
	}
	h.change(func(k *eraStarts) bool {
		k.newest = max(k.newest, era)
		return true
	})
}

// Limit records a bound of an era that another instance reports, or that a row written in the era shows. The lowest bound holds.
func (h *History) Limit(p Position) {
	if p.era <= 0 || p.version < 0 {
		return
	}
	h.change(func(k *eraStarts) bool {
		if known, ok := k.starts[p.era]; ok && known <= p.version {
			return false
		}
		k.starts[p.era] = p.version
		for len(k.starts) > maxStarts {
			delete(k.starts, slices.Min(slices.Collect(maps.Keys(k.starts))))
		}
		return true
	})
}

// Starts returns the bounds of the eras, for other instances.
func (h *History) Starts() []Position {
	known := h.known.Load()
	var starts []Position
	for _, era := range slices.Sorted(maps.Keys(known.starts)) {
		starts = append(starts, At(era, known.starts[era]))
	}
	return starts
}

// Newest returns the newest era of the store.
func (h *History) Newest() int64 { return h.known.Load().newest }

// Current reports whether the store can be asked for the position: it is of the newest era, or it names no era and the store has not been seen to
// come back from an older copy.
func (h *History) Current(p Position) bool {
	known := h.known.Load()
	_, returned := known.starts[known.newest]
	return p.era == known.newest || p.era == 0 && !returned
}

// Written returns the position at which the row that was read at p was written, as far as known. Eras whose start nobody noticed cannot be told from the one
// before; the result names the first era of such a sequence, which is 1 if no start is known.
func (h *History) Written(p Position) Position {
	if p.era == 0 {
		return p
	}
	era := int64(firstEra)
	for start, version := range h.known.Load().starts {
		if start <= p.era && version < p.version {
			era = max(era, start)
		}
	}
	return At(era, p.version)
}

// Later reports whether the row at a was written after the one at b.
func (h *History) Later(a, b Position) bool { return h.Written(a).After(h.Written(b)) }

// Same reports whether both positions are those of one row, read in different eras or in the same.
func (h *History) Same(a, b Position) bool {
	a, b = h.Written(a), h.Written(b)
	return a.version == b.version && !a.After(b) && !b.After(a)
}
