package backend

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of a new attempt in the failure rate.
	failureWeight = 0.25
	// failureHalfLife fades the failure rate, so that a server that was avoided is tried again.
	failureHalfLife = 4 * time.Second
	// answerWeight is the weight of a new answer in the moving average of the answer time.
	answerWeight = 0.2
	// ejectFirst and ejectMax are how long a server gets nothing after no connection could be made. A crashed server is back
	// or off the list within seconds; each try costs a request a round trip.
	ejectFirst = 500 * time.Millisecond
	ejectMax   = 2 * time.Second
)

// health is how a server answered this instance lately.
type health struct {
	failures float64
	at       time.Time
	answer   time.Duration
	// ejections counts failed connections in a row; the server gets nothing until ejected.
	ejections int
	ejected   time.Time
}

// rate returns the failure rate, faded since the last attempt.
func (h *health) rate(now time.Time) float64 {
	if h.failures == 0 {
		return 0
	}
	return h.failures * math.Exp2(-float64(now.Sub(h.at))/float64(failureHalfLife))
}

// observe records the end of an attempt.
func (h *health) observe(failed bool, now time.Time) {
	rate := h.rate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	h.failures, h.at = rate, now
}

// unreached records that no connection could be made.
func (h *health) unreached(now time.Time) {
	h.ejected = now.Add(min(ejectMax, ejectFirst<<min(h.ejections, 4)))
	h.ejections++
}

// answered records the time of an answer.
func (h *health) answered(took time.Duration) {
	h.ejections, h.ejected = 0, time.Time{}
	if h.answer == 0 {
		h.answer = took
		return
	}
	h.answer += time.Duration(answerWeight * float64(took-h.answer))
}
