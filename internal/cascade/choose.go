package cascade

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

const (
	// floorTolerance is the distance between the lower confidence bound and a quality floor. With many ratings the bound is
	// close to the mean; without a tolerance, 26% of the answers were rated because their version was suspected, and good
	// versions were nearly quarantined.
	floorTolerance = 0.03
	// lateFirstTokenFraction is the fraction of requests that may miss the target for the time to first token, which applies
	// to 95 in 100 requests.
	lateFirstTokenFraction = 0.05
)

// Option is one allowed version with the predicted cost and latency of the request on it.
type Option struct {
	Version declaration.VersionID
	// ExpectedQuality is the declared prior of the quality between 0 and 1; zero if none is declared.
	ExpectedQuality float64
	// Cost is the cost of the request in cost units.
	Cost float64
	// TimeToFirstToken and TotalTime are the 95th percentiles of the predicted time to first token and of the time to the whole
	// answer.
	TimeToFirstToken time.Duration
	TotalTime        time.Duration
	// TimeToConfidence is the predicted time until the confidence of a first answer is known; zero means TotalTime. If the
	// request escalates, the first answer is assumed to end at that time, but its whole cost is counted.
	TimeToConfidence time.Duration
}

func (o *Option) timeToConfidence() time.Duration {
	if o.TimeToConfidence > 0 {
		return o.TimeToConfidence
	}
	return o.TotalTime
}

// Targets holds the targets of a request's class and the request's deadline. Zero fields set no target.
type Targets struct {
	Class string
	// MinQuality is the lowest allowed quality between 0 and 1.
	MinQuality float64
	// TimeToFirstToken is the longest allowed time to first token.
	TimeToFirstToken time.Duration
	// TimeToDeadline is the time left until the deadline.
	TimeToDeadline time.Duration
	// CostPer1000 is the highest allowed cost of 1000 requests in cost units.
	CostPer1000 float64
}

// Chain consists of one or two versions. The second one runs if the confidence of the first answer is below the threshold.
type Chain struct {
	FirstVersion  declaration.VersionID
	SecondVersion declaration.VersionID
	Threshold     float64
}

// TwoSteps reports whether the chain has a second version.
func (c Chain) TwoSteps() bool { return c.SecondVersion != declaration.VersionID{} }

// FinalVersion returns the last version of the chain, whose answer is used unconditionally if it runs.
func (c Chain) FinalVersion() declaration.VersionID {
	if c.TwoSteps() {
		return c.SecondVersion
	}
	return c.FirstVersion
}

// ShouldEscalate reports whether the second version must run after a first answer of the given confidence.
func (c Chain) ShouldEscalate(confidence float64) bool {
	return c.TwoSteps() && confidence < c.Threshold
}

// UnmetTarget names the target that no chain meets.
type UnmetTarget string

// Values of UnmetTarget.
const (
	UnmetNone      UnmetTarget = ""
	UnmetNoVersion UnmetTarget = "no allowed version"
	UnmetLatency   UnmetTarget = "latency"
	UnmetQuality   UnmetTarget = "quality"
	UnmetCost      UnmetTarget = "cost"
)

// Decision is the chosen chain. If Unmet is set, the chain is a best effort and may be used only if the class allows it.
type Decision struct {
	Chain Chain
	Unmet UnmetTarget
	// Quality is the estimated quality and QualityBound its lower confidence bound.
	Quality      float64
	QualityBound float64
	// Cost is the expected cost of the request in cost units.
	Cost float64
	// EscalationFraction is the expected fraction of requests that run the second step.
	EscalationFraction float64
	// FirstQualityFloor and SecondQualityFloor are the lowest mean ratings that the decision assumes for the answers of each
	// step that reach the caller. They never exceed the target. The detector of bad versions compares ratings with them.
	FirstQualityFloor  float64
	SecondQualityFloor float64
}

// Choose returns the cheapest chain that meets the targets. If there is none, it returns a best effort with the unmet
// target: the cheapest chain if only the cost is too high, the chain with the highest quality bound if none meets the
// quality target, or the fastest version if none meets the latency targets.
func Choose(e *Evidence, targets Targets, options []Option) Decision {
	if len(options) == 0 {
		return Decision{Unmet: UnmetNoVersion}
	}
	var cheapest, bestEffort Decision
	foundWithinTargets, foundInTime := false, false
	consider := func(d Decision) {
		if !foundInTime || d.QualityBound > bestEffort.QualityBound {
			bestEffort, foundInTime = d, true
		}
		if d.QualityBound >= targets.MinQuality && (!foundWithinTargets || d.Cost < cheapest.Cost) {
			cheapest, foundWithinTargets = d, true
		}
	}
	for i := range options {
		considerSingle(e, targets, &options[i], consider)
		for j := range options {
			if options[i].Cost < options[j].Cost {
				considerPair(e, targets, &options[i], &options[j], consider)
			}
		}
	}
	chosen := cheapest
	switch {
	case !foundInTime:
		return fastestDecision(e, targets, options)
	case !foundWithinTargets:
		chosen = bestEffort
		chosen.Unmet = UnmetQuality
	case targets.CostPer1000 > 0 && cheapest.Cost*1000 > targets.CostPer1000:
		chosen.Unmet = UnmetCost
	}
	if chosen.Chain.TwoSteps() {
		setQualityFloors(e, targets, options, &chosen)
	}
	return chosen
}

// considerSingle considers the chain that consists of one version.
func considerSingle(e *Evidence, targets Targets, o *Option, consider func(Decision)) {
	if !inTime(targets, o, nil, 0) {
		return
	}
	consider(singleDecision(e, targets, o))
}

