package session

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
)

type withdrawnPolicy map[declaration.VersionID]bool

func (w withdrawnPolicy) Usable(id declaration.VersionID) bool { return !w[id] }

func (withdrawnPolicy) Allowed(string, string, declaration.VersionID) bool { return true }

// Guards against a session that is refused although one of its models still serves, and against one that goes on with a
// withdrawn version.
func TestSessionGoesOnWithServingModels(t *testing.T) {
	small, large := declaration.VersionID{Model: "small", Version: "v1"}, declaration.VersionID{Model: "large", Version: "v1"}
	pin := NewPin(small, large)
	partly := withdrawnPolicy{large: true}
	if problem := pin.Check(partly, "guild", "check"); problem != nil {
		t.Errorf("one model serves, refused with %v", problem)
	}
	if diff := cmp.Diff([]declaration.VersionID{small}, pin.Serving(partly, "guild", "check")); diff != "" {
		t.Errorf("serving (-want +got):\n%s", diff)
	}
	if problem := pin.CheckModel(partly, "guild", "check", "large"); problem == nil || problem.Code != fault.CodeSessionVersionWithdrawn {
		t.Errorf("the withdrawn model was not refused: %v", problem)
	}
	if problem := pin.Check(withdrawnPolicy{small: true, large: true}, "guild", "check"); problem == nil || problem.Code != fault.CodeSessionVersionWithdrawn {
		t.Errorf("no model serves, not refused: %v", problem)
	}
}
