package benchpolicy

import (
	"fmt"
	"io"
)

const (
	// earlyTokens is the number of tokens after which the confidence of a first answer is taken.
	earlyTokens = 32
	// earlySeparation is 1.2 standard deviations: the beginning of an answer is assumed to tell less than the whole.
	earlySeparation = 0.18
)

// Early measures chains whose first answer is judged by its first tokens and cancelled if it escalates.
func Early(out io.Writer, _ string, seeds int) error {
	fmt.Fprintf(out, "\n### (a) Confidence of the first %d tokens, after 200,000 requests, %d seeds\n\n", earlyTokens, seeds)
	fmt.Fprintln(out, "| site | confidence of | separation in deviations | cost, % of always best | quality | least seed | first token p50 ms | p95 ms | within target % |")
	fmt.Fprintln(out, "|---|---|--:|--:|--:|--:|--:|--:|--:|")
	cases := []struct {
		name   string
		tokens int
		gap    float64
	}{
		{"whole answer", 0, separation},
		{"first tokens", earlyTokens, separation},
		{"first tokens", earlyTokens, earlySeparation},
	}
	for _, s := range []site{guild(), parabole()} {
		for _, c := range cases {
			r := costRun(s, policies()[0], learntRequests)
			r.early, r.separation = c.tokens, c.gap
			results := parallel(r, seeds)
			best := s.meanCost(largeModel)
			price := spreadOf(results, func(r result) float64 { return r.costPer1000() / 10 / best })
			quality := spreadOf(results, result.meanQuality)
			p50 := spreadOf(results, func(r result) float64 { return r.firstToken.p50 })
			p95 := spreadOf(results, func(r result) float64 { return r.firstToken.p95 })
			within := spreadOf(results, func(r result) float64 { return 100 * r.within / max(1, r.answered+r.refused) })
			fmt.Fprintf(out, "| %s | %s | %.1f | %.1f ± %.1f | %.4f ± %.4f | %.4f | %.0f ± %.0f | %.0f ± %.0f | %.1f ± %.1f |\n",
				s.name, c.name, c.gap/confidenceSpread, price.mean, price.deviation, quality.mean, quality.deviation, quality.least,
				p50.mean, p50.deviation, p95.mean, p95.deviation, within.mean, within.deviation)
		}
	}
	return nil
}
