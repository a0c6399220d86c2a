package benchpolicy

import (
	"fmt"
	"io"
	"path/filepath"
	"time"
)

const (
	// latencyLoad is the load as a fraction of the capacity with cold caches.
	latencyLoad     = 0.7
	latencyRequests = 30_000
	latencyWarmup   = 8_000
	// herdInstances is the number of instances that see the same load reports in the herding experiment, and herdReports is the
	// longer of its two report intervals.
	herdInstances = 100
	herdReports   = 5 * time.Second
)

func latencyRun(s site, p policy, shared bool) run {
	rate := latencyLoad * s.capacity(&s.models[0])
	return run{site: s, policy: p, rate: rate, requests: latencyRequests, warmup: latencyWarmup, sharedPrefixes: shared}
}

// Latency measures how the choice of a server affects latency; all servers run the large model at 70% load.
func Latency(out io.Writer, plots string, seeds int) error {
	for _, s := range []site{guild().largeModelOnly(), parabole().largeModelOnly()} {
		for _, shared := range []bool{false, true} {
			prompts := "prompts of their own"
			if shared {
				prompts = "shared prefixes"
			}
			var results []policyResults
			for _, p := range serverPolicies() {
				results = append(results, policyResults{p.name, runSeeds(latencyRun(s, p, shared), seeds)})
			}
			fmt.Fprintf(out, "\n### (c) %s: %.0f%% load, %s, %d seeds\n\n", s.name, 100*latencyLoad, prompts, seeds)
			writeTable(out, results)
			writeSpeedup(out, results[0], results[1])
			if err := plotLatency(plots, s.name+", "+prompts, results); err != nil {
				return err
			}
		}
	}
	writeHerding(out, seeds)
	return nil
}

func writeSpeedup(out io.Writer, candidate, baseline policyResults) {
	var ratios []float64
	for i := range candidate.results {
		ratios = append(ratios, baseline.results[i].firstToken.p95/candidate.results[i].firstToken.p95)
	}
	s := statsOfValues(ratios)
	fmt.Fprintf(out, "\np95 of the first token of %s divided by ours: %.2f (± %.2f, %.2f to %.2f); aim 1.5 or more with shared prefixes.\n",
		baseline.policy, s.mean, s.stddev, s.min, s.max)
}

// lowestReport chooses the server with the lowest reported load, so that all instances choose the same server until the next
// report.
func lowestReport(w *world, r *request) int {
	in, best := w.instances[r.instance], 0
	for i := range in.candidates {
		a, b := in.candidates[i].Report, in.candidates[best].Report
		if a.Running+a.Queued < b.Running+b.Queued {
			best = i
		}
	}
	return w.setSingleStepChain(r, best)
}

// writeHerding compares policies when many instances act on the same outdated load report.
func writeHerding(out io.Writer, seeds int) {
	fmt.Fprintf(out, "\n### (c) Herd: %d instances at the Guild's servers, shared prefixes, %d seeds\n\n", herdInstances, seeds)
	fmt.Fprintln(out, "| reports every | policy | first token p95 ms | p99 ms | longest queue | refused |")
	fmt.Fprintln(out, "|--:|---|--:|--:|--:|--:|")
	s := guild().largeModelOnly()
	s.instanceCount = herdInstances
	all := append(serverPolicies()[:2:2], policy{"lowest report", lowestReport, false})
	for _, interval := range []time.Duration{defaultReportInterval, herdReports} {
		for _, p := range all {
			r := latencyRun(s, p, true)
			r.reportInterval = interval
			results := runSeeds(r, seeds)
			p95 := statsOf(results, func(r result) float64 { return r.firstToken.p95 })
			p99 := statsOf(results, func(r result) float64 { return r.firstToken.p99 })
			longest := statsOf(results, func(r result) float64 { return r.longestQueue })
			refused := statsOf(results, func(r result) float64 { return r.refused })
			fmt.Fprintf(out, "| %v | %s | %.0f ± %.0f | %.0f ± %.0f | %.1f ± %.1f | %.0f |\n", interval, p.name,
				p95.mean, p95.stddev, p99.mean, p99.stddev, longest.mean, longest.stddev, refused.mean)
		}
	}
}

func plotLatency(dir, title string, results []policyResults) error {
	var names []string
	var values []float64
	for _, r := range results {
		names = append(names, r.policy)
		values = append(values, statsOf(r.results, func(r result) float64 { return r.firstToken.p95 }).mean)
	}
	return saveBarChart(filepath.Join(dir, "first-token-"+fileName(title)+".svg"), title, "p95 of the first token, ms", names, values)
}
