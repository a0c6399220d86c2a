package rollout

import "math"

const (
	// InitialFraction is the fraction of requests that a new version receives first.
	InitialFraction = 0.02
	// widenThreshold is the e-value at which the fraction is widened. A version that is worse than its quality floor by more
	// than the tolerance passes a step with a probability of at most 1 in 20.
	widenThreshold = 20.0
	// qualityTolerance is the distance by which the mean rating may be below the quality floor while the roll-out widens.
	qualityTolerance = 0.05
	// finalStep is the step at which the fraction is 100%. The fractions of the steps are 2, 4, 8, 16, 32, 64 and 100%.
	finalStep = 6
	// minNullMean limits the mean under the null hypothesis so that the bets, which grow with its inverse, stay finite.
	minNullMean = 0.01
)

// Progress is the state of one version's roll-out in one class. It holds an e-process for each bet, which tests the
// one-sided null hypothesis that the mean rating is below the quality floor by the tolerance. The e-processes start anew at
// each step.
type Progress struct {
	step      int
	betValues [len(betFractions)]float64
	started   bool
}

// Observe adds one rating and reports whether it widened the fraction.
func (p *Progress) Observe(r Rating) bool {
	if p.step >= finalStep {
		return false
	}
	if !p.started {
		p.resetBets()
	}
	nullMean := min(maxQualityFloor, max(minNullMean, r.QualityFloor-qualityTolerance))
	score := min(1, max(0, r.Score))
	sum := 0.0
	for i, fraction := range betFractions {
		bet := fraction / nullMean
		p.betValues[i] *= 1 + bet*(score-nullMean)
		sum += p.betValues[i]
	}
	if sum/float64(len(betFractions)) < widenThreshold {
		return false
	}
	p.step++
	p.resetBets()
	return true
}

// Merge adopts the more advanced of two states of the same roll-out. If both are at the same step, it multiplies their
// e-values, which must come from different ratings.
func (p *Progress) Merge(other Progress) {
	if other.step < p.step || !other.started {
		return
	}
	if other.step > p.step || !p.started {
		*p = other
		return
	}
	for i := range p.betValues {
		p.betValues[i] *= other.betValues[i]
	}
}

// Fraction returns the fraction of requests that the version receives, between 0.02 and 1.
func (p *Progress) Fraction() float64 {
	return math.Min(1, InitialFraction*math.Pow(2, float64(p.step)))
}

func (p *Progress) resetBets() {
	p.started = true
	for i := range p.betValues {
		p.betValues[i] = 1
	}
}

// Includes reports whether a key (the hash of a session or request) belongs to the fraction of requests. An included key
// stays included when the fraction is widened.
func Includes(fraction float64, key uint64) bool {
	return float64(key)/math.MaxUint64 < fraction
}
