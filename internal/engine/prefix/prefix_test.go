package prefix

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

var (
	v1 = declaration.VersionID{Model: "small", Version: "1"}
	v2 = declaration.VersionID{Model: "small", Version: "2"}
)

// Guards against different hashes for the blocks of a common prefix, and against equal hashes in two versions.
func TestBlocks(t *testing.T) {
	common := strings.Repeat("a", 2*BlockBytes)
	first := Blocks(v1, common+strings.Repeat("b", BlockBytes))
	second := Blocks(v1, common+strings.Repeat("c", BlockBytes)+"rest")
	if len(first) != 3 || len(second) != 3 || !cmp.Equal(first[:2], second[:2]) || first[2] == second[2] {
		t.Errorf("blocks %v and %v, want two of three in common", first, second)
	}
	if first[0] == first[1] {
		t.Error("equal text at two positions has the same hash")
	}
	if other := Blocks(v2, common); other[0] == first[0] {
		t.Error("two versions share a block")
	}
	if short := Blocks(v1, common[:BlockBytes-1]); len(short) != 0 {
		t.Errorf("prompt shorter than a block has blocks %v", short)
	}
	if long := Blocks(v1, strings.Repeat("a", (MaxBlocks+1)*BlockBytes)); len(long) != MaxBlocks {
		t.Errorf("%d blocks, want the maximum of %d", len(long), MaxBlocks)
	}
}

// Guards against a block hash that does not depend on the preceding blocks, and against a hash that does not survive its
// encoding in a cache event.
func TestBlocksChain(t *testing.T) {
	head, tail := strings.Repeat("h", BlockBytes), strings.Repeat("t", BlockBytes)
	chain := Blocks(v1, head+tail)
	if chain[1] == Blocks(v1, tail+tail)[1] {
		t.Error("hash ignores the preceding blocks")
	}
	for _, block := range append(chain, 1) {
		parsed, err := ParseBlock(block.String())
		if err != nil || parsed != block {
			t.Errorf("block %v parsed as %v, %v", block, parsed, err)
		}
	}
	if _, err := ParseBlock("not hex"); err == nil {
		t.Error("a malformed block was accepted")
	}
}
