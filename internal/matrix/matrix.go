// Package matrix holds the types of the fault matrix. A row is a step of a path that must survive faults; a column is a kind
// of fault. The checks themselves are test code. To add rows, add a test file with an init function that calls register; see
// docs/testing-matrix.md.
package matrix

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Column is a kind of fault.
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

// Row is a step of a path, with the check that runs it under each fault.
type Row struct {
	Path string
	Step string
	// Check runs the real code, injects the fault of the run at this step and records violations in the run. It is called once
	// for each column that has no exemption.
	Check  func(r *Run)
	Exempt []Exemption
}

// Name returns the path and the step, as cells and mutants refer to the row.
func (r Row) Name() string { return r.Path + ": " + r.Step }

// ExemptionReason returns the reason why the column does not apply to the row, and false if it applies.
func (r Row) ExemptionReason(column Column) (string, bool) {
	for _, e := range r.Exempt {
		if e.Column == column && e.Reason != "" {
			return e.Reason, true
		}
	}
	return "", false
}

// Cell identifies a cell of the matrix.
type Cell struct {
	Row    string
	Column Column
}

// Mutant switches one mechanism off in test code. The check of each cell in Red must then fail.
type Mutant struct {
	Name string
	Red  []Cell
}

// Run is one execution of the check of a cell.
type Run struct {
	Column Column
	// Mutant is the name of the mutant that is active; empty if no mechanism is switched off.
	Mutant string
	// Seed, if not zero, chooses a second fault. Only safety is checked then: two faults together may disable both the usual
	// and the alternative way to make progress.
	Seed uint64
	// SecondFaultOperations lists the operations at which the second fault may start; nil selects those of the durable
	// paths.
	SecondFaultOperations []string
	// Recovery is set by rows that send requests during the whole run.
	Recovery Recovery

	mu         sync.Mutex
	injections int
	failures   []string
}

// Recovery summarises the answers that the callers of a run received.
type Recovery struct {
	// Measured is false for rows that do not send requests during the whole run.
	Measured bool
	// Duration is the virtual time from the end of the fault until requests are served within target again.
	Duration time.Duration
	// Served, Refused, Unknown and Wrong count the requests since the start of the fault, by result.
	Served, Refused, Unknown, Wrong int
}

// AddRecovery adds the requests of one variant of the run and keeps the longest recovery time.
func (r *Run) AddRecovery(variant Recovery) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Recovery.Measured = true
	r.Recovery.Duration = max(r.Recovery.Duration, variant.Duration)
	r.Recovery.Served += variant.Served
	r.Recovery.Refused += variant.Refused
	r.Recovery.Unknown += variant.Unknown
	r.Recovery.Wrong += variant.Wrong
}

// Failf records a violated invariant.
func (r *Run) Failf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// FailLivenessf records that the code made no progress after all faults had ended. It does nothing if the run has a second
// fault.
func (r *Run) FailLivenessf(format string, args ...any) {
	if r.Seed == 0 {
		r.Failf(format, args...)
	}
}

// MarkInjected records that the fault was injected. A check during which no fault is injected fails.
func (r *Run) MarkInjected() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injections++
}

// Broken reports whether the named mutant is active.
func (r *Run) Broken(mutant string) bool { return r.Mutant == mutant }

// Failures returns the recorded violations; empty if the cell passes.
func (r *Run) Failures() []string {
	if r.injections == 0 && len(r.failures) == 0 {
		return []string{"the fault was never injected"}
	}
	return r.failures
}

// Status is the outcome of a cell.
type Status string

// Statuses of a cell, as the table prints them.
const (
	Pass   Status = "pass"
	Fail   Status = "FAIL"
	NotRun Status = "NOT RUN"
	Exempt Status = "-"
)

// Result is the status of one cell.
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
