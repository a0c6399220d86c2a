// Package prefix splits a prompt into the blocks that engines cache and names each block by a hash chain, so that two
// prompts with a common beginning share the names of the blocks of it.
package prefix

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawall/cicadawall/internal/api"
)

// BlockBytes is the size of one block in bytes of the rendered prompt, about 64 tokens.
const BlockBytes = 256

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

// Blocks returns the names of the full blocks of the rendered prompt, first to last. Each name covers the version and
// everything before the end of its block.
func Blocks(model, version, prompt string) []string {
	names := make([]string, 0, len(prompt)/BlockBytes)
	chain := xxhash.New()
	_, _ = chain.WriteString(model + "@" + version + "\n")
	for start := 0; start+BlockBytes <= len(prompt); start += BlockBytes {
		_, _ = chain.WriteString(prompt[start : start+BlockBytes])
		names = append(names, strconv.FormatUint(chain.Sum64(), 16))
	}
	return names
}
