package admission

import (
	"math"
	"time"
)

const (
	// rateMemory is the busy time after which an observation weighs 1/e. Engines speed up and slow down within seconds,
	// while single long answers should not swing the prediction.
	rateMemory = 5 * time.Second
	// rateEvidence is the busy time below which the rate is treated as unknown.
	rateEvidence = 200 * time.Millisecond
)

// serviceRate observes how many tokens of work per second leave the queue while something waits in it. Idle time is not
// counted, because an empty queue says nothing about the capacity.
type serviceRate struct {
	tokens float64
	busy   float64 // seconds
	since  time.Time
}

// start begins a busy period.
func (r *serviceRate) start(now time.Time) { r.since = now }

// advance accounts the busy time up to now.
func (r *serviceRate) advance(now time.Time) {
	elapsed := now.Sub(r.since).Seconds()
	if r.since.IsZero() || elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed / rateMemory.Seconds())
	r.tokens *= keep
	r.busy = r.busy*keep + elapsed
	r.since = now
}

// served records work that left the queue for a worker.
func (r *serviceRate) served(tokens float64) { r.tokens += tokens }

// stop ends a busy period.
func (r *serviceRate) stop(now time.Time) {
	r.advance(now)
	r.since = time.Time{}
}

// wait returns the predicted time to serve the tokens, and false while the rate is unknown.
func (r *serviceRate) wait(tokens float64) (time.Duration, bool) {
	if tokens <= 0 {
		return 0, true
	}
	if r.busy < rateEvidence.Seconds() {
		return 0, false
	}
	if r.tokens <= 0 {
		return longestWait, true
	}
	seconds := tokens * r.busy / r.tokens
	return time.Duration(min(seconds, longestWait.Seconds()) * float64(time.Second)), true
}

// perSecond returns the observed rate in tokens per second; zero while unknown.
func (r *serviceRate) perSecond() float64 {
	if r.busy < rateEvidence.Seconds() {
		return 0
	}
	return r.tokens / r.busy
}
