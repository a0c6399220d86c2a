package routing

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cicadawall/cicadawall/internal/engine/prefix"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// holdersPerBlock bounds the servers remembered for a block; the oldest entry is replaced.
const holdersPerBlock = 8

// PrefixIndex remembers which servers probably hold which blocks. It learns from requests sent and is corrected by cache
// events, which arrive late and with gaps. It is safe for concurrent use.
type PrefixIndex struct {
	mu     *lockorder.Mutex
	blocks *simplelru.LRU[prefix.Block, []string]
}

// NewPrefixIndex returns an index of at most the given number of blocks, at least 1.
func NewPrefixIndex(capacity int) *PrefixIndex {
	lru, err := simplelru.NewLRU[prefix.Block, []string](max(1, capacity), nil)
	if err != nil {
		panic(err) // NewLRU fails only for a capacity below 1.
	}
	return &PrefixIndex{mu: lockorder.New(lockorder.RankPrefixIndex), blocks: lru}
}

// Stored records that the server holds the blocks, after a request was sent there or by its cache event.
func (x *PrefixIndex) Stored(server string, blocks []prefix.Block) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, block := range blocks {
		holders, _ := x.blocks.Get(block)
		if slices.Contains(holders, server) {
			continue
		}
		if len(holders) >= holdersPerBlock {
			holders = holders[1:]
		}
		x.blocks.Add(block, append(slices.Clone(holders), server))
	}
}

// Evicted records that the server no longer holds the blocks.
func (x *PrefixIndex) Evicted(server string, blocks []prefix.Block) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, block := range blocks {
		x.drop(block, server)
	}
}

// Forget removes a server from every block, after a gap in its cache events or when it is gone.
func (x *PrefixIndex) Forget(server string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, block := range x.blocks.Keys() {
		x.drop(block, server)
	}
}

func (x *PrefixIndex) drop(block prefix.Block, server string) {
	holders, ok := x.blocks.Peek(block)
	if !ok {
		return
	}
	rest := slices.DeleteFunc(slices.Clone(holders), func(h string) bool { return h == server })
	if len(rest) == 0 {
		x.blocks.Remove(block)
		return
	}
	x.blocks.Add(block, rest)
}

// Mark sets CachedBlocks of each candidate to the number of leading blocks that the server holds.
func (x *PrefixIndex) Mark(candidates []Candidate, blocks []prefix.Block) {
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
