package admission

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the busy time after which an observation has decayed to the weight 1/e. Engines speed up and slow
	// down within seconds, but a single long answer must not distort the prediction.
	rateTimeConstant = 5 * time.Second
	// minObservedBusyTime is the busy time below which the rate is treated as unknown.
	minObservedBusyTime = 200 * time.Millisecond
)

// serviceRate measures the rate, in tokens per second, at which work leaves the queue while it is not empty. The time in
// which the queue is empty is not counted, because it gives no evidence of the capacity.
type serviceRate struct {
	// servedTokens and busySeconds decay with rateTimeConstant.
	servedTokens float64
	busySeconds  float64
	// accountedUntil is the end of the busy time added so far; zero while the queue is empty.
	accountedUntil time.Time
}

// startBusy starts a busy period, in which the queue is not empty.
func (r *serviceRate) startBusy(now time.Time) { r.accountedUntil = now }

// advance adds the busy time up to now and decays the earlier observations.
func (r *serviceRate) advance(now time.Time) {
	elapsed := now.Sub(r.accountedUntil).Seconds()
	if r.accountedUntil.IsZero() || elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed / rateTimeConstant.Seconds())
	r.servedTokens *= decay
	r.busySeconds = r.busySeconds*decay + elapsed
	r.accountedUntil = now
}

// recordServed adds the tokens of an item that was handed to a worker.
func (r *serviceRate) recordServed(tokens float64) { r.servedTokens += tokens }

// stopBusy ends a busy period.
func (r *serviceRate) stopBusy(now time.Time) {
	r.advance(now)
	r.accountedUntil = time.Time{}
}

// predictWait returns the predicted time until the tokens are served, or false while the rate is unknown.
func (r *serviceRate) predictWait(tokens float64) (time.Duration, bool) {
	if tokens <= 0 {
		return 0, true
	}
	if r.busySeconds < minObservedBusyTime.Seconds() {
		return 0, false
	}
	if r.servedTokens <= 0 {
		return maxPredictedWait, true
	}
	seconds := tokens * r.busySeconds / r.servedTokens
	return time.Duration(min(seconds, maxPredictedWait.Seconds()) * float64(time.Second)), true
}

// tokensPerSecond returns the observed rate in tokens per second; zero while unknown.
func (r *serviceRate) tokensPerSecond() float64 {
	if r.busySeconds < minObservedBusyTime.Seconds() {
		return 0
	}
	return r.servedTokens / r.busySeconds
}
