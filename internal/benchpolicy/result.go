package benchpolicy

import (
	"math"

	"github.com/valyala/histogram"
)

// result holds the counts, sums and percentiles of one run.
type result struct {
	longestQueue                                float64
	answered, refused, disallowed, withinTarget float64
	totalCost, qualitySum                       float64
	ratings, unmetTargets                       float64
	afterDegradation, degradedAnswers           float64
	falseQuarantines                            float64
	firstToken, interToken                      percentiles
}

// percentiles are in milliseconds.
type percentiles struct{ p50, p95, p99 float64 }

func (r *result) countIf(measured bool, counter *float64) {
	if measured {
		*counter++
	}
}

func percentilesOf(h *histogram.Fast) percentiles {
	q := h.Quantiles(nil, []float64{0.5, 0.95, 0.99})
	return percentiles{q[0], q[1], q[2]}
}

func (w *world) finalResult() result {
	r := w.result
	r.firstToken = percentilesOf(w.ttft)
	r.interToken = percentilesOf(w.interToken)
	return r
}

// costPer1000 returns the cost in cost units per 1,000 answered requests.
func (r result) costPer1000() float64 { return 1000 * r.totalCost / max(1, r.answered) }

// meanQuality returns the true mean quality of the answers.
func (r result) meanQuality() float64 { return r.qualitySum / max(1, r.answered) }

// stats summarises a value over the seeds; stddev is the sample standard deviation.
type stats struct{ mean, stddev, min, max float64 }

func statsOf(results []result, value func(result) float64) stats {
	values := make([]float64, 0, len(results))
	for _, r := range results {
		values = append(values, value(r))
	}
	return statsOfValues(values)
}

func statsOfValues(values []float64) stats {
	s := stats{min: math.Inf(1), max: math.Inf(-1)}
	for _, v := range values {
		s.mean += v / float64(len(values))
		s.min, s.max = min(s.min, v), max(s.max, v)
	}
	for _, v := range values {
		s.stddev += (v - s.mean) * (v - s.mean)
	}
	s.stddev = math.Sqrt(s.stddev / max(1, float64(len(values)-1)))
	return s
}
