// Package migration moves a service from one software version to another when the operator orders it. A small fraction of
// the sessions moves first, then all of them. If the new version gives bad or slow answers, all sessions return to the old one at
// once. All functions take the time as an argument.
package migration

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawall/cicadawall/internal/storepos"
)

// State is the state of a migration as operators read it.
type State string

// States of a migration.
const (
	StateRunning    State = "running"
	StateCompleted  State = "completed"
	StateRolledBack State = "rolled_back"
)

// Final reports whether the state is the last one of a migration.
func (s State) Final() bool { return s == StateCompleted || s == StateRolledBack }

// Order is an operator's request to move a service to a version.
type Order struct {
	Service string
	// Target is the version to move to.
	Target string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Revision identifies the order among those for the service: the position of its row when it was first read.
	Revision storepos.Position
}

// Status is the state of a service's migration as recorded in the store.
type Status struct {
	Service string
	Target  string
	State   State
	// Revision is the position of the stored record.
	Revision storepos.Position
}

// sameRequest reports whether both orders ask for the same. Durations are compared in milliseconds, as peers report them.
func (o Order) sameRequest(other Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Duration.Milliseconds() == other.Duration.Milliseconds()
}

// The fraction of sessions on the new version follows from the exposure budget: the fraction of all requests between an
// order and its deadline that a bad version may receive. The faults of a version may show only under load, so the schedule for
// sessions uses at most two thirds of the budget even if no bad answer is seen. The rest is reserved for a burst of requests
// before the deadline. Requests without a session need no ramp; they spend that part and some of the reserve on the load test, which counts
// requests, so that a burst ends it earlier.
const (
	// trialExposureFraction is the fraction of the exposure budget that is spent before the ramp. Requests without a session spend less, because
	// the load test tells more of their version.
	trialExposureFraction            = 0.15
	sessionlessTrialExposureFraction = 0.1
	// rampStartDistance, rampEndDistance and completionDistance are distances from the deadline, as multiples of the exposure
	// times the duration. At the first the fraction starts to rise, at the second it is 1, and at the third the migration may
	// complete. The last one leaves 0.8 s of a duration of 24 s at an exposure of 0.1: an order is received up to 0.3 s late, the
	// decision waits up to 0.3 s, and the write takes time.
	rampStartDistance  = 0.7
	rampEndDistance    = 0.35
	completionDistance = 0.33
	// trialStartFraction is the fraction of the duration after which the first sessions move. They must not move in the first
	// half.
	trialStartFraction = 0.51
	// sessionlessStartFraction is the fraction of the duration after which requests without a session start to move. Until then
	// the new backend servers register at all instances.
	sessionlessStartFraction = 0.04
	// loadTestStartFraction is the fraction of the duration after which requests without a session test the new version under load: all of them
	// use it until loadTestExposureFraction of the exposure budget and loadTestSlackFraction of the exposure slack are used. Faults that
	// show only under load were missed by the trial, whose requests are spread over the duration. The answers must reach the deciding
	// instances, which takes about a second, before the requests move for good.
	loadTestStartFraction    = 0.75
	loadTestExposureFraction = 0.35
	loadTestSlackFraction    = 0.8
)

// schedule gives the fraction of the sessions on the new version. The exposure is between 0 and 1.
type schedule struct{ exposure float64 }

// newVersionFraction returns the fraction of the sessions on the new version after a fraction of the order's duration.
func (s schedule) newVersionFraction(elapsedFraction float64, sessionless bool) float64 {
	rampStart, rampEnd := 1-rampStartDistance*s.exposure, 1-rampEndDistance*s.exposure
	start, budget := trialStartFraction, trialExposureFraction
	if sessionless {
		// The load test takes the place of the ramp.
		start, budget, rampStart = sessionlessStartFraction, sessionlessTrialExposureFraction, rampEnd
	}
	trial := budget * s.exposure / max(0.1, rampStart-start)
	switch {
	case elapsedFraction < start:
		return 0
	case elapsedFraction < rampStart:
		return trial
	case elapsedFraction < rampEnd:
		return trial + (1-trial)*(elapsedFraction-rampStart)/(rampEnd-rampStart)
	default:
		return 1
	}
}

// mayTestLoad reports whether requests without a session may test the new version under load.
func (s schedule) mayTestLoad(elapsedFraction float64) bool {
	return elapsedFraction >= loadTestStartFraction
}

// mayComplete reports whether the migration may complete, after which the old version may be shut down.
func (s schedule) mayComplete(elapsedFraction float64) bool {
	return elapsedFraction >= 1-completionDistance*s.exposure
}

// Preference restricts the versions that may serve a request during a migration.
type Preference struct {
	// Use is the version that must serve the request. If it is empty, any version not listed below may serve it.
	Use string
	// Avoid is the version that serves the request only if no other version can; empty if there is none.
	Avoid string
	// LoadTest is the number of requests of the service that run at a time, if the request tests Use under load; zero if it does not. The
	// requests of a load test go to as few servers as can run them.
	LoadTest float64
	// Withdrawn are the versions that must not serve the request, even if it fails for lack of another one.
	Withdrawn []string
}

// sessionPosition maps a session to a number between 0 and 1. The result is the same at every instance.
func sessionPosition(service, target, session string) float64 {
	hash := xxhash.New()
	for _, text := range []string{service, target, session} {
		_, _ = hash.WriteString(text)
		_, _ = hash.Write([]byte{0})
	}
	return float64(hash.Sum64()>>11) / (1 << 53)
}
