package benchpolicy

import (
	"fmt"
	"io"
	"path/filepath"
	"time"
)

const (
	// latencyLoad is the load as a share of the capacity with cold caches.
	latencyLoad     = 0.7
	latencyRequests = 30_000
	latencyWarmup   = 8_000
	// herdInstances is a number of instances that see the same reports.
	herdInstances = 100
	herdReports   = 5 * time.Second
)

func latencyRun(s site, p policy, shared bool) run {
	rate := latencyLoad * s.capacity(&s.models[0])
	return run{site: s, policy: p, rate: rate, requests: latencyRequests, warmup: latencyWarmup, sharedPrefixes: shared}
}

// Latency measures the choice of a server: all servers run the large model at 70% load.
func Latency(out io.Writer, plots string, seeds int) error {
	for _, s := range []site{guild().oneModel(), parabole().oneModel()} {
		for _, shared := range []bool{false, true} {
			prompts := "prompts of their own"
			if shared {
				prompts = "shared prefixes"
			}
			var results []policyResults
			for _, p := range serverPolicies() {
				results = append(results, policyResults{p.name, parallel(latencyRun(s, p, shared), seeds)})
			}
			fmt.Fprintf(out, "\n### (c) %s: %.0f%% load, %s, %d seeds\n\n", s.name, 100*latencyLoad, prompts, seeds)
			writeTable(out, results)
			writeSpeedup(out, results[0], results[1])
			if err := plotLatency(plots, s.name+", "+prompts, results); err != nil {
				return err
			}
		}
	}
	herd(out, seeds)
	return nil
}

func writeSpeedup(out io.Writer, ours, base policyResults) {
	var ratios []float64
	for i := range ours.results {
		ratios = append(ratios, base.results[i].firstToken.p95/ours.results[i].firstToken.p95)
	}
	s := spreadOfValues(ratios)
	fmt.Fprintf(out, "\np95 of the first token of %s divided by ours: %.2f (± %.2f, %.2f to %.2f); aim 1.5 or more with shared prefixes.\n",
		base.policy, s.mean, s.deviation, s.least, s.most)
}

// lowestReport sends to the server with the lowest reported load, which makes all instances choose the same one.
func lowestReport(w *world, r *request) int {
	in, best := w.instances[r.instance], 0
	for i := range in.candidates {
		a, b := in.candidates[i].Report, in.candidates[best].Report
		if a.Running+a.Queued < b.Running+b.Queued {
			best = i
		}
	}
	return w.only(r, best)
}

// herd compares choices when many instances see the same old report.
func herd(out io.Writer, seeds int) {
	fmt.Fprintf(out, "\n### (c) Herd: %d instances at the Guild's servers, shared prefixes, %d seeds\n\n", herdInstances, seeds)
	fmt.Fprintln(out, "| reports every | policy | first token p95 ms | p99 ms | longest queue | refused |")
	fmt.Fprintln(out, "|--:|---|--:|--:|--:|--:|")
	s := guild().oneModel()
	s.instances = herdInstances
	all := append(serverPolicies()[:2:2], policy{"lowest report", lowestReport, false})
	for _, every := range []time.Duration{reportInterval, herdReports} {
		for _, p := range all {
			r := latencyRun(s, p, true)
			r.reportEvery = every
			results := parallel(r, seeds)
			p95 := spreadOf(results, func(r result) float64 { return r.firstToken.p95 })
			p99 := spreadOf(results, func(r result) float64 { return r.firstToken.p99 })
			longest := spreadOf(results, func(r result) float64 { return r.longestQueue })
			refused := spreadOf(results, func(r result) float64 { return r.refused })
			fmt.Fprintf(out, "| %v | %s | %.0f ± %.0f | %.0f ± %.0f | %.1f ± %.1f | %.0f |\n", every, p.name,
				p95.mean, p95.deviation, p99.mean, p99.deviation, longest.mean, longest.deviation, refused.mean)
		}
	}
}

func plotLatency(dir, title string, results []policyResults) error {
	var names []string
	var values []float64
	for _, r := range results {
		names = append(names, r.policy)
		values = append(values, spreadOf(r.results, func(r result) float64 { return r.firstToken.p95 }).mean)
	}
	return bars(filepath.Join(dir, "first-token-"+fileName(title)+".svg"), title, "p95 of the first token, ms", names, values)
}
