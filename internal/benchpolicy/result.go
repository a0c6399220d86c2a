package benchpolicy

import (
	"math"

	"github.com/valyala/histogram"
)

// result holds the counts of one run.
type result struct {
	longestQueue                     float64
	answered, refused, wrong, within float64
	cost, quality                    float64
	ratings, unmet                   float64
	afterTurn, exposed               float64
	falseQuarantines                 float64
	firstToken, between              percentiles
}

// percentiles are in milliseconds.
type percentiles struct{ p50, p95, p99 float64 }

func (r *result) count(measured bool, counter *float64) {
	if measured {
		*counter++
	}
}

func percentilesOf(h *histogram.Fast) percentiles {
	q := h.Quantiles(nil, []float64{0.5, 0.95, 0.99})
	return percentiles{q[0], q[1], q[2]}
}

func (w *world) summary() result {
	r := w.result
	r.firstToken = percentilesOf(w.ttft)
	r.between = percentilesOf(w.between)
	return r
}

// costPer1000 returns the cost in cost units for 1,000 answered requests.
func (r result) costPer1000() float64 { return 1000 * r.cost / max(1, r.answered) }

// meanQuality returns the true mean quality of the answers.
func (r result) meanQuality() float64 { return r.quality / max(1, r.answered) }

// spread is a mean over seeds with its sample standard deviation.
type spread struct{ mean, deviation, least, most float64 }

func spreadOf(results []result, value func(result) float64) spread {
	values := make([]float64, 0, len(results))
	for _, r := range results {
		values = append(values, value(r))
	}
	return spreadOfValues(values)
}

func spreadOfValues(values []float64) spread {
	s := spread{least: math.Inf(1), most: math.Inf(-1)}
	for _, v := range values {
		s.mean += v / float64(len(values))
		s.least, s.most = min(s.least, v), max(s.most, v)
	}
	for _, v := range values {
		s.deviation += (v - s.mean) * (v - s.mean)
	}
	s.deviation = math.Sqrt(s.deviation / max(1, float64(len(values)-1)))
	return s
}
