package main

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/histogram"
)

// level is a number of concurrent streams to measure.
type level struct {
	streams int
	phase   time.Duration
	rounds  int
}

// fewestAnswers is the number of answers that fit one phase, of which the first does not count and the last may be cut.
const fewestAnswers = 4

// newLevel lengthens the phases and leaves out rounds where answers take long, so that all levels take similar times.
func newLevel(streams int, length time.Duration, rounds int) level {
	l := level{streams: streams, phase: length, rounds: rounds}
	if needed := fewestAnswers * tokens * l.between(); needed > length {
		l.phase = needed
		l.rounds = max(1, int(time.Duration(rounds)*length/needed))
	}
	return l
}

// between returns the time between the tokens of one stream. It grows with the streams, so that stand-in and callers, which
// share the machine with the instance, are not the limit.
func (l level) between() time.Duration {
	switch {
	case l.streams <= 1:
		return 2 * time.Millisecond
	case l.streams <= 100:
		return 10 * time.Millisecond
	}
	return 100 * time.Millisecond
}

// round is one direct phase and the routed phase after it.
type round struct {
	direct, routed sample
}

// result is what one level showed.
type result struct {
	level  level
	rounds []round
	// cpu is the processor time of the instance during the routed phases.
	cpu time.Duration
	// idle and open are the resident memory of the instance in bytes without streams and with all streams open.
	idle, open int64
}

// measure runs direct and routed phases in turns.
func (s *site) measure(l level) (result, error) {
	r := result{level: l}
	if err := s.pace(l.between()); err != nil {
		return r, err
	}
	client := newClient(l.streams)
	defer client.CloseIdleConnections()
	direct := target{url: "http://" + s.engine, model: version}
	routed := target{url: "http://" + s.caller, key: callerKey, model: "class:quick"}
	pid := s.instance.Process.Pid
	var err error
	if r.idle, err = residentBytes(pid); err != nil {
		return r, err
	}
	for range l.rounds {
		one := round{direct: phase(client, direct, l)}
		before, err := processorTime(pid)
		if err != nil {
			return r, err
		}
		open := make(chan int64, 1)
		time.AfterFunc(l.phase*9/10, func() {
			bytes, _ := residentBytes(pid)
			open <- bytes
		})
		one.routed = phase(client, routed, l)
		after, err := processorTime(pid)
		if err != nil {
			return r, err
		}
		r.cpu += after - before
		r.open = max(r.open, <-open)
		if len(one.direct.first) == 0 || len(one.routed.first) == 0 {
			return r, errors.New("no stream ended within a phase; make the phases longer")
		}
		r.rounds = append(r.rounds, one)
	}
	return r, nil
}

// median returns the median over the rounds, so that a burst of other load on the machine in one of them shows less.
func (r result) median(value func(round) float64) float64 {
	var values []float64
	for _, one := range r.rounds {
		values = append(values, value(one))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// quantile returns a quantile in milliseconds. The histogram keeps a uniform sample of 1,000 values.
func quantile(p float64, seconds []float64) float64 {
	values := histogram.NewFast()
	for _, value := range seconds {
		values.Update(value)
	}
	return values.Quantile(p) * 1000
}

// total returns the requests that were measured, finished and failed in the routed phases, and failed in the direct ones.
func (r result) total() (measured, finished, failed int) {
	for _, one := range r.rounds {
		measured += len(one.routed.first)
		finished += one.routed.finished
		failed += one.direct.failed + one.routed.failed
	}
	return measured, finished, failed
}

func printTable(w io.Writer, results []result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "streams\tsamples\tfailed\tdirect p50 ms\trouted p50 ms\tadded p50 ms\tdirect p99 ms\trouted p99 ms\tadded p99 ms\t"+
		"requests/s per core\ttokens/s per core\tKB per stream\t")
	for _, r := range results {
		measured, finished, failed := r.total()
		_, _ = fmt.Fprintf(table, "%d\t%d\t%d\t", r.level.streams, measured, failed)
		for _, p := range []float64{0.5, 0.99} {
			direct := func(one round) float64 { return quantile(p, one.direct.first) }
			routed := func(one round) float64 { return quantile(p, one.routed.first) }
			added := func(one round) float64 { return routed(one) - direct(one) }
			_, _ = fmt.Fprintf(table, "%.2f\t%.2f\t%.2f\t", r.median(direct), r.median(routed), r.median(added))
		}
		perCore := float64(finished) / r.cpu.Seconds()
		_, _ = fmt.Fprintf(table, "%.0f\t%.0f\t%.0f\t\n", perCore, perCore*tokens, float64(r.open-r.idle)/1024/float64(r.level.streams))
	}
	return errors.Wrap(table.Flush(), "print the table")
}
