package benchpolicy

import (
	"fmt"
	"io"
	"sync"
)

// maxParallel bounds the runs at a time.
const maxParallel = 4

// parallel runs the seeds 1 to n.
func parallel(r run, seeds int) []result {
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

// column is one column of the table.
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
	{"between tokens p50 ms", "%.1f", func(r result) float64 { return r.between.p50 }},
	{"p95", "%.1f", func(r result) float64 { return r.between.p95 }},
	{"p99", "%.1f", func(r result) float64 { return r.between.p99 }},
	{"within target %", "%.1f", func(r result) float64 { return 100 * r.within / max(1, r.answered+r.refused) }},
	{"bad version %", "%.2f", func(r result) float64 { return 100 * r.exposed / max(1, r.afterTurn) }},
	{"refused", "%.0f", func(r result) float64 { return r.refused }},
	{"wrong", "%.0f", func(r result) float64 { return r.wrong }},
	{"false quarantines", "%.2f", func(r result) float64 { return r.falseQuarantines }},
}

// writeTable writes the mean and the standard deviation over the seeds of each column.
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
			s := spreadOf(p.results, c.value)
			fmt.Fprintf(out, " "+c.format+" ± "+c.format+" |", s.mean, s.deviation)
		}
		fmt.Fprintln(out)
	}
}
