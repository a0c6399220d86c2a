// Package escalation decides which answers of a smaller model are dropped, so that the largest model answers instead. The servers of the
// largest model are scarce: a run there delays the requests that wait for them, so the decision follows their load. It is pure.
package escalation

import "time"

const (
	// MinConfidence is the lowest confidence at which the answer of a smaller model is accepted. At 50 a model is as
	// likely right as wrong; the threshold is higher because a wrong answer costs more than another run.
	MinConfidence = 55
	// minLateConfidence replaces MinConfidence if the answer of the largest model would certainly be late. A less certain answer
	// in time then serves the caller better than a good one too late or never, and the servers of the largest model recover.
	minLateConfidence = 15
	// onTimeRatio and lateRatio are the ratios of the expected delay of the largest model to the time left until the target at which
	// its answer is probably in time and certainly late.
	onTimeRatio = 0.6
	lateRatio   = 1.5
	// urgencyStep is the part by which each step of priority scales the expected delay, so that the least urgent classes stop using the
	// largest model first.
	urgencyStep = 0.25
)

// State is what the decision on one answer rests on.
type State struct {
	// ExpectedDelay is the expected time from the start of an attempt with the largest model to its first event.
	ExpectedDelay time.Duration
	// TimeLeft is the time left until the target for the first event.
	TimeLeft time.Duration
	// FleetLoad is set if ExpectedDelay is an estimate from the present load of the servers, rather than an average of earlier delays.
	FleetLoad bool
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
}

// Threshold returns the lowest confidence at which the answer of a smaller model is accepted.
func Threshold(s State) int {
	if s.TimeLeft <= 0 {
		return minLateConfidence
	}
	ratio := float64(s.ExpectedDelay) / float64(s.TimeLeft)
	if s.FleetLoad {
		ratio *= 1 + urgencyStep*float64(max(0, s.Priority))
	}
	return between(ratio, onTimeRatio, lateRatio, MinConfidence, minLateConfidence)
}

// between interpolates linearly from the value at low to the value at high, and is constant outside of the range.
func between(x, low, high float64, atLow, atHigh int) int {
	fraction := min(1, max(0, (x-low)/(high-low)))
	return atLow - int(fraction*float64(atLow-atHigh))
}
