package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// prefillTokensPerMillisecond converts prompt tokens into prefill time. It is the order of magnitude of a current
	// accelerator with a large model; only the ratio to the delays of the other scorers matters.
	prefillTokensPerMillisecond = 20
	// uncachedTokenWeight multiplies the prompt tokens missing from the server's cache, because their prefill delays both this
	// request and the requests already running.
	uncachedTokenWeight = 2
	// runningRequestDelay is the delay that each running request of the batch adds to the first token of the next request.
	runningRequestDelay = 15 * time.Millisecond
	// failureDelay is the expected delay at a server that fails every attempt: the failed attempt, the detection of the failure
	// and another attempt.
	failureDelay = 3 * time.Second
	// defaultResponseTime is assumed for a server without a measured response time.
	defaultResponseTime = 50 * time.Millisecond
	// coldSlowdownFactor is the assumed factor on the response time of a server that is still warming up.
	coldSlowdownFactor = 1.6
)

// SoftwareVersionFilter drops servers whose software version is not the required one or is excluded.
type SoftwareVersionFilter struct{}

// DropReason implements Filter.
func (SoftwareVersionFilter) DropReason(c *Candidate, r *Request, _ time.Time) Reason {
	if r.RequiredSoftware != "" && c.Software != r.RequiredSoftware {
		return ReasonOtherSoftware
	}
	if slices.Contains(r.ExcludedSoftware, c.Software) {
		return ReasonOtherSoftware
	}
	return ReasonNone
}

// BackoffFilter drops servers that asked to get no requests for some time.
type BackoffFilter struct{}

// DropReason implements Filter.
func (BackoffFilter) DropReason(c *Candidate, _ *Request, now time.Time) Reason {
	if now.Before(c.BackoffUntil) {
		return ReasonBackoff
	}
	return ReasonNone
}

// ShortestBackoff returns the time until the first of the candidates wants requests again; zero if one wants them now or there are none.
func ShortestBackoff(candidates []Candidate, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for i := range candidates {
		if candidates[i].Leaving || candidates[i].Evacuated {
			continue
		}
		wait := candidates[i].BackoffUntil.Sub(now)
		if wait <= 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// ColdFilter drops cold servers to which this instance may not send a request now.
type ColdFilter struct{}

// DropReason implements Filter.
func (ColdFilter) DropReason(c *Candidate, _ *Request, _ time.Time) Reason {
	if c.ColdWait > 0 {
		return ReasonCold
	}
	return ReasonNone
}

// ShortestColdWait returns the time until the first of the candidates may get a request if all that accept requests are cold; zero otherwise.
func ShortestColdWait(candidates []Candidate, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Leaving || c.Evacuated || now.Before(c.BackoffUntil) {
			continue
		}
		if c.ColdWait <= 0 {
			return 0
		}
		if shortest == 0 || c.ColdWait < shortest {
			shortest = c.ColdWait
		}
	}
	return shortest
}

// InFlightLimitFilter drops servers at which this instance already uses its share of the connections.
type InFlightLimitFilter struct{}

// DropReason implements Filter.
func (InFlightLimitFilter) DropReason(c *Candidate, _ *Request, _ time.Time) Reason {
	if c.MaxInFlight > 0 && c.InFlight >= c.MaxInFlight {
		return ReasonInFlightLimit
	}
	return ReasonNone
}

// PrefillScorer estimates the time until the end of the prefill from the prompt tokens missing from the server's cache, the
// pending tokens of earlier prompts, and the requests running and queued on the server. It knows only those of this instance: reports
// of peers are up to a second old, so that all instances avoid the same servers and then choose the same ones.
type PrefillScorer struct{}

// Score implements Scorer.
func (PrefillScorer) Score(c *Candidate, r *Request, _ time.Time) time.Duration {
	tokens := uncachedTokenWeight*max(0, r.PromptTokens-c.CachedTokens) + c.PendingTokens
	running := c.InFlight
	delay := time.Duration(tokens)*time.Millisecond/prefillTokensPerMillisecond + time.Duration(running)*runningRequestDelay
	if waiting := running + 1 - c.Slots; c.Slots > 0 && waiting > 0 {
		delay += queuedBatchDelay * time.Duration(waiting) / time.Duration(c.Slots)
	}
	return delay
}

// ResponseTimeScorer estimates the response time of a request without a prompt from the server's recent response times and
// the fraction of its slots in use.
type ResponseTimeScorer struct{}

// Score implements Scorer.
func (ResponseTimeScorer) Score(c *Candidate, _ *Request, _ time.Time) time.Duration {
	responseTime := c.ResponseTime
	if responseTime == 0 {
		responseTime = defaultResponseTime
	}
	slots := max(1, c.Slots)
	score := float64(responseTime) * (1 + float64(c.InFlight)/float64(slots))
	if c.Cold {
		score *= coldSlowdownFactor
	}
	return time.Duration(score)
}

// FailureScorer adds the expected delay caused by a failed attempt.
type FailureScorer struct{}

// Score implements Scorer.
func (FailureScorer) Score(c *Candidate, _ *Request, _ time.Time) time.Duration {
	return time.Duration(c.FailureRate * float64(failureDelay))
}

// LowestScore picks the candidate with the lowest score; it breaks ties at random.
type LowestScore struct{}

// Pick implements Picker.
func (LowestScore) Pick(candidates []*Candidate, score func(*Candidate) time.Duration, rng *rand.Rand) *Candidate {
	var best *Candidate
	var lowestScore time.Duration
	ties := 0
	for _, c := range candidates {
		s := score(c)
		switch {
		case best == nil || s < lowestScore:
			best, lowestScore, ties = c, s, 1
		case s == lowestScore:
			ties++
			if rng.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

// PromptPolicy chooses a server for a request with a prompt.
func PromptPolicy() Policy {
	return Policy{
		Filters: []Filter{EvacuatedFilter{}, SoftwareVersionFilter{}, LeavingFilter{}, BackoffFilter{}, EjectedFilter{}, TriedFilter{}, InFlightLimitFilter{}, ColdFilter{}},
		Scorers: []Scorer{PrefillScorer{}, PartitionScorer{}, FailureScorer{}, ZoneScorer{}},
		Picker:  LowestScore{},
	}
}

// PlainPolicy chooses a server for a request without a prompt.
func PlainPolicy() Policy {
	return Policy{
		Filters: []Filter{EvacuatedFilter{}, SoftwareVersionFilter{}, LeavingFilter{}, BackoffFilter{}, EjectedFilter{}, TriedFilter{}, LoadTestFilter{},
			InFlightLimitFilter{}, ColdFilter{}},
		Scorers: []Scorer{ResponseTimeScorer{}, FailureScorer{}, ZoneScorer{}},
		Picker:  LowestScore{},
	}
}
