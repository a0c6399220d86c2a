// Package session keeps a session on the versions with which it started. A signed handle carries them and needs no store;
// for an identifier that the caller chose, the first request writes them to the table service.
package session

import (
	"fmt"
	"sort"

	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// Pin is the set of versions of a session, one for each model of a chain, ordered by model. It never changes.
type Pin struct {
	versions []declaration.VersionID
}

// NewPin returns a pin of the versions. Of two versions of one model the first counts.
func NewPin(versions ...declaration.VersionID) Pin {
	var p Pin
	for _, id := range versions {
		if _, ok := p.Version(id.Model); !ok {
			p.versions = append(p.versions, id)
		}
	}
	sort.Slice(p.versions, func(i, j int) bool { return p.versions[i].Model < p.versions[j].Model })
	return p
}

// Version returns the pinned version of a model.
func (p Pin) Version(model string) (declaration.VersionID, bool) {
	for _, id := range p.versions {
		if id.Model == model {
			return id, true
		}
	}
	return declaration.VersionID{}, false
}

// Versions returns a copy of the pinned versions, ordered by model.
func (p Pin) Versions() []declaration.VersionID {
	return append([]declaration.VersionID(nil), p.versions...)
}

// Empty reports whether the pin holds no version.
func (p Pin) Empty() bool { return len(p.versions) == 0 }

// Policy says what the configuration in force allows. *declaration.Snapshot implements it.
type Policy interface {
	// Usable reports whether the version may receive new work.
	Usable(id declaration.VersionID) bool
	// Allowed reports whether the organisation may use the version for the class.
	Allowed(organisation, class string, id declaration.VersionID) bool
}

// Check refuses the session if none of its versions may run its requests any more. A pin holds one version for each model,
// so a session goes on with the models whose versions still serve; it never moves to another version of a model.
func (p Pin) Check(policy Policy, organisation, class string) *fault.Error {
	var refused *fault.Error
	for _, id := range p.versions {
		switch {
		case !policy.Usable(id):
			refused = versionWithdrawn(fmt.Sprintf("the session is pinned to %s, which is withdrawn", id))
		case !policy.Allowed(organisation, class, id):
			refused = versionWithdrawn(fmt.Sprintf("the session is pinned to %s, which organisation %q may not use for class %q", id, organisation, class))
		default:
			return nil
		}
	}
	return refused
}

// Serving returns the pinned versions that may run a request of the class.
func (p Pin) Serving(policy Policy, organisation, class string) []declaration.VersionID {
	var serving []declaration.VersionID
	for _, id := range p.versions {
		if policy.Usable(id) && policy.Allowed(organisation, class, id) {
			serving = append(serving, id)
		}
	}
	return serving
}

// CheckModel refuses the session if its version of the model may not run its requests.
func (p Pin) CheckModel(policy Policy, organisation, class, model string) *fault.Error {
	id, ok := p.Version(model)
	if !ok {
		return nil
	}
	return NewPin(id).Check(policy, organisation, class)
}

func versionWithdrawn(message string) *fault.Error {
	return fault.NotRun(fault.StepSession, fault.CodeSessionVersionWithdrawn, message).
		WithAdvice("start a new session: send no session handle, or another session identifier")
}
