// Command bench measures the latency that an entry instance adds to a call of a model engine, and the instance's CPU and memory
// use. It sends the same streamed completions alternately to the engine stand-in directly and through an instance, and prints a
// table. It is never shipped.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

type arguments struct {
	Binaries string        `arg:"--binaries" default:"bin" help:"directory of the binaries cicadawall and standin"`
	Phase    time.Duration `arg:"--phase" default:"3s" help:"time of one phase; each level has a direct and a routed phase in each round"`
	Rounds   int           `arg:"--rounds" default:"3" help:"rounds of each level"`
	Streams  []int         `arg:"--streams" help:"numbers of concurrent streams; default 1, 100 and 2000"`
}

// Description implements arg.Described.
func (arguments) Description() string { return "Measures the overhead of the request path." }

func main() {
	args := arguments{}
	arg.MustParse(&args)
	if len(args.Streams) == 0 {
		args.Streams = []int{1, 100, 2000}
	}
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	dir, err := os.MkdirTemp("", "cicadawall-bench-")
	if err != nil {
		return errors.Wrap(err, "create the working directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	site := &testbed{binaries: args.Binaries, dir: dir}
	defer site.stop()
	if err := site.start(); err != nil {
		return err
	}
	var results []result
	for _, streams := range args.Streams {
		result, err := site.measure(newLevel(streams, args.Phase, args.Rounds))
		if err != nil {
			return errors.Wrapf(err, "measure %d concurrent streams", streams)
		}
		results = append(results, result)
	}
	return printTable(os.Stdout, results)
}
