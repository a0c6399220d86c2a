package declaration

import (
	"strings"
	"testing"
)

// Guards against an allowance that applies to all classes because its list of classes is empty, and against a missing list that applies to none.
func TestAllowanceWithoutClasses(t *testing.T) {
	for classes, want := range map[string]bool{", classes: [chat]": true, "": true, ", classes: []": false} {
		doc, problems := Parse("", []byte(strings.Replace(validDocument, ", classes: [chat]", classes, 1)))
		if len(problems) > 0 {
			t.Fatalf("%q: %v", classes, problems)
		}
		snapshot, id := Compile(1, doc), VersionID{Model: "small", Version: "1"}
		if got := snapshot.Allowed("guild", "chat", id); got != want {
			t.Errorf("%q: allowed is %t", classes, got)
		}
		if got := len(snapshot.AllowedVersions("guild", "chat")) > 0; got != want {
			t.Errorf("%q: some version is allowed: %t", classes, got)
		}
	}
}

// Guards against a list of classes without a value, which is what remains if the last entry of a block list is deleted, being taken for a missing
// list.
func TestClassesWithoutValue(t *testing.T) {
	if _, problems := Parse("", []byte(strings.Replace(validDocument, ", classes: [chat]", ", classes: ", 1))); len(problems) == 0 {
		t.Error("a list without a value was accepted")
	}
}

// Guards against a removal of the last class that the diff does not show.
func TestDiffShowsRemovedClasses(t *testing.T) {
	old, _ := Parse("", []byte(validDocument))
	closed, _ := Parse("", []byte(strings.Replace(validDocument, "classes: [chat]", "classes: []", 1)))
	open, _ := Parse("", []byte(strings.Replace(validDocument, ", classes: [chat]", "", 1)))
	for name, changes := range map[string][]Change{"closed": Diff(old, closed), "all to none": Diff(open, closed)} {
		if len(changes) != 2 || changes[0].Kind != ChangeRemoved || changes[1].Kind != ChangeRemoved {
			t.Errorf("%s: %+v", name, changes)
		}
	}
}
