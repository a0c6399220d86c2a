package app

import (
	"testing"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
)

// Guards against a quarantine that opens a version to classes: the declaration is encoded again, and a list that is empty must not become a
// missing one, which permits all.
func TestQuarantineKeepsEmptyLists(t *testing.T) {
	const text = `models:
  - name: small
    versions: [{name: v1, inputCost: 1, outputCost: 1}, {name: v2, inputCost: 1, outputCost: 1}]
classes: [{name: chat, priority: 5, target: {}}]
organisations:
  - {name: none, keyHashes: [], allow: [{model: small, versions: [v1, v2], classes: []}]}
  - {name: all, keyHashes: [], allow: [{model: small, versions: [v1, v2]}]}
`
	before, problems := declaration.Parse("", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	id := declaration.VersionID{Model: "small", Version: "v2"}
	encoded, err := markQuarantined(before, map[declaration.VersionID]string{id: "bad"})
	if err != nil {
		t.Fatal(err)
	}
	after, problems := declaration.Parse("", []byte(encoded))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	snapshot := declaration.Compile(2, after)
	if version, _ := snapshot.Version(id); version.State != api.VersionQuarantined {
		t.Errorf("version %+v", version)
	}
	if got := snapshot.AllowedVersions("none", "chat"); len(got) != 0 {
		t.Errorf("an organisation without classes may use %v", got)
	}
	if got := snapshot.AllowedVersions("all", "chat"); len(got) != 1 {
		t.Errorf("an organisation with all classes may use %v", got)
	}
}
