package platform

import (
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// listHistory is the longest lag of the list that is supported; older snapshots are dropped.
const listHistory = 2 * time.Minute

// listSnapshot is the list from the given time until the next snapshot.
type listSnapshot struct {
	at      time.Time
	entries []api.InstanceEntry
}

// listTable is the instance list with its recent history, so that an outdated list can be returned.
type listTable struct {
	mu      *lockorder.Mutex
	entries map[string]api.InstanceEntry
	// history is in order of time; the slices in it are never modified.
	history []listSnapshot
	// frozen is the list at the time when it was frozen; nil if it is not.
	frozen []api.InstanceEntry
}

func newListTable() *listTable {
	return &listTable{mu: lockorder.New(lockorder.RankStandin), entries: map[string]api.InstanceEntry{}}
}

// put adds or replaces an entry.
func (t *listTable) put(entry api.InstanceEntry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[entry.Id] = entry
	t.recordLocked(now)
}

// leave marks an entry as leaving and reports whether it exists.
func (t *listTable) leave(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.entries[id]
	if !ok {
		return false
	}
	entry.State = api.InstanceLeaving
	t.entries[id] = entry
	t.recordLocked(now)
	return true
}

// remove deletes an entry.
func (t *listTable) remove(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, id)
	t.recordLocked(now)
}

func (t *listTable) recordLocked(now time.Time) {
	entries := make([]api.InstanceEntry, 0, len(t.entries))
	for _, entry := range t.entries {
		entries = append(entries, entry)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Id < entries[j].Id })
	t.history = append(t.history, listSnapshot{at: now, entries: entries})
	for len(t.history) > 1 && now.Sub(t.history[1].at) > listHistory {
		t.history = t.history[1:]
	}
}

// setFrozen keeps the current list for later calls of entriesAt, or drops the kept list.
func (t *listTable) setFrozen(frozen bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !frozen {
		t.frozen = nil
		return
	}
	if t.frozen == nil {
		t.frozen = t.latestLocked()
	}
}

func (t *listTable) latestLocked() []api.InstanceEntry {
	if len(t.history) == 0 {
		return []api.InstanceEntry{}
	}
	return t.history[len(t.history)-1].entries
}

// entriesAt returns the frozen list if frozen is set and there is one, else the list as it was at the given time.
func (t *listTable) entriesAt(frozen bool, when time.Time) []api.InstanceEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if frozen && t.frozen != nil {
		return t.frozen
	}
	for i := len(t.history) - 1; i >= 0; i-- {
		if !t.history[i].at.After(when) {
			return t.history[i].entries
		}
	}
	return []api.InstanceEntry{}
}
