package backend

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of a new attempt in the failure rate.
	failureWeight = 0.25
	// failureHalfLife is the half-life of the failure rate, so that a server that was avoided after failures is tried again.
	failureHalfLife = 4 * time.Second
	// responseTimeWeight is the weight of a new response in the moving average of the response time.
	responseTimeWeight = 0.2
	// initialEjection and maxEjection bound how long a server gets no requests after a connection could not be established.
	// A crashed server has restarted or is off the list within seconds; each attempt to connect costs a request one round trip.
	initialEjection = 500 * time.Millisecond
	maxEjection     = 2 * time.Second
)

// health records the outcome of recent attempts of this instance at a server.
type health struct {
	failureRate  float64
	observedAt   time.Time
	responseTime time.Duration
	// connectFailures counts consecutive failures to connect; the server gets no requests until ejectedUntil.
	connectFailures int
	ejectedUntil    time.Time
	// lastConnectFailure is when a connection could last not be established. The server may have restarted since without its entry saying so.
	lastConnectFailure time.Time
}

// decayedFailureRate returns the failure rate after its exponential decay since the last attempt.
func (h *health) decayedFailureRate(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	return h.failureRate * math.Exp2(-float64(now.Sub(h.observedAt))/float64(failureHalfLife))
}

// recordOutcome updates the failure rate with the outcome of an attempt.
func (h *health) recordOutcome(failed bool, now time.Time) {
	failureRate := h.decayedFailureRate(now) * (1 - failureWeight)
	if failed {
		failureRate += failureWeight
	}
	h.failureRate, h.observedAt = failureRate, now
}

// recordConnectFailure ejects the server because a connection could not be established. The time doubles with each further
// failure, up to maxEjection.
func (h *health) recordConnectFailure(now time.Time) {
	h.ejectedUntil = now.Add(min(maxEjection, initialEjection<<min(h.connectFailures, 4)))
	h.connectFailures++
	h.lastConnectFailure = now
}

// recordResponseTime ends an ejection and updates the moving average of the response time.
func (h *health) recordResponseTime(took time.Duration) {
	h.connectFailures, h.ejectedUntil = 0, time.Time{}
	if h.responseTime == 0 {
		h.responseTime = took
		return
	}
	h.responseTime += time.Duration(responseTimeWeight * float64(took-h.responseTime))
}
