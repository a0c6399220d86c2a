package prefix

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against prompts with a common beginning that share no blocks, and against versions that share some.
func TestBlocks(t *testing.T) {
	common := strings.Repeat("a", 2*BlockBytes)
	first := Blocks("small", "1", common+strings.Repeat("b", BlockBytes))
	second := Blocks("small", "1", common+strings.Repeat("c", BlockBytes)+"rest")
	if len(first) != 3 || len(second) != 3 || !cmp.Equal(first[:2], second[:2]) || first[2] == second[2] {
		t.Errorf("blocks %v and %v, want two of three in common", first, second)
	}
	if first[0] == first[1] {
		t.Error("equal text in two places has one name")
	}
	if other := Blocks("small", "2", common); other[0] == first[0] {
		t.Error("two versions share a block")
	}
	if short := Blocks("small", "1", common[:BlockBytes-1]); len(short) != 0 {
		t.Errorf("prompt shorter than a block has blocks %v", short)
	}
}
