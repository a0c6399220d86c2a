package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// loadBoundFactor limits the load ratio of a server to this multiple of the mean load ratio. 1.25 is the usual value for
	// consistent hashing with bounded loads.
	loadBoundFactor = 1.25
	// loadBoundSlack is added to the bound, as a fraction of a batch, so that an almost idle pool keeps its prefix affinity.
	loadBoundSlack = 0.25
)

// TwoChoices implements the power of two choices with prefix affinity: it compares two random candidates and the candidate
// with the longest cached prefix of the prompt, and picks the one with the lowest score. A candidate above the load bound is
// picked only if all the compared candidates are above it.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(candidates []*Candidate, score func(*Candidate) time.Duration, rng *rand.Rand) *Candidate {
	maxRatio := maxLoadRatio(candidates)
	first := rng.IntN(len(candidates))
	second := first
	if len(candidates) > 1 {
		second = (first + 1 + rng.IntN(len(candidates)-1)) % len(candidates)
	}
	best := better(candidates[first], candidates[second], maxRatio, score)
	cached := mostCached(candidates)
	if cached == nil {
		return best
	}
	return better(best, cached, maxRatio, score)
}

// maxLoadRatio returns the load bound: candidates with a higher load ratio are avoided.
func maxLoadRatio(candidates []*Candidate) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.LoadRatio()
	}
	return loadBoundFactor*sum/float64(len(candidates)) + loadBoundSlack
}

// mostCached returns the candidate with the most cached blocks, or nil if no candidate has any. Ties go to the lower load
// ratio.
func mostCached(candidates []*Candidate) *Candidate {
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

// better returns the candidate with the lower score, or the only one within the load bound. Ties go to a.
func better(a, b *Candidate, maxRatio float64, score func(*Candidate) time.Duration) *Candidate {
	aOverloaded, bOverloaded := a.LoadRatio() > maxRatio, b.LoadRatio() > maxRatio
	if aOverloaded != bOverloaded {
		if aOverloaded {
			return b
		}
		return a
	}
	if score(b) < score(a) {
		return b
	}
	return a
}
