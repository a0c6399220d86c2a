// Package session pins a session to the model versions with which it started. A signed session handle contains the pinned
// versions and needs no store. For a session identifier chosen by the caller, the first request writes them to the table
// service.
package session

import (
	"fmt"
	"sort"

	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// Pin is the immutable set of versions to which a session is pinned: one for each model of a chain, ordered by model.
type Pin struct {
	versions []declaration.VersionID
}

// NewPin returns a pin to the versions. If a model has several versions, it uses the first one.
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

// Policy reports which versions the configuration in force permits. *declaration.Snapshot implements it.
type Policy interface {
	// Usable reports whether the state of the version permits new requests.
	Usable(id declaration.VersionID) bool
	// Allowed reports whether the organisation may use the version for the class.
	Allowed(organisation, class string, id declaration.VersionID) bool
}

// Check refuses the session if the policy permits none of its versions. Otherwise the session continues with the models
// whose pinned version is still permitted; it never changes to another version of a model.
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

// AllowedVersions returns the pinned versions that the policy permits for requests of the class.
func (p Pin) AllowedVersions(policy Policy, organisation, class string) []declaration.VersionID {
	var serving []declaration.VersionID
	for _, id := range p.versions {
		if policy.Usable(id) && policy.Allowed(organisation, class, id) {
			serving = append(serving, id)
		}
	}
	return serving
}

// CheckModel refuses the session if it is pinned to a version of the model that the policy does not permit.
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
