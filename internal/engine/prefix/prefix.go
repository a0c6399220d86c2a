// Package prefix splits a prompt into the blocks that engines cache and names each block by a hash chain, so that two
// prompts with a common beginning share the names of the blocks of it. Engines name blocks in their cache events and the
// router names them in its index by this one scheme. The package is pure.
package prefix

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
)

const (
	// BlockBytes is the size of one block in bytes of the rendered prompt. 256 bytes are about 64 tokens of English text, a
	// few engine cache pages.
	BlockBytes = 256
	// MaxBlocks bounds the chain of one prompt; 256 blocks are 64 KiB of prompt. Text after that is in no block.
	MaxBlocks = 256
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

// Render returns the messages as the text that the engine reads.
func Render(messages []api.ChatMessage) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(message.Role)
		text.WriteByte(':')
		text.WriteString(message.Content)
		text.WriteByte('\n')
	}
	return text.String()
}

// Blocks returns the hash chain of the full blocks of the rendered prompt, first to last, at most MaxBlocks. Each hash
// covers the version and everything before the end of its block.
func Blocks(version declaration.VersionID, prompt string) []Block {
	count := min(len(prompt)/BlockBytes, MaxBlocks)
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
