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

const (
	// earlyShare is the share of requests without a session on the new version during the first half. Sessions must keep
	// their version until then, and no instance knows what a session ran on elsewhere.
	earlyShare = 0.06
	// trialShare is the share of the sessions on the new version at the start of the second half. A bad version must get far
	// less than the platform's bound on its exposure, 0.1 to 0.15 of all requests, and enough to be told from a good one.
	trialShare = 0.12
	// trialStart, rampStart and rampEnd are the parts of the duration at which sessions start to move, at which the share
	// starts to rise, and at which it is 1. Requests on the old version need the rest to end.
	trialStart = 0.51
	rampStart  = 0.66
	rampEnd    = 0.80
	// completeAt is the part of the duration after which the old version may end.
	completeAt = 0.93
	// earlyStart is the wait before the first request, in which the new servers register at all instances.
	earlyStart = 0.04
)

// shareAt returns the share of the sessions on the new version at a part of the duration.
func shareAt(part float64, sessionless bool) float64 {
	switch {
	case part < earlyStart || part < trialStart && !sessionless:
		return 0
	case part < trialStart:
		return earlyShare
	case part < rampStart:
		return trialShare
	case part < rampEnd:
		// A slow start of the rise keeps the exposure of a version that turns bad late small.
		return trialShare + (1-trialShare)*square((part-rampStart)/(rampEnd-rampStart))
	default:
		return 1
	}
}

func square(x float64) float64 { return x * x }

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
