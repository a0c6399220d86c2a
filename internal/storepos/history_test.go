package storepos

import "testing"

// Guards against a row of the copy that counts as written after what the store has lost, and against one written since that counts as older than that.
func TestRowsOfTheCopy(t *testing.T) {
	h := NewHistory()
	h.Reach(1)
	if !h.Current(At(1, 900)) || !h.Current(At(0, 900)) {
		t.Error("a return is assumed in the first era")
	}
	h.Begin(At(2, 405))
	h.Begin(At(2, 700))
	for _, test := range []struct {
		a, b  Position
		later bool
	}{
		{At(2, 300), At(1, 1000), false},  // a row of the copy, and one that is lost
		{At(2, 300), At(1, 250), true},    // two rows of the copy, one read before the return
		{At(2, 300), At(1, 300), false},   // the same row
		{At(2, 985), At(1, 1000), true},   // written since, under a lower version
		{At(2, 420), At(2, 405), true},    // written since, and a row of the copy
		{At(0, 1000), At(2, 985), true},   // an instance of an earlier release
		{At(0, 300), At(2, 985), false},   // the same
		{Position{}, At(2, 985), false},   // nothing known
		{At(2, 985), Position{}, true},    // the same
		{At(1, 1000), At(1, 1000), false}, // equal
	} {
		if later := h.Later(test.a, test.b); later != test.later {
			t.Errorf("%s later than %s: %t", test.a, test.b, later)
		}
	}
	if h.Current(At(1, 900)) || h.Current(At(0, 900)) || !h.Current(At(2, 3)) {
		t.Error("positions from before the return can be asked for")
	}
	if !h.Same(At(2, 300), At(1, 300)) || h.Same(At(2, 985), At(1, 985)) || !h.Same(At(2, 985), At(0, 985)) {
		t.Error("a row of the copy is not found again, or one written since is taken for it")
	}
	h.Limit(At(2, 390))
	h.Limit(At(2, 500))
	if h.Written(At(2, 400)) != At(2, 400) || h.Written(At(2, 390)) != At(1, 390) {
		t.Errorf("the lowest bound does not hold: starts %v", h.Starts())
	}
	h.Begin(At(3, 350))
	if h.Written(At(3, 340)) != At(1, 340) || h.Written(At(3, 351)) != At(3, 351) || h.Current(At(2, 985)) {
		t.Errorf("after a second return: %s, %s", h.Written(At(3, 340)), h.Written(At(3, 351)))
	}
}

// Guards against bounds that grow with the returns of the store, or that a malformed message changes.
func TestStartsAreBounded(t *testing.T) {
	h := NewHistory()
	for era := range int64(3 * maxStarts) {
		h.Begin(At(era+1, 10))
	}
	h.Limit(At(0, 1))
	h.Limit(At(-4, 1))
	h.Limit(At(3*maxStarts, -1))
	starts := h.Starts()
	if len(starts) != maxStarts || starts[maxStarts-1] != At(3*maxStarts, 10) {
		t.Errorf("starts %v", starts)
	}
}
