package engine

import (
	"context"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// maxRegistered limits the number of completions that can be cancelled or exported; the oldest is dropped first.
const maxRegistered = 1024

// registryEntry is a completion that can be cancelled and exported.
type registryEntry struct {
	cancel context.CancelFunc
	blocks []string
}

// registryTable finds completions by id, so that they can be cancelled and their KV cache exported.
type registryTable struct {
	mu             *lockorder.Mutex
	entries        map[string]*registryEntry
	insertionOrder []string
}

func newRegistryTable() *registryTable {
	return &registryTable{mu: lockorder.New(lockorder.RankStandin), entries: map[string]*registryEntry{}}
}

func (t *registryTable) add(id string, cancel context.CancelFunc, blocks []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries[id] == nil {
		t.insertionOrder = append(t.insertionOrder, id)
	}
	t.entries[id] = &registryEntry{cancel: cancel, blocks: blocks}
	if len(t.insertionOrder) > maxRegistered {
		delete(t.entries, t.insertionOrder[0])
		t.insertionOrder = t.insertionOrder[1:]
	}
}

// find returns the cancel function and the prompt blocks of a completion.
func (t *registryTable) find(id string) (registryEntry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.entries[id]
	if !ok {
		return registryEntry{}, false
	}
	return *entry, true
}
