// Command benchpolicy measures the routing decisions in a simulation with a virtual clock and writes tables and plots. It is a
// development tool and is not shipped.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/alexflint/go-arg"

	"github.com/cicadawall/cicadawall/internal/benchpolicy"
)

type arguments struct {
	Experiment []string `arg:"positional" help:"cost, early, bad, latency, subset, placement, platform; all if none is given"`
	Seeds      int      `arg:"--seeds" default:"10" help:"number of seeds"`
	Plots      string   `arg:"--plots" default:"docs/plots" help:"directory of the SVG files"`
	Runs       string   `arg:"--runs" default:"docs/measurements/platform-runs.csv" help:"recorded runs on the users' bench, for platform"`
}

type experiment struct {
	name string
	run  func(out io.Writer, plots string, seeds int) error
}

func experiments(runs string) []experiment {
	return []experiment{
		{"cost", benchpolicy.Cost},
		{"early", benchpolicy.Early},
		{"bad", benchpolicy.BadVersion},
		{"latency", benchpolicy.Latency},
		{"subset", benchpolicy.Subset},
		{"placement", benchpolicy.Placement},
		{"platform", func(out io.Writer, plots string, _ int) error { return benchpolicy.RecordedRuns(out, runs, plots) }},
	}
}

func main() {
	var args arguments
	arg.MustParse(&args)
	for _, e := range experiments(args.Runs) {
		if len(args.Experiment) > 0 && !slices.Contains(args.Experiment, e.name) {
			continue
		}
		if err := e.run(os.Stdout, args.Plots, args.Seeds); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
