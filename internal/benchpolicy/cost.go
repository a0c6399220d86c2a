package benchpolicy

import (
	"fmt"
	"io"
	"math/rand/v2"
)

const (
	// costLoad is the load as a fraction of the capacity of the large model's servers, so that "always best" is not overloaded.
	costLoad = 0.5
	// measuredRequests is the number of requests measured in a run, after the warm-up in which quality is learnt.
	measuredRequests = 40_000
	// learningRequests is about six hours of traffic, enough to learn quality; baselineWarmup only fills queues and caches.
	learningRequests = 200_000
	baselineWarmup   = 10_000
)

// policyResults are the results of one policy over the seeds.
type policyResults struct {
	policy  string
	results []result
}

// costRun returns a run of a policy that is measured after the given number of warm-up requests.
func costRun(s site, p policy, warmup int) run {
	rate := costLoad * s.capacity(&s.models[largeModel])
	return run{site: s, policy: p, rate: rate, requests: warmup + measuredRequests, warmup: warmup, sharedPrefixes: true}
}

// Cost measures the cost per answer at the quality target and writes a table and a plot for each site.
func Cost(out io.Writer, plots string, seeds int) error {
	for _, s := range []site{guild(), parabole()} {
		all := policies()
		ours := all[0]
		early := policyResults{ours.name + ", first 40,000", runSeeds(costRun(s, ours, 0), seeds)}
		learnt := policyResults{ours.name + ", after 200,000", runSeeds(costRun(s, ours, learningRequests), seeds)}
		results := []policyResults{early, learnt}
		for _, p := range all[1:] {
			results = append(results, policyResults{p.name, runSeeds(costRun(s, p, baselineWarmup), seeds)})
		}
		fmt.Fprintf(out, "\n### (a) %s: cost at quality target %.2f, %d seeds\n\n", s.name, s.qualityTarget, seeds)
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

func writeRatio(out io.Writer, candidate, baseline policyResults) {
	var ratios []float64
	for i := range candidate.results {
		ratios = append(ratios, candidate.results[i].costPer1000()/baseline.results[i].costPer1000())
	}
	s := statsOfValues(ratios)
	fmt.Fprintf(out, "- %s: %.1f%% of the cost of %s (± %.1f, %.1f to %.1f); aim 40%% or less.\n",
		candidate.policy, 100*s.mean, baseline.policy, 100*s.stddev, 100*s.min, 100*s.max)
}

// sensitivity varies the two parameters that affect the cost most: how well confidence separates hard requests from easy ones,
// and the quality target.
func sensitivity(out io.Writer, s site, seeds int) {
	fmt.Fprintf(out, "\n### (a) %s: cost after 200,000 requests by separation of the confidence and target\n\n", s.name)
	fmt.Fprintln(out, "| separation in deviations | target | cost, % of always best | least possible with a known threshold, % | quality | least seed |")
	fmt.Fprintln(out, "|--:|--:|--:|--:|--:|--:|")
	for _, target := range []float64{0.90, 0.88} {
		for _, separation := range []float64{defaultSeparation, 0.30, 0.45} {
			s.qualityTarget = target
			r := costRun(s, policies()[0], learningRequests)
			r.separation = separation
			results := runSeeds(r, seeds)
			best := s.meanCost(largeModel)
			cost := statsOf(results, func(r result) float64 { return r.costPer1000() / 10 / best })
			quality := statsOf(results, result.meanQuality)
			fmt.Fprintf(out, "| %.1f | %.2f | %.1f ± %.1f | %.1f | %.4f ± %.4f | %.4f |\n", separation/confidenceSpread, target,
				cost.mean, cost.stddev, 100*s.minChainCost(separation)/best, quality.mean, quality.stddev, quality.min)
		}
	}
}

// meanCost returns the mean cost of one answer of a model over the classes.
func (s *site) meanCost(model int) float64 {
	sum := 0.0
	for i := range s.classes {
		sum += s.classes[i].requestFraction * answerCost(&s.models[model], &s.classes[i])
	}
	return sum
}

// minChainCost returns the cost of the chain from the small to the large model at the lowest confidence threshold (in steps of
// 0.01) that meets the quality target. It is computed from the true qualities, for organisations that may use every version.
func (s *site) minChainCost(separation float64) float64 {
	const draws = 200_000
	small, large := &s.models[smallModel], &s.models[largeModel]
	for threshold := 0.0; threshold < 1; threshold += 0.01 {
		rng, quality, escalated := rand.New(rand.NewPCG(9, 9)), 0.0, 0.0
		for range draws {
			hard := rng.Float64() < hardFraction
			m := small
			if drawConfidence(rng, hard, separation) < threshold {
				m = large
				escalated++
			}
			if hard {
				quality += m.hardQuality
				continue
			}
			quality += m.easyQuality
		}
		if quality/draws >= s.qualityTarget {
			return s.meanCost(smallModel) + escalated/draws*s.meanCost(largeModel)
		}
	}
	return s.meanCost(largeModel)
}
