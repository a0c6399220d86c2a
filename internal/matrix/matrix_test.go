package matrix

import (
	"fmt"
	"sort"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
)

var (
	rows    []Row
	mutants []Mutant
)

// register adds rows; call it from an init function of a test file.
func register(added ...Row) { rows = append(rows, added...) }

// registerMutants adds mutants; call it from an init function of a test file.
func registerMutants(added ...Mutant) { mutants = append(mutants, added...) }

// red returns the cells of one row that a mutant must turn red, that is, whose check must fail.
func red(row string, columns ...Column) []Cell {
	var cells []Cell
	for _, column := range columns {
		cells = append(cells, Cell{Row: row, Column: column})
	}
	return cells
}

// runCell runs the check of one cell in virtual time.
func runCell(t *testing.T, row Row, column Column, mutant string) *Run {
	t.Helper()
	return runCheck(t, row, &Run{Column: column, Mutant: mutant})
}

func runCheck(t *testing.T, row Row, run *Run) *Run {
	t.Helper()
	synctest.Test(t, func(*testing.T) { row.Check(run) })
	return run
}

func sortedRows() []Row {
	sorted := append([]Row(nil), rows...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Path < sorted[j].Path })
	return sorted
}

// cellSlots is a semaphore that limits the cells that run at the same time, so that the matrix does not take all processors
// of the machine.
var cellSlots = make(chan struct{}, 4)

// inParallel runs one parallel subtest for each name and returns when all have ended.
func inParallel(t *testing.T, names []string, check func(t *testing.T, i int)) {
	t.Run("cells", func(t *testing.T) {
		for i, name := range names {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				cellSlots <- struct{}{}
				defer func() { <-cellSlots }()
				check(t, i)
			})
		}
	})
}

// outcome is the result of one cell; run is nil if its check was not run.
type outcome struct {
	row    Row
	cell   Cell
	status Status
	run    *Run
}

// runAll runs the check of every cell that has no exemption and returns the outcomes of all cells.
func runAll(t *testing.T) []outcome {
	var all []outcome
	var names []string
	for _, row := range sortedRows() {
		for _, column := range Columns() {
			all = append(all, outcome{row: row, cell: Cell{Row: row.Name(), Column: column}, status: NotRun})
			names = append(names, row.Name()+", "+string(column))
		}
	}
	inParallel(t, names, func(t *testing.T, i int) {
		result := &all[i]
		if _, ok := result.row.ExemptionReason(result.cell.Column); ok {
			result.status = Exempt
			return
		}
		if result.row.Check == nil {
			t.Error("the cell has neither a check nor a reason why the fault does not apply")
			return
		}
		result.run = runCell(t, result.row, result.cell.Column, "")
		result.status = Pass
		for _, problem := range result.run.Failures() {
			result.status = Fail
			t.Error(problem)
		}
	})
	return all
}

// Guards against a single fault that violates an invariant or stops progress, and against cells with neither a check nor an
// exemption.
func TestMatrix(t *testing.T) {
	var report Report
	var reasons strings.Builder
	recovery := NewRecoveryReport()
	for _, result := range runAll(t) {
		report.Add(result.cell, result.status)
		if reason, ok := result.row.ExemptionReason(result.cell.Column); ok {
			fmt.Fprintf(&reasons, "%s, %s: %s\n", result.cell.Row, result.cell.Column, reason)
		}
		if result.run != nil && result.run.Recovery.Measured {
			recovery.Add(result.cell, result.run.Recovery)
			if result.run.Recovery.Wrong > 0 {
				t.Errorf("%s, %s: %d wrong answers", result.cell.Row, result.cell.Column, result.run.Recovery.Wrong)
			}
		}
	}
	t.Logf("fault matrix\n%s\nnot applicable:\n%s", report.String(), reasons.String())
	t.Logf("recovery\n%s", recovery)
}

// Guards against checks that pass whatever the code does: each mutant breaks one mechanism, and the checks of its cells must
// fail.
func TestMutants(t *testing.T) {
	byName := map[string]Row{}
	for _, row := range rows {
		byName[row.Name()] = row
	}
	type mutantCell struct {
		mutant string
		cell   Cell
	}
	var all []mutantCell
	var names []string
	for _, mutant := range mutants {
		for _, cell := range mutant.Red {
			if _, ok := byName[cell.Row]; !ok {
				t.Fatalf("mutant %q refers to the unknown row %q", mutant.Name, cell.Row)
			}
			all = append(all, mutantCell{mutant.Name, cell})
			names = append(names, mutant.Name+", "+cell.Row+", "+string(cell.Column))
		}
	}
	var undetected atomic.Int64
	inParallel(t, names, func(t *testing.T, i int) {
		// Failures would also report a fault that was never injected, which does not detect the mutant.
		problems := runCell(t, byName[all[i].cell.Row], all[i].cell.Column, all[i].mutant).failures
		if len(problems) == 0 {
			undetected.Add(1)
			t.Error("the mutant was not detected: the check of the cell passes")
			return
		}
		t.Logf("red: %s", problems[0])
	})
	t.Logf("%d mutants, %d cells that must turn red, %d did", len(mutants), len(all), int64(len(all))-undetected.Load())
}
