package cascade

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

const (
	// floorTolerance is how far below the lower bound the floors lie. With many ratings the bound is close to the mean, and
	// without a tolerance 26% of the answers were rated on suspicion and good versions came near to a quarantine.
	floorTolerance = 0.03
	// lateShare is the share of requests that may miss the first-token target, which holds for 95 in 100.
	lateShare = 0.05
)

// Option is one allowed version with its predictions for the request.
type Option struct {
	Version declaration.VersionID
	// ExpectedQuality is the declared prior between 0 and 1; zero if it is not declared.
	ExpectedQuality float64
	// Cost is in cost units for the request.
	Cost float64
	// FirstToken and Total are the predicted times to the first token and to the whole answer, at the 95th percentile.
	FirstToken time.Duration
	Total      time.Duration
	// Decided is the predicted time until the confidence of a first answer is known; zero means Total. A first answer that
	// escalates is assumed to end then, but its whole cost is counted.
	Decided time.Duration
}

func (o *Option) decided() time.Duration {
	if o.Decided > 0 {
		return o.Decided
	}
	return o.Total
}

// Request is the target of the request's class. Zero fields set no target.
type Request struct {
	Class   string
	Quality float64
	// FirstToken is the target for the time to the first token.
	FirstToken time.Duration
	// DeadlineLeft is the time left until the deadline.
	DeadlineLeft time.Duration
	CostPer1000  float64
}

// Chain is one or two versions. The second runs when the confidence of the first answer is below the threshold.
type Chain struct {
	First     declaration.VersionID
	Second    declaration.VersionID
	Threshold float64
}

// TwoSteps reports whether the chain has a second version.
func (c Chain) TwoSteps() bool { return c.Second != declaration.VersionID{} }

// Last returns the version whose answer is used when the first is not.
func (c Chain) Last() declaration.VersionID {
	if c.TwoSteps() {
		return c.Second
	}
	return c.First
}

// Escalate reports whether the second version runs after a first answer of the given confidence.
func (c Chain) Escalate(confidence float64) bool { return c.TwoSteps() && confidence < c.Threshold }

// Unmet says which target no chain meets.
type Unmet string

// Targets that can be unmet.
const (
	UnmetNothing   Unmet = ""
	UnmetNoVersion Unmet = "no allowed version"
	UnmetLatency   Unmet = "latency"
	UnmetQuality   Unmet = "quality"
	UnmetCost      Unmet = "cost"
)

// Decision is the chosen chain. If Unmet is set, the chain is the best effort and must be used only if the class says so.
type Decision struct {
	Chain Chain
	Unmet Unmet
	// Quality is the estimated quality and QualityBound its lower confidence bound.
	Quality      float64
	QualityBound float64
	// Cost is the expected cost of the request in cost units.
	Cost float64
	// EscalationShare is the expected share of requests that run the second step.
	EscalationShare float64
	// FirstFloor and SecondFloor are the mean ratings that the choice counts on for answers of each step that reach the
	// caller, never above the target. The test for bad versions compares ratings with them.
	FirstFloor  float64
	SecondFloor float64
}

// Choose returns the cheapest chain that meets the targets, or the best effort with the target that is not met: the chain
// of highest quality bound among those in time, or the fastest version if none is in time.
func Choose(e *Evidence, r Request, options []Option) Decision {
	if len(options) == 0 {
		return Decision{Unmet: UnmetNoVersion}
	}
	var cheapest, best Decision
	met, timely := false, false
	consider := func(d Decision) {
		if !timely || d.QualityBound > best.QualityBound {
			best, timely = d, true
		}
		if d.QualityBound >= r.Quality && (!met || d.Cost < cheapest.Cost) {
			cheapest, met = d, true
		}
	}
	for i := range options {
		single(e, r, &options[i], consider)
		for j := range options {
			if options[i].Cost < options[j].Cost {
				pair(e, r, &options[i], &options[j], consider)
			}
		}
	}
	chosen := cheapest
	switch {
	case !timely:
		return fastest(e, r, options)
	case !met:
		chosen = best
		chosen.Unmet = UnmetQuality
	case r.CostPer1000 > 0 && cheapest.Cost*1000 > r.CostPer1000:
		chosen.Unmet = UnmetCost
	}
	if chosen.Chain.TwoSteps() {
		setFloors(e, r, options, &chosen)
	}
	return chosen
}