func singleDecision(e *Evidence, targets Targets, o *Option) Decision {
	ratings := e.bucketsByKey[Key{Class: targets.Class, Version: o.Version}]
	fractions, weight := bucketFractions(ratings)
	est := estimateQuality(ratings, priorQuality(o))
	q := boundOverBuckets(fractions, weight, 0, Buckets, func(int) *qualityEstimate { return &est })
	return Decision{
		Chain: Chain{FirstVersion: o.Version}, Quality: q.mean, QualityBound: q.lower, Cost: o.Cost,
		FirstQualityFloor: qualityFloor(targets, q),
	}
}

// twoStepEstimate holds the estimated quality of both steps of a chain, by bucket of the first answer's confidence.
type twoStepEstimate struct {
	bucketFractions [Buckets]float64
	ratingWeight    float64
	first, second   qualityEstimate
}

// newTwoStepEstimate estimates the quality of a chain. The prior of the second step is the quality of the second version
// when it runs alone.
func newTwoStepEstimate(e *Evidence, class string, first, second *Option) twoStepEstimate {
	firstRatings := e.bucketsByKey[Key{Class: class, Version: first.Version}]
	secondAloneRatings := e.bucketsByKey[Key{Class: class, Version: second.Version}]
	secondRatings := e.bucketsByKey[Key{Class: class, Version: second.Version, EscalatedFrom: first.Version}]
	s := twoStepEstimate{first: estimateQuality(firstRatings, priorQuality(first))}
	s.bucketFractions, s.ratingWeight = bucketFractions(firstRatings)
	s.second = estimateQuality(secondRatings, meanQuality(secondAloneRatings, priorQuality(second)))
	return s
}

// boundOver returns the quality bound for the buckets from (inclusive) to (exclusive) if those below the threshold escalate.
func (s *twoStepEstimate) boundOver(from, to, threshold int) qualityBound {
	return boundOverBuckets(s.bucketFractions, s.ratingWeight, from, to, func(bucket int) *qualityEstimate {
		if bucket < threshold {
			return &s.second
		}
		return &s.first
	})
}

// considerPair considers the chain of two versions with each possible threshold.
func considerPair(e *Evidence, targets Targets, first, second *Option, consider func(Decision)) {
	s := newTwoStepEstimate(e, targets.Class, first, second)
	escalationFraction := 0.0
	for threshold := 1; threshold < Buckets; threshold++ {
		escalationFraction += s.bucketFractions[threshold-1]
		if !inTime(targets, first, second, escalationFraction) {
			return
		}
		q := s.boundOver(0, Buckets, threshold)
		consider(Decision{
			Chain:   Chain{FirstVersion: first.Version, SecondVersion: second.Version, Threshold: float64(threshold) / Buckets},
			Quality: q.mean, QualityBound: q.lower,
			Cost: first.Cost + escalationFraction*second.Cost, EscalationFraction: escalationFraction,
		})
	}
}

// setQualityFloors sets the quality floors of both steps of the chosen chain.
func setQualityFloors(e *Evidence, targets Targets, options []Option, d *Decision) {
	find := func(version declaration.VersionID) *Option {
		return &options[slices.IndexFunc(options, func(o Option) bool { return o.Version == version })]
	}
	s := newTwoStepEstimate(e, targets.Class, find(d.Chain.FirstVersion), find(d.Chain.SecondVersion))
	threshold := int(math.Round(d.Chain.Threshold * Buckets))
	d.FirstQualityFloor = qualityFloor(targets, s.boundOver(threshold, Buckets, threshold))
	d.SecondQualityFloor = qualityFloor(targets, s.boundOver(0, threshold, threshold))
}

// inTime reports whether the predicted latency meets the targets. A chain withholds its first answer until the confidence is
// known, so the caller receives the first token at that time or with the first token of the second step.
func inTime(targets Targets, first, second *Option, escalationFraction float64) bool {
	timeToFirstToken, totalTime := first.TimeToFirstToken, first.TotalTime
	if second != nil {
		timeToFirstToken = first.timeToConfidence()
		totalTime = max(first.TotalTime, first.timeToConfidence()+second.TotalTime)
		if escalationFraction > lateFirstTokenFraction {
			timeToFirstToken = first.timeToConfidence() + second.TimeToFirstToken
		}
	}
	if targets.TimeToFirstToken > 0 && timeToFirstToken > targets.TimeToFirstToken {
		return false
	}
	return targets.TimeToDeadline == 0 || totalTime <= targets.TimeToDeadline
}

// fastestDecision returns the best effort if no chain meets the latency targets.
func fastestDecision(e *Evidence, targets Targets, options []Option) Decision {
	o := slices.MinFunc(options, func(a, b Option) int { return cmp.Compare(a.TotalTime, b.TotalTime) })
	d := singleDecision(e, targets, &o)
	d.Unmet = UnmetLatency
	return d
}

func priorQuality(o *Option) float64 {
	if o.ExpectedQuality <= 0 {
		return defaultQuality
	}
	return math.Min(1, o.ExpectedQuality)
}

// qualityFloor returns the lowest mean rating that a decision assumes: the lower bound less the tolerance, but at most the
// target.
func qualityFloor(targets Targets, q qualityBound) float64 {
	level := math.Max(0, q.lower-floorTolerance)
	if targets.MinQuality <= 0 {
		return level
	}
	return math.Min(targets.MinQuality, level)
}
