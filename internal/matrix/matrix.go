// Package matrix holds the types of the fault matrix: its rows are the steps of the durable paths, its columns are faults.
// The checks themselves are test code. To add rows, add a test file with an init function that calls register; see
// docs/testing-matrix.md.
package matrix

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Column is one kind of fault.
type Column string

// Columns of the matrix.
const (
	Kill              Column = "kill"
	PauseResume       Column = "pause"
	PartitionOneWay   Column = "one-way"
	PartitionBothWays Column = "both-ways"
	Slow              Column = "slow"
	ReplyLost         Column = "reply-lost"
	StoreUnavailable  Column = "store-down"
	Duplicate         Column = "duplicate"
	StaleRead         Column = "stale-read"
)

// Columns returns all columns in the order of the table.
func Columns() []Column {
	return []Column{Kill, PauseResume, PartitionOneWay, PartitionBothWays, Slow, ReplyLost, StoreUnavailable, Duplicate, StaleRead}
}

// Exemption states why a fault does not apply to a step.
type Exemption struct {
	Column Column
	Reason string
}

// Row is one step of a path.
type Row struct {
	Path string
	Step string
	// Check runs the real code with the fault of the run at this step and reports what is wrong. It is called once for each
	// column that has no exemption.
	Check  func(r *Run)
	Exempt []Exemption
}

// Name returns path and step.
func (r Row) Name() string { return r.Path + ": " + r.Step }

// Reason returns why the column does not apply to the row.
func (r Row) Reason(column Column) (string, bool) {
	for _, e := range r.Exempt {
		if e.Column == column && e.Reason != "" {
			return e.Reason, true
		}
	}
	return "", false
}

// Cell names one cell.
type Cell struct {
	Row    string
	Column Column
}

// Mutant breaks one mechanism by a switch in test code. Each cell that it names must turn red.
type Mutant struct {
	Name string
	Red  []Cell
}

// Run is one execution of a cell's check.
type Run struct {
	Column Column
	// Mutant is the name of the broken mechanism; empty in the plain matrix.
	Mutant string
	// Seed, if not zero, chooses a second fault. Only safety is checked then, because two faults may take both ways to make
	// progress.
	Seed uint64
	// Operations are those at which a second fault may start; nil stands for the durable paths.
	Operations []string
	// Recovery is filled by rows that send requests throughout.
	Recovery Recovery

	mu       sync.Mutex
	injected int
	failures []string
}

// Recovery is what the callers of a run saw.
type Recovery struct {
	// Measured is false if the row sends no requests throughout.
	Measured bool
	// After is the virtual time from the end of the fault until requests are served within target again.
	After time.Duration
	// Served, Refused, Unknown and Wrong count requests from the start of the fault.
	Served, Refused, Unknown, Wrong int
}

// Recovered adds the requests of one variant of the run; the longest recovery counts.
func (r *Run) Recovered(one Recovery) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Recovery.Measured = true
	r.Recovery.After = max(r.Recovery.After, one.After)
	r.Recovery.Served += one.Served
	r.Recovery.Refused += one.Refused
	r.Recovery.Unknown += one.Unknown
	r.Recovery.Wrong += one.Wrong
}

// Failf records a violated invariant.
func (r *Run) Failf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// Stuckf records missing progress after all faults have ended. It does not count with a second fault.
func (r *Run) Stuckf(format string, args ...any) {
	if r.Seed == 0 {
		r.Failf(format, args...)
	}
}

// Injected records that the fault happened. A check whose fault never happens fails.
func (r *Run) Injected() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injected++
}

// Broken reports whether the named mechanism is switched off.
func (r *Run) Broken(mutant string) bool { return r.Mutant == mutant }

// Failures returns what is wrong; empty if the cell passes.
func (r *Run) Failures() []string {
	if r.injected == 0 && len(r.failures) == 0 {
		return []string{"the fault was never injected"}
	}
	return r.failures
}

// Status is the state of a cell.
type Status string

// States of a cell.
const (
	Pass   Status = "pass"
	Fail   Status = "FAIL"
	NotRun Status = "NOT RUN"
	Exempt Status = "-"
)

// Result is the state of one cell.
type Result struct {
	Cell   Cell
	Status Status
}

// Report collects results in the order in which the rows ran.
type Report struct {
	Results []Result
}

// Add records a result.
func (p *Report) Add(cell Cell, status Status) {
	p.Results = append(p.Results, Result{Cell: cell, Status: status})
}

// Count returns the number of cells with the status.
func (p *Report) Count(status Status) int {
	n := 0
	for _, r := range p.Results {
		if r.Status == status {
			n++
		}
	}
	return n
}

// String prints the table, one line for each row, and the counts.
func (p *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-36s", "step")
	for _, column := range Columns() {
		fmt.Fprintf(&b, " %-10s", column)
	}
	for i, r := range p.Results {
		if i == 0 || r.Cell.Row != p.Results[i-1].Cell.Row {
			fmt.Fprintf(&b, "\n%-36s", r.Cell.Row)
		}
		fmt.Fprintf(&b, " %-10s", r.Status)
	}
	fmt.Fprintf(&b, "\n%d cells: %d pass, %d fail, %d not run, %d not applicable\n",
		len(p.Results), p.Count(Pass), p.Count(Fail), p.Count(NotRun), p.Count(Exempt))
	return b.String()
}
