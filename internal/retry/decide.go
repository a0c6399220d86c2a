package retry

import (
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

const (
	// maxAttempts bounds the attempts of one request, the first included. With a pool of which half fails, a third attempt
	// already succeeds for 7 in 8 requests.
	maxAttempts = 3
	// backoffBase is the longest wait before the first retry; it doubles with each further one.
	backoffBase = 50 * time.Millisecond
	// backoffMax caps the wait, because a request has little time left after a second.
	backoffMax = time.Second
	// minimalAttempt is the time that must remain after the back-off; less than one network round trip and a prompt step
	// cannot produce an answer.
	minimalAttempt = 50 * time.Millisecond
)

// Reason says why a request is not attempted again, or that it is.
type Reason string

// Reasons, also used as a metric label.
const (
	ReasonAnswered      Reason = "answered"
	ReasonRetry         Reason = "retry"
	ReasonNotRepeatable Reason = "not_repeatable"
	ReasonRelayed       Reason = "relayed"
	ReasonAttempts      Reason = "attempts"
	ReasonDeadline      Reason = "deadline"
	ReasonBudget        Reason = "budget"
)

// Situation is a request after one of its attempts ended.
type Situation struct {
	Attempt Attempt
	// Number counts the attempts made so far, this one included.
	Number int
	// Repeatable reports whether the work may run more than once.
	Repeatable bool
	// Relayed reports whether the caller already received part of an answer. Such a request is resumed, not repeated.
	Relayed bool
	// Deadline is the time by which the answer must be complete; zero means none.
	Deadline time.Time
}

// Verdict is the decision on a request after an attempt.
type Verdict struct {
	Outcome api.Outcome
	Retry   bool
	// After is the wait before the next attempt.
	After  time.Duration
	Reason Reason
}

// Decide returns the verdict without regard to the budget; Budgets.Decide applies it.
func Decide(s Situation, now time.Time, random *rand.Rand) Verdict {
	verdict := Verdict{Outcome: Outcome(s.Attempt), Reason: ReasonRetry}
	after := Backoff(s.Number, random)
	switch {
	case !Failed(s.Attempt):
		verdict.Reason = ReasonAnswered
	case s.Relayed:
		verdict.Reason = ReasonRelayed
	case !s.Repeatable && verdict.Outcome != api.OutcomeNotRun:
		verdict.Reason = ReasonNotRepeatable
	case s.Number >= maxAttempts:
		verdict.Reason = ReasonAttempts
	case !s.Deadline.IsZero() && now.Add(after+minimalAttempt).After(s.Deadline):
		verdict.Reason = ReasonDeadline
	default:
		verdict.Retry = true
		verdict.After = after
	}
	return verdict
}

// Backoff returns the wait after the given number of attempts: between half and all of a limit that doubles each time. The
// random half spreads the retries of requests that failed together.
func Backoff(number int, random *rand.Rand) time.Duration {
	limit := backoffBase << min(max(number-1, 0), 10)
	limit = min(limit, backoffMax)
	return limit/2 + time.Duration(random.Int64N(int64(limit/2)+1))
}

// HedgeInput is a request whose first attempt has not answered yet.
type HedgeInput struct {
	// Elapsed is the time since the attempt was sent.
	Elapsed time.Duration
	// P95 is the class's 95th percentile of the time to the first token; zero if unknown.
	P95        time.Duration
	Repeatable bool
	// FirstByte reports whether the first token arrived.
	FirstByte bool
	// Hedged reports whether a second attempt was started already.
	Hedged   bool
	Deadline time.Time
}

// Hedge reports whether a second attempt should start beside the first one now, if the budget allows it.
func Hedge(in HedgeInput, now time.Time) bool {
	if !in.Repeatable || in.FirstByte || in.Hedged || in.P95 <= 0 || in.Elapsed < in.P95 {
		return false
	}
	return in.Deadline.IsZero() || now.Add(in.P95).Before(in.Deadline)
}
