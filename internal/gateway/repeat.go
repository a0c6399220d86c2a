package gateway

import "time"

// mayRetry reports whether the deadline, the limits on attempts and the retry budget allow another attempt.
func (r *requestJob) mayRetry(now time.Time) bool {
	r.stopReason = r.attemptLimit(now)
	if r.stopReason != "" {
		return false
	}
	if r.sentAttempts == 0 || r.repeatGranted {
		// The retry budget limits the attempts that reach a server after another one did.
		return true
	}
	if !r.gateway.RetryBudget.Spend(r.service.Name, 1, now) {
		r.stopReason = "retry budget"
		r.gateway.Metrics.countBudgetRefusal()
		return false
	}
	r.repeatGranted = true
	return true
}

// recordArrival tells the retry budget that the current attempt has reached its server, if it is a repeat.
func (r *requestJob) recordArrival() {
	if r.repeatGranted {
		r.repeatGranted = false
		r.gateway.RetryBudget.Arrived(r.service.Name, r.abandoned, time.Now())
	}
}

// releaseRepeat returns a repeat that was granted and reached no server.
func (r *requestJob) releaseRepeat() {
	if r.repeatGranted {
		r.repeatGranted = false
		r.gateway.RetryBudget.Release(r.service.Name)
	}
}

// attemptLimit names the limit of the request itself that allows no further attempt, or returns "".
func (r *requestJob) attemptLimit(now time.Time) string {
	switch {
	case r.ctx.Err() != nil:
		return "request ended"
	case r.sentAttempts >= maxSentAttempts || r.unsentAttempts >= maxUnsentAttempts:
		return "attempts"
	case r.executions >= max(1, r.route.MaxAttempts):
		return "executions"
	case r.crashes >= maxCrashesPerRequest:
		return "crashes"
	case !r.deadline.IsZero() && r.deadline.Sub(now) < minAttemptTime:
		return "deadline"
	}
	return ""
}

// retryOrFinish reports whether another attempt may follow, and ends the request if not. A request that must run at most once
// is repeated only if no server can have run it; notRun says that the last attempt did not run.
func (r *requestJob) retryOrFinish(notRun bool) bool {
	if notRun && !r.outcomeUnknown || r.route.Repeatable() {
		return true
	}
	r.finishUnanswered()
	return false
}
