package matrix

import (
	"fmt"
	"strings"
	"time"
)

// Recoveries is the second table: how requests fare from the start of a fault until they are served within target again.
type Recoveries struct {
	rows []recovered
}

type recovered struct {
	cell Cell
	what Recovery
}

// RecoveryTable returns an empty table.
func RecoveryTable() *Recoveries { return &Recoveries{} }

// Add records a cell.
func (r *Recoveries) Add(cell Cell, what Recovery) { r.rows = append(r.rows, recovered{cell, what}) }

// String prints one line for each cell, as a Markdown table.
func (r *Recoveries) String() string {
	var b strings.Builder
	b.WriteString("| step | fault | recovery after the end of the fault, s | served | refused | unknown | wrong |\n")
	b.WriteString("|---|---|---:|---:|---:|---:|---:|\n")
	for _, row := range r.rows {
		w := row.what
		fmt.Fprintf(&b, "| %s | %s | %.1f | %d | %d | %d | %d |\n",
			row.cell.Row, row.cell.Column, w.After.Round(100*time.Millisecond).Seconds(), w.Served, w.Refused, w.Unknown, w.Wrong)
	}
	return b.String()
}
