package benchpolicy

import (
	"fmt"
	"io"
	"sync"
)

// maxParallel is the maximum number of concurrent runs.
const maxParallel = 4

// runSeeds simulates the run once for each of the seeds 1 to seeds, up to maxParallel at a time.
func runSeeds(r run, seeds int) []result {
	results := make([]result, seeds)
	slots := make(chan struct{}, maxParallel)
	var group sync.WaitGroup
	for i := range results {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			seeded := r
			seeded.seed = uint64(i + 1)
			results[i] = newWorld(seeded).simulate()
		})
	}
	group.Wait()
	return results
}

// column is a column of the result table.
type column struct {
	title  string
	format string
	value  func(result) float64
}

var columns = []column{
	{"cost per 1,000", "%.0f", result.costPer1000},
	{"quality", "%.4f", result.meanQuality},
	{"first token p50 ms", "%.0f", func(r result) float64 { return r.firstToken.p50 }},
	{"p95", "%.0f", func(r result) float64 { return r.firstToken.p95 }},
	{"p99", "%.0f", func(r result) float64 { return r.firstToken.p99 }},
	{"between tokens p50 ms", "%.1f", func(r result) float64 { return r.interToken.p50 }},
	{"p95", "%.1f", func(r result) float64 { return r.interToken.p95 }},
	{"p99", "%.1f", func(r result) float64 { return r.interToken.p99 }},
	{"within target %", "%.1f", func(r result) float64 { return 100 * r.withinTarget / max(1, r.answered+r.refused) }},
	{"bad version %", "%.2f", func(r result) float64 { return 100 * r.degradedAnswers / max(1, r.afterDegradation) }},
	{"refused", "%.0f", func(r result) float64 { return r.refused }},
	{"wrong", "%.0f", func(r result) float64 { return r.disallowed }},
	{"false quarantines", "%.2f", func(r result) float64 { return r.falseQuarantines }},
}

// writeTable writes a table with one row per policy: the mean and standard deviation of each column over the seeds.
func writeTable(out io.Writer, all []policyResults) {
	fmt.Fprint(out, "| policy |")
	for _, c := range columns {
		fmt.Fprintf(out, " %s |", c.title)
	}
	fmt.Fprint(out, "\n|---|")
	for range columns {
		fmt.Fprint(out, "--:|")
	}
	fmt.Fprintln(out)
	for _, p := range all {
		fmt.Fprintf(out, "| %s |", p.policy)
		for _, c := range columns {
			s := statsOf(p.results, c.value)
			fmt.Fprintf(out, " "+c.format+" ± "+c.format+" |", s.mean, s.stddev)
		}
		fmt.Fprintln(out)
	}
}
