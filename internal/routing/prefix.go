package routing

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// BlockBytes is the size of a prompt block. 256 bytes are about 64 tokens of English text, a few engine cache pages.
	BlockBytes = 256
	// maxBlocks bounds the chain of one prompt; 256 blocks are 64 KiB of prompt.
	maxBlocks = 256
	// holdersPerBlock bounds the servers remembered for a block; the oldest entry is replaced.
	holdersPerBlock = 8
)

// Block identifies a prompt block together with everything before it and the version.
type Block uint64

// String returns the block as cache events carry it.
func (b Block) String() string { return fmt.Sprintf("%016x", uint64(b)) }

// ParseBlock reads a block of a cache event.
func ParseBlock(text string) (Block, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "block hash %q", text)
	}
	return Block(value), nil
}

// Blocks returns the hash chain of the full blocks of the prompt, at most 256. Each hash covers the version and all blocks before it.
func Blocks(version declaration.VersionID, prompt string) []Block {
	count := min(len(prompt)/BlockBytes, maxBlocks)
	chain := make([]Block, 0, count)
	previous := xxhash.Sum64String(version.String())
	var buf [8 + BlockBytes]byte
	for i := range count {
		binary.LittleEndian.PutUint64(buf[:8], previous)
		copy(buf[8:], prompt[i*BlockBytes:(i+1)*BlockBytes])
		previous = xxhash.Sum64(buf[:])
		chain = append(chain, Block(previous))
	}
	return chain
}

// PrefixIndex remembers which servers probably hold which blocks. It learns from requests sent and is corrected by cache
// events, which arrive late and with gaps. It is safe for concurrent use.
type PrefixIndex struct {
	mu     *lockorder.Mutex
	blocks *simplelru.LRU[Block, []string]
}

// NewPrefixIndex returns an index of at most the given number of blocks, at least 1.
func NewPrefixIndex(capacity int) *PrefixIndex {
	lru, err := simplelru.NewLRU[Block, []string](max(1, capacity), nil)
	if err != nil {
		panic(err) // NewLRU fails only for a capacity below 1.
	}
	return &PrefixIndex{mu: lockorder.New(lockorder.RankPrefixIndex), blocks: lru}
}

// Stored records that the server holds the blocks, after a request was sent there or by its cache event.
func (x *PrefixIndex) Stored(server string, blocks []Block) {
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
func (x *PrefixIndex) Evicted(server string, blocks []Block) {
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

func (x *PrefixIndex) drop(block Block, server string) {
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
func (x *PrefixIndex) Mark(candidates []Candidate, blocks []Block) {
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
