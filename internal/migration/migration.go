// Package migration moves a service from one software version to another when the operator orders it: a small share of the
// sessions first, then all of them, or back at once if the new version answers badly. All functions take the time as an
// argument.
package migration

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a migration as the operator reads it.
type State string

// States of a migration.
const (
	StateRunning    State = "running"
	StateCompleted  State = "completed"
	StateRolledBack State = "rolled_back"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == StateCompleted || s == StateRolledBack }

// Order is the operator's wish to move a service.
type Order struct {
	Service string
	// Target is the version to move to.
	Target   string
	Duration time.Duration
	// Revision names this order among those for the service.
	Revision int64
}

// Status is the recorded state of the order for a service.
type Status struct {
	Service string
	Target  string
	State   State
	// Revision is the revision of the record.
	Revision int64
}

// The share of the new version follows from the exposure that the platform allows to a bad one, as a part of all requests
// between the order and its deadline. A version may hide its faults until it has load, so the share keeps within two
// thirds of that even if nothing bad is seen; a burst at the end takes the rest.
const (
	// trialPart is the part of the exposure that is spent before the rise.
	trialPart = 0.15
	// riseFrom, riseTo and completeAt are the distances from the deadline, in exposures, at which the share starts to rise,
	// at which it is 1, and at which the old version may end. The last one leaves 0.8 s of 24 s at an exposure of 0.1: an order
	// is learnt up to 0.3 s late, the decision waits up to 0.3 s, and the write takes time.
	riseFrom   = 0.7
	riseTo     = 0.35
	completeAt = 0.33
	// trialStart is the part of the duration at which the first sessions move; until its half they must not.
	trialStart = 0.51
	// earlyStart is the part of the duration at which requests without a session start to move. Until then the new servers
	// register at all instances.
	earlyStart = 0.04
)

// schedule gives the share of the new version for an exposure between 0 and 1.
type schedule struct{ exposure float64 }

// share returns the share of the sessions on the new version at a part of the duration.
func (s schedule) share(part float64, sessionless bool) float64 {
	start := trialStart
	if sessionless {
		start = earlyStart
	}
	from, to := 1-riseFrom*s.exposure, 1-riseTo*s.exposure
	trial := trialPart * s.exposure / max(0.1, from-start)
	switch {
	case part < start:
		return 0
	case part < from:
		return trial
	case part < to:
		return trial + (1-trial)*(part-from)/(to-from)
	default:
		return 1
	}
}

// complete reports whether the old version may end.
func (s schedule) complete(part float64) bool { return part >= 1-completeAt*s.exposure }

// Preference says which version takes a request while a service is moved.
type Preference struct {
	// Use is the version that takes the request; empty if any may that is not named below.
	Use string
	// Avoid is the version that does not take the request unless no other is left; empty if there is none.
	Avoid string
	// Withdrawn versions take no request, even if it fails for that.
	Withdrawn []string
}

// position places a session between 0 and 1, the same at every instance.
func position(service, target, session string) float64 {
	hash := xxhash.New()
	for _, text := range []string{service, target, session} {
		_, _ = hash.WriteString(text)
		_, _ = hash.Write([]byte{0})
	}
	return float64(hash.Sum64()>>11) / (1 << 53)
}
