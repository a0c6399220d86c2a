package routing

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cicadawall/cicadawall/internal/engine/prefix"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// maxHoldersPerBlock bounds the number of servers recorded for a block; a further server replaces the oldest entry.
const maxHoldersPerBlock = 8

// PrefixIndex records which servers probably have which prompt blocks in their prefix cache. It is updated with the requests
// sent and corrected by the servers' cache events, which arrive late and with gaps. It is safe for concurrent use.
type PrefixIndex struct {
	mu     *lockorder.Mutex
	blocks *simplelru.LRU[prefix.Block, []string]
}

// NewPrefixIndex returns an index of at most capacity blocks; a capacity below 1 counts as 1.
func NewPrefixIndex(capacity int) *PrefixIndex {
	lru, err := simplelru.NewLRU[prefix.Block, []string](max(1, capacity), nil)
	if err != nil {
		panic(err) // NewLRU fails only for a capacity below 1.
	}
	return &PrefixIndex{mu: lockorder.New(lockorder.RankPrefixIndex), blocks: lru}
}

// AddBlocks records that the server holds the blocks, because a request was sent to it or it reported a cache event.
func (x *PrefixIndex) AddBlocks(server string, blocks []prefix.Block) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, block := range blocks {
		holders, _ := x.blocks.Get(block)
		if slices.Contains(holders, server) {
			continue
		}
		if len(holders) >= maxHoldersPerBlock {
			holders = holders[1:]
		}
		x.blocks.Add(block, append(slices.Clone(holders), server))
	}
}

// RemoveBlocks records that the server no longer holds the blocks.
func (x *PrefixIndex) RemoveBlocks(server string, blocks []prefix.Block) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, block := range blocks {
		x.removeHolder(block, server)
	}
}

// RemoveServer removes a server from every block. It is called after a gap in the server's cache events and when the server
// is gone.
func (x *PrefixIndex) RemoveServer(server string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, block := range x.blocks.Keys() {
		x.removeHolder(block, server)
	}
}

func (x *PrefixIndex) removeHolder(block prefix.Block, server string) {
	holders, ok := x.blocks.Peek(block)
	if !ok {
		return
	}
	remaining := slices.DeleteFunc(slices.Clone(holders), func(h string) bool { return h == server })
	if len(remaining) == 0 {
		x.blocks.Remove(block)
		return
	}
	x.blocks.Add(block, remaining)
}

// MarkCachedBlocks sets CachedBlocks of each candidate to the number of leading blocks that its server probably holds.
func (x *PrefixIndex) MarkCachedBlocks(candidates []Candidate, blocks []prefix.Block) {
	for i := range candidates {
		candidates[i].CachedBlocks = 0
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for depth, block := range blocks {
		holders, ok := x.blocks.Get(block)
		if !ok {
			return
		}
		for i := range candidates {
			if candidates[i].CachedBlocks == depth && slices.Contains(holders, candidates[i].ID) {
				candidates[i].CachedBlocks = depth + 1
			}
		}
	}
}

// Len returns the number of blocks in the index.
func (x *PrefixIndex) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.blocks.Len()
}
