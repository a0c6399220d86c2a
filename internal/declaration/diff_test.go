package declaration

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a difference that the operator does not see before applying, and against noise from reordering.
func TestDiff(t *testing.T) {
	old, _ := Parse("", []byte(valid))
	text := strings.NewReplacer("state: rollout", "state: withdrawn", `["1", "2"]`, `["2"]`, "priority: 5", "priority: 6").Replace(valid)
	changed, problems := Parse("", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	want := []Change{
		{Kind: ChangeChanged, Field: "class chat priority", Old: "5", New: "6"},
		{Kind: ChangeChanged, Field: "model small version 2 state", Old: "rollout", New: "withdrawn"},
		{Kind: ChangeRemoved, Field: "organisation guild version small@1 for class chat", Old: "allowed"},
	}
	if diff := cmp.Diff(want, Diff(old, changed)); diff != "" {
		t.Error(diff)
	}
	swapped, _ := Parse("", []byte(strings.Replace(valid, `["1", "2"]`, `["2", "1"]`, 1)))
	if changes := Diff(old, swapped); len(changes) != 0 {
		t.Errorf("reordering: %v", changes)
	}
}
