package platform

import (
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// listHistory bounds how far back a lagging list can look.
const listHistory = 2 * time.Minute

type listVersion struct {
	at      time.Time
	entries []api.InstanceEntry
}

// listTable is the instance list with its recent past, so that it can be shown late.
type listTable struct {
	mu      *lockorder.Mutex
	entries map[string]api.InstanceEntry
	// history is in order of time; its slices are never changed.
	history []listVersion
	// frozen is the list as it was when it was frozen.
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
	t.history = append(t.history, listVersion{at: now, entries: entries})
	for len(t.history) > 1 && now.Sub(t.history[1].at) > listHistory {
		t.history = t.history[1:]
	}
}

// freeze keeps the present list for later calls of shown, or lets go of it.
func (t *listTable) freeze(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !on {
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

// shown returns the frozen list, or the list as it was at the given time.
func (t *listTable) shown(frozen bool, when time.Time) []api.InstanceEntry {
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
