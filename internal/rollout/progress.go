package rollout

import "math"

const (
	// FirstShare is the share of requests that a new version starts with.
	FirstShare = 0.02
	// stepEvidence is the e-value that widens the share: a version worse than its floor by more than the tolerance passes a
	// step with a probability of at most 1 in 20.
	stepEvidence = 20.0
	// tolerance is how far below the floor the mean rating of a widening version may lie.
	tolerance = 0.05
	// lastStep is the step at which the share is 100%: 2, 4, 8, 16, 32, 64, 100.
	lastStep = 6
	// minFloor keeps the bets finite.
	minFloor = 0.01
)

// Progress is the state of one version's rollout in one class: one-sided betting e-processes against "the mean rating is
// below the floor by the tolerance", one for each bet and started anew at each step.
type Progress struct {
	step   int
	values [len(betShares)]float64
	begun  bool
}

// Observe adds one rating and reports whether the share widened.
func (p *Progress) Observe(r Rating) bool {
	if p.step >= lastStep {
		return false
	}
	if !p.begun {
		p.restart()
	}
	level := min(maxFloor, max(minFloor, r.Floor-tolerance))
	score := min(1, max(0, r.Score))
	sum := 0.0
	for i, share := range betShares {
		bet := share / level
		p.values[i] *= 1 + bet*(score-level)
		sum += p.values[i]
	}
	if sum/float64(len(betShares)) < stepEvidence {
		return false
	}
	p.step++
	p.restart()
	return true
}

// Merge adopts the further of two states of the same rollout and, at the same step, the product of their evidence, which
// must come from different ratings.
func (p *Progress) Merge(other Progress) {
	if other.step < p.step || !other.begun {
		return
	}
	if other.step > p.step || !p.begun {
		*p = other
		return
	}
	for i := range p.values {
		p.values[i] *= other.values[i]
	}
}

// Share returns the share of requests between 0.02 and 1.
func (p *Progress) Share() float64 {
	return math.Min(1, FirstShare*math.Pow(2, float64(p.step)))
}

func (p *Progress) restart() {
	p.begun = true
	for i := range p.values {
		p.values[i] = 1
	}
}

// Includes reports whether a key (the hash of a session or request) is in the share. A key stays included as the share
// widens.
func Includes(share float64, key uint64) bool {
	return float64(key)/math.MaxUint64 < share
}
