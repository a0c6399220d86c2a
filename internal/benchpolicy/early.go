package benchpolicy

import (
	"fmt"
	"io"
)

const (
	// earlyTokens is the number of tokens after which the confidence of a first answer is measured.
	earlyTokens = 32
	// earlySeparation is 1.2 standard deviations: the first tokens are assumed to separate hard from easy requests less well
	// than the whole answer.
	earlySeparation = 0.18
)

// Early measures chains that decide on escalation from the confidence of the first tokens and cancel a first answer that
// escalates.
func Early(out io.Writer, _ string, seeds int) error {
	fmt.Fprintf(out, "\n### (a) Confidence of the first %d tokens, after 200,000 requests, %d seeds\n\n", earlyTokens, seeds)
	fmt.Fprintln(out, "| site | confidence of | separation in deviations | cost, % of always best | quality | least seed | first token p50 ms | p95 ms | within target % |")
	fmt.Fprintln(out, "|---|---|--:|--:|--:|--:|--:|--:|--:|")
	cases := []struct {
		name       string
		tokens     int
		separation float64
	}{
		{"whole answer", 0, defaultSeparation},
		{"first tokens", earlyTokens, defaultSeparation},
		{"first tokens", earlyTokens, earlySeparation},
	}
	for _, s := range []site{guild(), parabole()} {
		for _, c := range cases {
			r := costRun(s, policies()[0], learningRequests)
			r.confidenceTokens, r.separation = c.tokens, c.separation
			results := runSeeds(r, seeds)
			best := s.meanCost(largeModel)
			relativeCost := statsOf(results, func(r result) float64 { return r.costPer1000() / 10 / best })
			quality := statsOf(results, result.meanQuality)
			p50 := statsOf(results, func(r result) float64 { return r.firstToken.p50 })
			p95 := statsOf(results, func(r result) float64 { return r.firstToken.p95 })
			within := statsOf(results, func(r result) float64 { return 100 * r.withinTarget / max(1, r.answered+r.refused) })
			fmt.Fprintf(out, "| %s | %s | %.1f | %.1f ± %.1f | %.4f ± %.4f | %.4f | %.0f ± %.0f | %.0f ± %.0f | %.1f ± %.1f |\n",
				s.name, c.name, c.separation/confidenceSpread, relativeCost.mean, relativeCost.stddev, quality.mean, quality.stddev, quality.min,
				p50.mean, p50.stddev, p95.mean, p95.stddev, within.mean, within.stddev)
		}
	}
	return nil
}
