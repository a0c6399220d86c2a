package declaration

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a change that the diff does not show to the operator before it is applied, and against changes reported for
// entries that were only reordered.
func TestDiff(t *testing.T) {
	old, _ := Parse("", []byte(validDocument))
	text := strings.NewReplacer("state: rollout", "state: withdrawn", `["1", "2"]`, `["2"]`, "priority: 5", "priority: 6",
		"services: [orders]\n", "services: [orders]\nevacuatedAvailabilityZones: [east]\n").Replace(validDocument)
	changed, problems := Parse("", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	want := []Change{
		{Kind: ChangeAdded, Field: "availability zone east", New: "evacuated"},
		{Kind: ChangeChanged, Field: "class chat priority", Old: "5", New: "6"},
		{Kind: ChangeChanged, Field: "model small version 2 state", Old: "rollout", New: "withdrawn"},
		{Kind: ChangeRemoved, Field: "organisation guild version small@1 for class chat", Old: "allowed"},
	}
	if diff := cmp.Diff(want, Diff(old, changed)); diff != "" {
		t.Error(diff)
	}
	swapped, _ := Parse("", []byte(strings.Replace(validDocument, `["1", "2"]`, `["2", "1"]`, 1)))
	if changes := Diff(old, swapped); len(changes) != 0 {
		t.Errorf("reordered entries were reported as changes: %v", changes)
	}
}
