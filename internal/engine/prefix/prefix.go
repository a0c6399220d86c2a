// Package prefix splits a prompt into the blocks that engines cache and identifies each block by a hash chain, so that two
// prompts with a common prefix have the same hashes for the blocks of that prefix. Engines use these hashes in their cache
// events, and the router uses them in its prefix index. The package does no I/O.
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
	// BlockBytes is the size of one block in bytes of the rendered prompt. 256 bytes are about 64 tokens of English text, or
	// a few pages of an engine's KV cache.
	BlockBytes = 256
	// MaxBlocks bounds the hash chain of one prompt; 256 blocks are 64 KiB of prompt. Text beyond that is not hashed.
	MaxBlocks = 256
)

// Block is the hash of a prompt block, of everything before it in the prompt, and of the version.
type Block uint64

// String returns the hash in the form used by cache events.
func (b Block) String() string { return fmt.Sprintf("%016x", uint64(b)) }

// ParseBlock parses a block hash from a cache event.
func ParseBlock(text string) (Block, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "block hash %q", text)
	}
	return Block(value), nil
}

// Render returns the messages as the prompt text that the engine processes.
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

// Blocks returns the hash chain of the rendered prompt in order, at most MaxBlocks long. Each hash covers the version and the
// prompt up to the end of its block. A last block that is not full is left out.
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
