package benchpolicy

import (
	"fmt"
	"io"
	"math/rand/v2"
)

const (
	// costLoad is the load as a share of what the large model's servers carry, so that "always best" is not overloaded.
	costLoad = 0.5
	// costMeasured is the number of requests measured in a run, after those in which quality is learnt.
	costMeasured = 40_000
	// learntRequests is about six hours of traffic, baselineWarmup fills queues and caches.
	learntRequests = 200_000
	baselineWarmup = 10_000
)

// policyResults are the results of one policy over the seeds.
type policyResults struct {
	policy  string
	results []result
}

// costRun returns a run of a policy that is measured after the given number of requests.
func costRun(s site, p policy, warmup int) run {
	rate := costLoad * s.capacity(&s.models[largeModel])
	return run{site: s, policy: p, rate: rate, requests: warmup + costMeasured, warmup: warmup, sharedPrefixes: true}
}

// Cost measures the cost at the quality target and writes tables and a plot for each site.
func Cost(out io.Writer, plots string, seeds int) error {
	for _, s := range []site{guild(), parabole()} {
		all := policies()
		ours := all[0]
		early := policyResults{ours.name + ", first 40,000", parallel(costRun(s, ours, 0), seeds)}
		learnt := policyResults{ours.name + ", after 200,000", parallel(costRun(s, ours, learntRequests), seeds)}
		results := []policyResults{early, learnt}
		for _, p := range all[1:] {
			results = append(results, policyResults{p.name, parallel(costRun(s, p, baselineWarmup), seeds)})
		}
		fmt.Fprintf(out, "\n### (a) %s: cost at quality target %.2f, %d seeds\n\n", s.name, s.quality, seeds)
		writeTable(out, results)
		fmt.Fprintln(out)
		writeRatio(out, early, results[2])
		writeRatio(out, learnt, results[2])
		if err := plotCost(plots, s, results); err != nil {
			return err
		}
	}
	sensitivity(out, guild(), seeds)
	return nil
}

func writeRatio(out io.Writer, ours, best policyResults) {
	var ratios []float64
	for i := range ours.results {
		ratios = append(ratios, ours.results[i].costPer1000()/best.results[i].costPer1000())
	}
	s := spreadOfValues(ratios)
	fmt.Fprintf(out, "- %s: %.1f%% of the cost of %s (± %.1f, %.1f to %.1f); aim 40%% or less.\n",
		ours.policy, 100*s.mean, best.policy, 100*s.deviation, 100*s.least, 100*s.most)
}

// sensitivity varies what the aim depends on most: how well confidence separates hard requests, and the target.
func sensitivity(out io.Writer, s site, seeds int) {
	fmt.Fprintf(out, "\n### (a) %s: cost after 200,000 requests by separation of the confidence and target\n\n", s.name)
	fmt.Fprintln(out, "| separation in deviations | target | cost, % of always best | least possible with a known threshold, % | quality | least seed |")
	fmt.Fprintln(out, "|--:|--:|--:|--:|--:|--:|")
	for _, target := range []float64{0.90, 0.88} {
		for _, gap := range []float64{separation, 0.30, 0.45} {
			s.quality = target
			r := costRun(s, policies()[0], learntRequests)
			r.separation = gap
			results := parallel(r, seeds)
			best := s.meanCost(largeModel)
			cost := spreadOf(results, func(r result) float64 { return r.costPer1000() / 10 / best })
			quality := spreadOf(results, result.meanQuality)
			fmt.Fprintf(out, "| %.1f | %.2f | %.1f ± %.1f | %.1f | %.4f ± %.4f | %.4f |\n", gap/confidenceSpread, target,
				cost.mean, cost.deviation, 100*s.leastCost(gap)/best, quality.mean, quality.deviation, quality.least)
		}
	}
}

// meanCost returns the mean cost of one answer of a model over the classes.
func (s *site) meanCost(model int) float64 {
	sum := 0.0
	for i := range s.classes {
		sum += s.classes[i].share * cost(&s.models[model], &s.classes[i])
	}
	return sum
}

// leastCost returns the cost of the chain small to large at the lowest threshold (in steps of 0.01) that meets the target,
// computed from the true qualities for organisations that may use every version.
func (s *site) leastCost(gap float64) float64 {
	const draws = 200_000
	small, large := &s.models[smallModel], &s.models[largeModel]
	for threshold := 0.0; threshold < 1; threshold += 0.01 {
		rng, quality, escalated := rand.New(rand.NewPCG(9, 9)), 0.0, 0.0
		for range draws {
			hard := rng.Float64() < hardShare
			m := small
			if drawConfidence(rng, hard, gap) < threshold {
				m = large
				escalated++
			}
			if hard {
				quality += m.hardQuality
				continue
			}
			quality += m.easyQuality
		}
		if quality/draws >= s.quality {
			return s.meanCost(smallModel) + escalated/draws*s.meanCost(largeModel)
		}
	}
	return s.meanCost(largeModel)
}
