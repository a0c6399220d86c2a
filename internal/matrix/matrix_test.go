package matrix

import (
	"fmt"
	"sort"
	"strings"
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

// Guards against a fault at a step of a durable path that breaks an invariant or leaves it stuck, and cells without a check.
func TestMatrix(t *testing.T) {
	var report Report
	var reasons strings.Builder
	for _, row := range sortedRows() {
		for _, column := range Columns() {
			cell := Cell{Row: row.Name(), Column: column}
			if reason, ok := row.Reason(column); ok {
				report.Add(cell, Exempt)
				fmt.Fprintf(&reasons, "%s, %s: %s\n", cell.Row, column, reason)
				continue
			}
			if row.Check == nil {
				report.Add(cell, NotRun)
				t.Errorf("%s, %s: no check and no reason why the fault does not apply", cell.Row, column)
				continue
			}
			problems := runCell(t, row, column, "").Failures()
			status := Pass
			for _, problem := range problems {
				status = Fail
				t.Errorf("%s, %s: %s", cell.Row, column, problem)
			}
			report.Add(cell, status)
		}
	}
	t.Logf("fault matrix\n%s\nnot applicable:\n%s", report.String(), reasons.String())
}

// Guards against cells that pass whatever the code does: each mutant breaks one mechanism and its cells must turn red.
func TestMutants(t *testing.T) {
	byName := map[string]Row{}
	for _, row := range rows {
		byName[row.Name()] = row
	}
	cells, survived := 0, 0
	for _, mutant := range mutants {
		for _, cell := range mutant.Red {
			row, ok := byName[cell.Row]
			if !ok {
				t.Fatalf("mutant %q names the unknown row %q", mutant.Name, cell.Row)
			}
			cells++
			problems := runCell(t, row, cell.Column, mutant.Name).failures // a fault that never happens is no discovery
			if len(problems) == 0 {
				survived++
				t.Errorf("mutant %q stays green at %s, %s", mutant.Name, cell.Row, cell.Column)
				continue
			}
			t.Logf("mutant %q, %s, %s: red: %s", mutant.Name, cell.Row, cell.Column, problems[0])
		}
	}
	t.Logf("%d mutants, %d cells that must turn red, %d did", len(mutants), cells, cells-survived)
}
