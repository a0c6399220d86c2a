package session

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// withdrawnPolicy contains the withdrawn versions; it allows all others.
type withdrawnPolicy map[declaration.VersionID]bool

func (w withdrawnPolicy) Usable(id declaration.VersionID) bool { return !w[id] }

func (withdrawnPolicy) Allowed(string, string, declaration.VersionID) bool { return true }

// Guards against refusing a session although the version of one of its models is not withdrawn, and against continuing a
// session with a withdrawn version.
func TestSessionGoesOnWithServingModels(t *testing.T) {
	small, large := declaration.VersionID{Model: "small", Version: "v1"}, declaration.VersionID{Model: "large", Version: "v1"}
	pin := NewPin(small, large)
	largeWithdrawn := withdrawnPolicy{large: true}
	if problem := pin.Check(largeWithdrawn, "guild", "check"); problem != nil {
		t.Errorf("one version is not withdrawn, but the session was refused: %v", problem)
	}
	if diff := cmp.Diff([]declaration.VersionID{small}, pin.AllowedVersions(largeWithdrawn, "guild", "check")); diff != "" {
		t.Errorf("allowed versions (-want +got):\n%s", diff)
	}
	if problem := pin.CheckModel(largeWithdrawn, "guild", "check", "large"); problem == nil || problem.Code != fault.CodeSessionVersionWithdrawn {
		t.Errorf("the model with the withdrawn version was not refused: %v", problem)
	}
	if problem := pin.Check(withdrawnPolicy{small: true, large: true}, "guild", "check"); problem == nil || problem.Code != fault.CodeSessionVersionWithdrawn {
		t.Errorf("all versions are withdrawn, but the session was not refused: %v", problem)
	}
}
