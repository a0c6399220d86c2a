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

// loadLevel is a number of concurrent streams and the length and number of the phases in which it is measured.
type loadLevel struct {
	streams       int
	phaseDuration time.Duration
	rounds        int
}

// minAnswersPerPhase is the number of answers per caller for which a phase must have time. The first is not measured and the
// last may be interrupted by the end of the phase.
const minAnswersPerPhase = 4

// newLevel lengthens the phases and reduces the rounds of levels whose answers take long, so that all levels take a similar time.
func newLevel(streams int, phaseDuration time.Duration, rounds int) loadLevel {
	l := loadLevel{streams: streams, phaseDuration: phaseDuration, rounds: rounds}
	if needed := minAnswersPerPhase * tokensPerAnswer * l.tokenInterval(); needed > phaseDuration {
		l.phaseDuration = needed
		l.rounds = max(1, int(time.Duration(rounds)*phaseDuration/needed))
	}
	return l
}

// tokenInterval returns the time between the tokens of one stream. It grows with the number of streams, so that the stand-in and
// the callers, which run on the same machine as the instance, do not become the bottleneck.
func (l loadLevel) tokenInterval() time.Duration {
	switch {
	case l.streams <= 1:
		return 2 * time.Millisecond
	case l.streams <= 100:
		return 10 * time.Millisecond
	}
	return 100 * time.Millisecond
}

// round holds the samples of one direct phase and of the routed phase after it.
type round struct {
	direct, routed sample
}

// result holds the measurements of one load level.
type result struct {
	level  loadLevel
	rounds []round
	// cpuTime is the CPU time of the instance during the routed phases.
	cpuTime time.Duration
	// idleBytes is the resident memory of the instance before the first stream, loadedBytes its maximum with all streams open.
	idleBytes, loadedBytes int64
}

// measure runs direct and routed phases alternately.
func (s *testbed) measure(l loadLevel) (result, error) {
	r := result{level: l}
	if err := s.setTokenInterval(l.tokenInterval()); err != nil {
		return r, err
	}
	client := newClient(l.streams)
	defer client.CloseIdleConnections()
	direct := target{url: "http://" + s.engineAddress, model: version}
	routed := target{url: "http://" + s.callerAddress, key: callerKey, model: "class:quick"}
	pid := s.instance.Process.Pid
	var err error
	if r.idleBytes, err = residentBytes(pid); err != nil {
		return r, err
	}
	for range l.rounds {
		current := round{direct: runPhase(client, direct, l)}
		before, err := cpuTime(pid)
		if err != nil {
			return r, err
		}
		loadedBytes := make(chan int64, 1)
		time.AfterFunc(l.phaseDuration*9/10, func() {
			bytes, _ := residentBytes(pid)
			loadedBytes <- bytes
		})
		current.routed = runPhase(client, routed, l)
		after, err := cpuTime(pid)
		if err != nil {
			return r, err
		}
		r.cpuTime += after - before
		r.loadedBytes = max(r.loadedBytes, <-loadedBytes)
		if len(current.direct.firstTokenSeconds) == 0 || len(current.routed.firstTokenSeconds) == 0 {
			return r, errors.New("no measured stream ended within a phase; increase --phase")
		}
		r.rounds = append(r.rounds, current)
	}
	return r, nil
}

// median returns the median over the rounds, which reduces the effect of other load on the machine during one round.
func (r result) median(value func(round) float64) float64 {
	var values []float64
	for _, one := range r.rounds {
		values = append(values, value(one))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// quantile returns the quantile p of the values in milliseconds. The histogram keeps a uniform sample of 1,000 values.
func quantile(p float64, seconds []float64) float64 {
	values := histogram.NewFast()
	for _, value := range seconds {
		values.Update(value)
	}
	return values.Quantile(p) * 1000
}

// totals returns the numbers of requests measured and finished in the routed phases, and failed in the routed and direct phases.
func (r result) totals() (measured, finished, failed int) {
	for _, one := range r.rounds {
		measured += len(one.routed.firstTokenSeconds)
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
		measured, finished, failed := r.totals()
		_, _ = fmt.Fprintf(table, "%d\t%d\t%d\t", r.level.streams, measured, failed)
		for _, p := range []float64{0.5, 0.99} {
			direct := func(one round) float64 { return quantile(p, one.direct.firstTokenSeconds) }
			routed := func(one round) float64 { return quantile(p, one.routed.firstTokenSeconds) }
			added := func(one round) float64 { return routed(one) - direct(one) }
			_, _ = fmt.Fprintf(table, "%.2f\t%.2f\t%.2f\t", r.median(direct), r.median(routed), r.median(added))
		}
		perCore := float64(finished) / r.cpuTime.Seconds()
		_, _ = fmt.Fprintf(table, "%.0f\t%.0f\t%.0f\t\n", perCore, perCore*tokensPerAnswer, float64(r.loadedBytes-r.idleBytes)/1024/float64(r.level.streams))
	}
	return errors.Wrap(table.Flush(), "print the table")
}
