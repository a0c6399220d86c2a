package engine

import (
	"context"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// maxKept bounds the completions whose prompt blocks are remembered for an export.
const maxKept = 1024

type kept struct {
	cancel context.CancelFunc
	blocks []string
}

// registryTable finds completions by id, to cancel them and to export their KV cache.
type registryTable struct {
	mu    *lockorder.Mutex
	kept  map[string]*kept
	order []string
}

func newRegistryTable() *registryTable {
	return &registryTable{mu: lockorder.New(lockorder.RankStandin), kept: map[string]*kept{}}
}

func (t *registryTable) add(id string, cancel context.CancelFunc, blocks []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.kept[id] == nil {
		t.order = append(t.order, id)
	}
	t.kept[id] = &kept{cancel: cancel, blocks: blocks}
	if len(t.order) > maxKept {
		delete(t.kept, t.order[0])
		t.order = t.order[1:]
	}
}

// find returns the completion's cancel function and blocks.
func (t *registryTable) find(id string) (kept, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.kept[id]
	if !ok {
		return kept{}, false
	}
	return *found, true
}
