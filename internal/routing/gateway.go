package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// prefillTokensPerMilli converts prompt tokens into time. Only its ratio to the other scorers matters: it is the order of
	// magnitude of a current accelerator with a large model.
	prefillTokensPerMilli = 20
	// rereadWeight is charged for tokens that the server does not hold: reading them delays this request and those that run.
	rereadWeight = 2
	// runDelay is the delay that each request running in a batch adds to the first token of the next.
	runDelay = 15 * time.Millisecond
	// failureDelay is the delay of a server at which every attempt fails: an attempt, its detection and another attempt.
	failureDelay = 3 * time.Second
	// usualAnswer is assumed for a server that has not answered yet.
	usualAnswer = 50 * time.Millisecond
	// coldFactor is the assumed slow-down of a server that is still warming up.
	coldFactor = 1.6
)

// VersionFilter drops servers of another software version than the one asked for, and of those to avoid.
type VersionFilter struct{}

// Drop implements Filter.
func (VersionFilter) Drop(c *Candidate, r *Request, _ time.Time) Reason {
	if r.Software != "" && c.Software != r.Software {
		return ReasonOtherVersion
	}
	if slices.Contains(r.NotSoftware, c.Software) {
		return ReasonOtherVersion
	}
	return ReasonNone
}

// FullFilter drops servers at which this instance's share of the connections is in use.
type FullFilter struct{}

// Drop implements Filter.
func (FullFilter) Drop(c *Candidate, _ *Request, _ time.Time) Reason {
	if c.MaxInFlight > 0 && c.InFlight >= c.MaxInFlight {
		return ReasonFull
	}
	return ReasonNone
}

// PromptScorer estimates the time until the server has read the prompt: the tokens that it does not hold, the tokens of
// prompts sent before, and the requests in its batch.
type PromptScorer struct{}

// Score implements Scorer.
func (PromptScorer) Score(c *Candidate, r *Request, _ time.Time) time.Duration {
	tokens := rereadWeight*max(0, r.PromptTokens-c.CachedTokens) + c.PendingTokens
	running := c.InFlight + c.OtherInFlight
	delay := time.Duration(tokens)*time.Millisecond/prefillTokensPerMilli + time.Duration(running)*runDelay
	if waiting := running + 1 - c.Slots; c.Slots > 0 && waiting > 0 {
		delay += queueDelay * time.Duration(waiting) / time.Duration(c.Slots)
	}
	return delay
}

// AnswerScorer estimates the time of a plain answer from the server's recent answers and the places that are taken.
type AnswerScorer struct{}

// Score implements Scorer.
func (AnswerScorer) Score(c *Candidate, _ *Request, _ time.Time) time.Duration {
	usual := c.AnswerTime
	if usual == 0 {
		usual = usualAnswer
	}
	slots := max(1, c.Slots)
	score := float64(usual) * (1 + float64(c.InFlight+c.OtherInFlight)/float64(slots))
	if c.Cold {
		score *= coldFactor
	}
	return time.Duration(score)
}

// FailureScorer charges the expected cost of a failed attempt.
type FailureScorer struct{}

// Score implements Scorer.
func (FailureScorer) Score(c *Candidate, _ *Request, _ time.Time) time.Duration {
	return time.Duration(c.FailureRate * float64(failureDelay))
}

// Lowest picks the candidate with the lowest score, at random among equal ones.
type Lowest struct{}

// Pick implements Picker.
func (Lowest) Pick(candidates []*Candidate, score func(*Candidate) time.Duration, rng *rand.Rand) *Candidate {
	var best *Candidate
	var lowest time.Duration
	equal := 0
	for _, c := range candidates {
		s := score(c)
		switch {
		case best == nil || s < lowest:
			best, lowest, equal = c, s, 1
		case s == lowest:
			equal++
			if rng.IntN(equal) == 0 {
				best = c
			}
		}
	}
	return best
}

// PromptPolicy chooses a server for a request with a prompt.
func PromptPolicy() Policy {
	return Policy{
		Filters: []Filter{VersionFilter{}, LeavingFilter{}, EjectedFilter{}, TriedFilter{}, FullFilter{}},
		Scorers: []Scorer{PromptScorer{}, PartitionScorer{}, FailureScorer{}, ZoneScorer{}},
		Picker:  Lowest{},
	}
}

// PlainPolicy chooses a server for a request without a prompt.
func PlainPolicy() Policy {
	return Policy{
		Filters: []Filter{VersionFilter{}, LeavingFilter{}, EjectedFilter{}, TriedFilter{}, FullFilter{}},
		Scorers: []Scorer{AnswerScorer{}, FailureScorer{}, ZoneScorer{}},
		Picker:  Lowest{},
	}
}
