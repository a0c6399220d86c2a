package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// sampleSize is the number of servers inside, and outside, of the model's partition that a choice compares. Instances choose at the
	// same time with views that are some hundred milliseconds old; if all compared every server, they would choose the same one.
	sampleSize = 6
	// gapSlackFraction is the fraction of the target gap for which the prefill of waiting prompts may delay the next event of running
	// streams. The rest is for the decode steps of the event and for prompts that other instances send at the same time.
	gapSlackFraction = 0.5
)

// FleetLoad is the load that the other instances put on a server.
type FleetLoad struct {
	// Running counts their requests on the server, Streaming those whose answer has begun.
	Running, Streaming int
	// PendingWork is the prompt work that they have sent and that is not prefilled, in tokens of the largest model.
	PendingWork int64
	// Slowdown is the time that the server takes relative to the others; zero if unknown.
	Slowdown float64
}

// slowdown returns the relative time that the server takes; 1 if unknown.
func (l *FleetLoad) slowdown() float64 {
	if l.Slowdown <= 0 {
		return 1
	}
	return l.Slowdown
}

// FleetLoadScorer estimates the delay until the first token from the load that all instances put on a server, and adds the time by which the
// prefill of the prompt would delay the streams that run there.
type FleetLoadScorer struct{}

// Score implements Scorer.
func (FleetLoadScorer) Score(c *Candidate, r *Request, _ time.Time) time.Duration {
	slowdown := c.Fleet.slowdown()
	own, pending := prefillTime(c.uncachedWork(r)), prefillTime(c.pendingWork())
	delay := float64(uncachedTokenWeight*own+pending) * slowdown
	running := c.InFlight + c.Fleet.Running
	delay += float64(running) * float64(runningRequestDelay) * slowdown
	if waiting := running + 1 - c.Slots; c.Slots > 0 && waiting > 0 {
		delay += float64(queuedBatchDelay) * float64(waiting) / float64(c.Slots) * slowdown
	}
	if excess := float64(own+pending)*slowdown - gapSlackFraction*float64(r.TargetGap); r.TargetGap > 0 && excess > 0 {
		delay += excess * float64(c.Streaming+c.Fleet.Streaming)
	}
	return time.Duration(delay)
}

// ExpectedPrefill returns the time until the end of the prefill of the request at a server of mean speed with this load.
func (c *Candidate) ExpectedPrefill(r *Request) time.Duration {
	return prefillTime(c.uncachedWork(r) + c.pendingWork())
}

// uncachedWork returns the work of the prompt tokens that are missing from the server's cache.
func (c *Candidate) uncachedWork(r *Request) float64 {
	return float64(max(0, r.PromptTokens-c.CachedTokens)) * r.WorkWeight
}

// pendingWork returns the prompt work that all instances have sent to the server and that is not prefilled.
func (c *Candidate) pendingWork() float64 { return float64(c.PendingWork + c.Fleet.PendingWork) }

// prefillTime converts work in tokens of the largest model into the time that a server of mean speed takes.
func prefillTime(work float64) time.Duration {
	return time.Duration(work * float64(time.Millisecond) / prefillTokensPerMillisecond)
}

// SampledLowest picks the candidate with the lowest score of a random sample. The sample contains all candidates that hold a part of the
// prompt, and up to Size others inside and outside of the model's partition.
type SampledLowest struct{ Size int }

// Pick implements Picker.
func (p SampledLowest) Pick(candidates []*Candidate, score func(*Candidate) time.Duration, rng *rand.Rand) *Candidate {
	var best *Candidate
	var lowest time.Duration
	compare := func(c *Candidate) {
		if s := score(c); best == nil || s < lowest {
			best, lowest = c, s
		}
	}
	inside, outside := 0, 0
	for i := range candidates {
		// A step of the Fisher-Yates shuffle visits the candidates in random order.
		j := i + rng.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
		c := candidates[i]
		counter := &inside
		if c.OutsidePartition {
			counter = &outside
		}
		if c.CachedTokens == 0 {
			if *counter++; *counter > p.Size {
				continue
			}
		}
		compare(c)
	}
	return best
}

// FleetPolicy chooses a server for a request with a prompt by the load that all instances put on the servers.
func FleetPolicy() Policy {
	policy := PromptPolicy()
	policy.Scorers = []Scorer{FleetLoadScorer{}, PartitionScorer{}, FailureScorer{}, ZoneScorer{}}
	policy.Picker = SampledLowest{Size: sampleSize}
	return policy
}
