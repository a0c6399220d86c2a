package serverload

import (
	"math"
	"slices"
	"time"
)

const (
	// evidenceHalfLife is the time after which an observation of a server's speed counts half.
	evidenceHalfLife = 10 * time.Second
	// priorSamples is the weight of the assumption that a server is as fast as the median.
	priorSamples = 2
	// minSamples is the number of observations from which a server counts for the median.
	minSamples = 1
	// negligibleSamples is the number of observations below which decayed evidence is dropped.
	negligibleSamples = 0.05
)

// updateSpeeds lets the evidence decay and computes the slowdown of each server relative to the median. Without the median, an error that
// all expected times share would make every observed server look slow next to one that was never observed.
func (l *ledger) updateSpeeds(now time.Time) {
	factor := math.Exp2(-now.Sub(l.decayed).Seconds() / evidenceHalfLife.Seconds())
	l.decayed = now
	var means []float64
	for _, index := range l.ordered {
		s := &l.slots[index]
		s.directEvidence.samples *= factor
		s.directEvidence.logs *= factor
		if s.directEvidence.samples < negligibleSamples {
			s.directEvidence = evidence{}
		}
		if known := s.directEvidence.plus(s.remoteEvidence); known.samples >= minSamples {
			means = append(means, known.logs/known.samples)
		}
	}
	median := medianOf(means)
	for _, index := range l.ordered {
		s := &l.slots[index]
		s.slowdown = slowdown(s.directEvidence.plus(s.remoteEvidence), median)
	}
}

// slowdown returns the factor by which a server is slower than the median, whose logarithm is given. It is rounded to the precision of the
// messages, so that relays and other instances see the same.
func slowdown(e evidence, median float64) float64 {
	if e.samples < negligibleSamples {
		return 1
	}
	factor := math.Exp((e.logs - e.samples*median) / (e.samples + priorSamples))
	return math.Round(100*min(max(minSlowdown, factor), maxSlowdown)) / 100
}

// medianOf returns the median, or 0 without values. It sorts the values.
func medianOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}
