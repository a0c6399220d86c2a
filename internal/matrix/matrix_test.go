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

// red lists cells of one row.
func red(row string, columns ...Column) []Cell {
	var cells []Cell
	for _, column := range columns {
		cells = append(cells, Cell{Row: row, Column: column})
	}
	return cells
}

// runCell runs one check in virtual time.
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

// parallelCells bounds the cells that run at the same time, so that the matrix leaves room on the machine.
var parallelCells = make(chan struct{}, 4)

// inParallel runs the checks as subtests with the names and returns when all have ended.
func inParallel(t *testing.T, names []string, check func(t *testing.T, i int)) {
	t.Run("cells", func(t *testing.T) {
		for i, name := range names {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				parallelCells <- struct{}{}
				defer func() { <-parallelCells }()
				check(t, i)
			})
		}
	})
}

// outcome is one cell after its run; run is nil if there was none.
type outcome struct {
	row    Row
	cell   Cell
	status Status
	run    *Run
}

// runAll runs every cell that has a check and no exemption.
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
		one := &all[i]
		if _, ok := one.row.Reason(one.cell.Column); ok {
			one.status = Exempt
			return
		}
		if one.row.Check == nil {
			t.Error("no check and no reason why the fault does not apply")
			return
		}
		one.run = runCell(t, one.row, one.cell.Column, "")
		one.status = Pass
		for _, problem := range one.run.Failures() {
			one.status = Fail
			t.Error(problem)
		}
	})
	return all
}

// Guards against a fault at a step of a path that breaks an invariant or leaves it stuck, and cells without a check.
func TestMatrix(t *testing.T) {
	var report Report
	var reasons strings.Builder
	recovery := RecoveryTable()
	for _, one := range runAll(t) {
		report.Add(one.cell, one.status)
		if reason, ok := one.row.Reason(one.cell.Column); ok {
			fmt.Fprintf(&reasons, "%s, %s: %s\n", one.cell.Row, one.cell.Column, reason)
		}
		if one.run != nil && one.run.Recovery.Measured {
			recovery.Add(one.cell, one.run.Recovery)
			if one.run.Recovery.Wrong > 0 {
				t.Errorf("%s, %s: %d wrong answers", one.cell.Row, one.cell.Column, one.run.Recovery.Wrong)
			}
		}
	}
	t.Logf("fault matrix\n%s\nnot applicable:\n%s", report.String(), reasons.String())
	t.Logf("recovery\n%s", recovery)
}

// Guards against cells that pass whatever the code does: each mutant breaks one mechanism and its cells must turn red.
func TestMutants(t *testing.T) {
	byName := map[string]Row{}
	for _, row := range rows {
		byName[row.Name()] = row
	}
	type killed struct {
		mutant string
		cell   Cell
	}
	var all []killed
	var names []string
	for _, mutant := range mutants {
		for _, cell := range mutant.Red {
			if _, ok := byName[cell.Row]; !ok {
				t.Fatalf("mutant %q names the unknown row %q", mutant.Name, cell.Row)
			}
			all = append(all, killed{mutant.Name, cell})
			names = append(names, mutant.Name+", "+cell.Row+", "+string(cell.Column))
		}
	}
	var survived atomic.Int64
	inParallel(t, names, func(t *testing.T, i int) {
		problems := runCell(t, byName[all[i].cell.Row], all[i].cell.Column, all[i].mutant).failures // a fault that never happens is no discovery
		if len(problems) == 0 {
			survived.Add(1)
			t.Error("the mutant stays green")
			return
		}
		t.Logf("red: %s", problems[0])
	})
	t.Logf("%d mutants, %d cells that must turn red, %d did", len(mutants), len(all), int64(len(all))-survived.Load())
}
