package retry

import (
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

const (
	// maxAttempts bounds the attempts of one request, including the first. Even if half of the pool fails, 7 in 8 requests
	// succeed within three attempts.
	maxAttempts = 3
	// backoffBase is the maximum backoff before the first retry; it doubles with each further retry.
	backoffBase = 50 * time.Millisecond
	// backoffMax caps the backoff, because a request has little time left after a second.
	backoffMax = time.Second
	// minAttemptTime is the time that must remain before the deadline after the backoff. An attempt with less time than one
	// network round trip and a prefill step cannot produce an answer.
	minAttemptTime = 50 * time.Millisecond
)

// Reason says why a request is retried or not.
type Reason string

// Reasons; they are also values of a metric label.
const (
	ReasonAnswered      Reason = "answered"
	ReasonRetry         Reason = "retry"
	ReasonNotRepeatable Reason = "not_repeatable"
	ReasonRelayed       Reason = "relayed"
	ReasonAttempts      Reason = "attempts"
	ReasonDeadline      Reason = "deadline"
	ReasonBudget        Reason = "budget"
)

// RequestState is the state of a request after one of its attempts has ended.
type RequestState struct {
	Attempt Attempt
	// AttemptsMade is the number of attempts made so far, including this one.
	AttemptsMade int
	// Repeatable reports whether the work may run more than once.
	Repeatable bool
	// Relayed reports whether the caller has already received part of an answer. Such a request is resumed, not retried.
	Relayed bool
	// Deadline is the time by which the answer must be complete; zero means none.
	Deadline time.Time
}

// Verdict is the decision on a request after an attempt.
type Verdict struct {
	Outcome api.Outcome
	Retry   bool
	// Backoff is the wait before the next attempt.
	Backoff time.Duration
	Reason  Reason
}

// Decide returns the verdict without regard to the retry budget; Budgets.Decide applies the budget too.
func Decide(s RequestState, now time.Time, random *rand.Rand) Verdict {
	verdict := Verdict{Outcome: Outcome(s.Attempt), Reason: ReasonRetry}
	backoff := Backoff(s.AttemptsMade, random)
	switch {
	case !Failed(s.Attempt):
		verdict.Reason = ReasonAnswered
	case s.Relayed:
		verdict.Reason = ReasonRelayed
	case !s.Repeatable && verdict.Outcome != api.OutcomeNotRun:
		verdict.Reason = ReasonNotRepeatable
	case s.AttemptsMade >= maxAttempts:
		verdict.Reason = ReasonAttempts
	case !s.Deadline.IsZero() && now.Add(backoff+minAttemptTime).After(s.Deadline):
		verdict.Reason = ReasonDeadline
	default:
		verdict.Retry = true
		verdict.Backoff = backoff
	}
	return verdict
}

// Backoff returns the wait after the given number of attempts: a random time between half and all of a bound that doubles
// each time. The jitter spreads the retries of requests that failed together.
func Backoff(attemptsMade int, random *rand.Rand) time.Duration {
	limit := backoffBase << min(max(attemptsMade-1, 0), 10)
	limit = min(limit, backoffMax)
	return limit/2 + time.Duration(random.Int64N(int64(limit/2)+1))
}

// HedgeInput is the state of a request that may be hedged.
type HedgeInput struct {
	// Elapsed is the time since the attempt was sent.
	Elapsed time.Duration
	// FirstTokenP95 is the 95th percentile of the class's time to first token; zero if unknown.
	FirstTokenP95     time.Duration
	Repeatable        bool
	FirstTokenArrived bool
	// Hedged reports whether a second attempt has already started.
	Hedged   bool
	Deadline time.Time
}

// ShouldHedge reports whether a second attempt should now start in parallel to the first, provided that the budget allows
// it.
func ShouldHedge(in HedgeInput, now time.Time) bool {
	if !in.Repeatable || in.FirstTokenArrived || in.Hedged || in.FirstTokenP95 <= 0 || in.Elapsed < in.FirstTokenP95 {
		return false
	}
	return in.Deadline.IsZero() || now.Add(in.FirstTokenP95).Before(in.Deadline)
}
