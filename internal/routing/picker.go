package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// loadBound is the factor above the mean load ratio at which a server takes no more requests. 1.25 is the usual value
	// for consistent hashing with bounded loads.
	loadBound = 1.25
	// loadBoundSlack is added to the bound, as a share of a batch, so that an almost idle pool keeps its affinity.
	loadBoundSlack = 0.25
)

// TwoChoices compares two random candidates and the candidate that holds most of the prompt's prefix, and picks the one
// with the lowest score. A candidate above the load bound is picked only if all of them are above it.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(candidates []*Candidate, score func(*Candidate) time.Duration, rng *rand.Rand) *Candidate {
	bound := bound(candidates)
	first := rng.IntN(len(candidates))
	second := first
	if len(candidates) > 1 {
		second = (first + 1 + rng.IntN(len(candidates)-1)) % len(candidates)
	}
	best := better(candidates[first], candidates[second], bound, score)
	warm := warmest(candidates)
	if warm == nil {
		return best
	}
	return better(best, warm, bound, score)
}

// bound returns the load ratio above which a candidate takes no more requests.
func bound(candidates []*Candidate) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.LoadRatio()
	}
	return loadBound*sum/float64(len(candidates)) + loadBoundSlack
}

// warmest returns the candidate with most cached blocks, the less loaded one on a tie, or nil if none holds any.
func warmest(candidates []*Candidate) *Candidate {
	var best *Candidate
	for _, c := range candidates {
		if c.CachedBlocks == 0 {
			continue
		}
		if best == nil || c.CachedBlocks > best.CachedBlocks {
			best = c
			continue
		}
		if c.CachedBlocks == best.CachedBlocks && c.LoadRatio() < best.LoadRatio() {
			best = c
		}
	}
	return best
}

func better(a, b *Candidate, bound float64, score func(*Candidate) time.Duration) *Candidate {
	aOver, bOver := a.LoadRatio() > bound, b.LoadRatio() > bound
	if aOver != bOver {
		if aOver {
			return b
		}
		return a
	}
	if score(b) < score(a) {
		return b
	}
	return a
}
