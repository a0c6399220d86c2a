package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// attemptTimeoutRatio and promptAttemptTimeoutRatio times the route's target latency are the times after which an attempt without
	// an answer is abandoned for another server, if the request may be repeated. Requests with a prompt wait longer: under load the
	// server has read a part of the prompt by then, and the next server would have to read all of it again.
	attemptTimeoutRatio       = 1.0
	promptAttemptTimeoutRatio = 3.0
	// maxAttemptTimeFraction bounds such a time to a fraction of the time left, so that another server can still answer.
	maxAttemptTimeFraction = 0.5
)

// errAttemptTimeout is the cause with which an attempt is cancelled when another server may answer sooner.
var errAttemptTimeout = errors.New("no answer within the timeout of the attempt")

// startAttemptTimer cancels the attempt after a timeout if the request may be retried at another server. It returns a function
// that stops the timer.
func (r *requestJob) startAttemptTimer(cancel context.CancelCauseFunc) func() {
	if !r.route.Repeatable() || r.route.TargetLatency == 0 || r.executions+1 >= r.route.MaxAttempts {
		return func() {}
	}
	timeLeft := time.Duration(0)
	if !r.deadline.IsZero() {
		timeLeft = time.Until(r.deadline)
	}
	timeout := attemptTimeout(r.route, timeLeft)
	timer := time.AfterFunc(timeout, func() { cancel(errAttemptTimeout) })
	return func() { timer.Stop() }
}

// attemptTimeout returns the time after which an attempt without an answer is abandoned. The time left until the request's deadline is
// zero if it has none.
func attemptTimeout(route *Route, timeLeft time.Duration) time.Duration {
	if !route.HasPrompt {
		return time.Duration(attemptTimeoutRatio * float64(route.TargetLatency))
	}
	timeout := time.Duration(promptAttemptTimeoutRatio * float64(route.TargetLatency))
	if timeLeft > 0 {
		timeout = min(timeout, time.Duration(maxAttemptTimeFraction*float64(timeLeft)))
	}
	return timeout
}
