package matrix

import (
	"fmt"
	"strings"
	"time"
)

// RecoveryReport is the recovery table: for each cell, the time until requests are served within target again, and the results
// of the requests since the start of the fault.
type RecoveryReport struct {
	rows []recoveryRow
}

type recoveryRow struct {
	cell     Cell
	recovery Recovery
}

// NewRecoveryReport returns an empty recovery table.
func NewRecoveryReport() *RecoveryReport { return &RecoveryReport{} }

// Add appends the recovery of a cell.
func (r *RecoveryReport) Add(cell Cell, recovery Recovery) {
	r.rows = append(r.rows, recoveryRow{cell, recovery})
}

// String prints one line for each cell, as a Markdown table.
func (r *RecoveryReport) String() string {
	var b strings.Builder
	b.WriteString("| step | fault | recovery after the end of the fault, s | served | refused | unknown | wrong |\n")
	b.WriteString("|---|---|---:|---:|---:|---:|---:|\n")
	for _, row := range r.rows {
		values := row.recovery
		fmt.Fprintf(&b, "| %s | %s | %.1f | %d | %d | %d | %d |\n",
			row.cell.Row, row.cell.Column, values.Duration.Round(100*time.Millisecond).Seconds(), values.Served, values.Refused, values.Unknown, values.Wrong)
	}
	return b.String()
}