func single(e *Evidence, r Request, o *Option, consider func(Decision)) {
	if !inTime(r, o, nil, 0) {
		return
	}
	consider(singleDecision(e, r, o))
}

func singleDecision(e *Evidence, r Request, o *Option) Decision {
	rows := e.rows[Key{Class: r.Class, Version: o.Version}]
	share, weight := shares(rows)
	est := estimateOf(rows, prior(o))
	q := boundOver(share, weight, 0, Buckets, func(int) *estimate { return &est })
	return Decision{
		Chain: Chain{First: o.Version}, Quality: q.mean, QualityBound: q.lower, Cost: o.Cost, FirstFloor: floor(r, q),
	}
}

// steps holds what is known about a chain of two versions.
type steps struct {
	share         [Buckets]float64
	weight        float64
	first, second estimate
}

func stepsOf(e *Evidence, class string, first, second *Option) steps {
	firstRow := e.rows[Key{Class: class, Version: first.Version}]
	secondAlone := e.rows[Key{Class: class, Version: second.Version}]
	secondRow := e.rows[Key{Class: class, Version: second.Version, After: first.Version}]
	s := steps{first: estimateOf(firstRow, prior(first))}
	s.share, s.weight = shares(firstRow)
	s.second = estimateOf(secondRow, meanOf(secondAlone, prior(second)))
	return s
}

// over returns the bound over a range of buckets if those below the threshold escalate.
func (s *steps) over(from, to, threshold int) bound {
	return boundOver(s.share, s.weight, from, to, func(bucket int) *estimate {
		if bucket < threshold {
			return &s.second
		}
		return &s.first
	})
}

// pair considers the chain of two versions at each threshold.
func pair(e *Evidence, r Request, first, second *Option, consider func(Decision)) {
	s := stepsOf(e, r.Class, first, second)
	escalated := 0.0
	for threshold := 1; threshold < Buckets; threshold++ {
		escalated += s.share[threshold-1]
		if !inTime(r, first, second, escalated) {
			return
		}
		q := s.over(0, Buckets, threshold)
		consider(Decision{
			Chain:   Chain{First: first.Version, Second: second.Version, Threshold: float64(threshold) / Buckets},
			Quality: q.mean, QualityBound: q.lower,
			Cost: first.Cost + escalated*second.Cost, EscalationShare: escalated,
		})
	}
}

// setFloors sets the floors of both steps of the chosen chain.
func setFloors(e *Evidence, r Request, options []Option, d *Decision) {
	find := func(version declaration.VersionID) *Option {
		return &options[slices.IndexFunc(options, func(o Option) bool { return o.Version == version })]
	}
	s := stepsOf(e, r.Class, find(d.Chain.First), find(d.Chain.Second))
	threshold := int(math.Round(d.Chain.Threshold * Buckets))
	d.FirstFloor = floor(r, s.over(threshold, Buckets, threshold))
	d.SecondFloor = floor(r, s.over(0, threshold, threshold))
}

// inTime reports whether the predicted latency fits. A first answer of a chain is held back until its confidence is
// known, so the caller's first token comes then or with the second step's first token.
func inTime(r Request, first, second *Option, escalated float64) bool {
	firstToken, total := first.FirstToken, first.Total
	if second != nil {
		firstToken = first.decided()
		total = max(first.Total, first.decided()+second.Total)
		if escalated > lateShare {
			firstToken = first.decided() + second.FirstToken
		}
	}
	if r.FirstToken > 0 && firstToken > r.FirstToken {
		return false
	}
	return r.DeadlineLeft == 0 || total <= r.DeadlineLeft
}

func fastest(e *Evidence, r Request, options []Option) Decision {
	o := slices.MinFunc(options, func(a, b Option) int { return cmp.Compare(a.Total, b.Total) })
	d := singleDecision(e, r, &o)
	d.Unmet = UnmetLatency
	return d
}

func prior(o *Option) float64 {
	if o.ExpectedQuality <= 0 {
		return unknownQuality
	}
	return math.Min(1, o.ExpectedQuality)
}

// floor is the mean rating that a choice counts on: the lower bound less the tolerance, but no more than the target.
func floor(r Request, q bound) float64 {
	level := math.Max(0, q.lower-floorTolerance)
	if r.Quality <= 0 {
		return level
	}
	return math.Min(r.Quality, level)
}
