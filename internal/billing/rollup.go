package billing

import (
	"context"
	"encoding/json"
	"sort"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// Statement is the result of a roll-up.
type Statement struct {
	// Bills holds one bill for each identity, ordered by identity.
	Bills []api.Bill
	// Duplicates is the number of bills dropped because another bill with the same identity was kept.
	Duplicates int
}

// Cost returns the total cost of the organisation's bills, in the unit of the declared prices.
func (s Statement) Cost(organisation string) float64 {
	total := 0.0
	for _, bill := range s.Bills {
		if bill.Organisation != organisation {
			continue
		}
		for _, line := range bill.Lines {
			total += line.Cost
		}
	}
	return total
}

// Rollup keeps one bill for each identity: the first one in the row with the smallest key. The result depends only on the
// set of rows, not on their order.
func Rollup(rows []api.Row) (Statement, error) {
	sortedRows := append([]api.Row(nil), rows...)
	sort.Slice(sortedRows, func(i, j int) bool { return sortedRows[i].Key < sortedRows[j].Key })
	var statement Statement
	seen := map[string]bool{}
	for _, row := range sortedRows {
		var batch api.BillBatch
		if err := json.Unmarshal(row.Value, &batch); err != nil {
			return Statement{}, errors.Wrapf(err, "decode bill row %q", row.Key)
		}
		for _, bill := range batch.Bills {
			if seen[bill.Id] {
				statement.Duplicates++
				continue
			}
			seen[bill.Id] = true
			statement.Bills = append(statement.Bills, bill)
		}
	}
	sort.Slice(statement.Bills, func(i, j int) bool { return statement.Bills[i].Id < statement.Bills[j].Id })
	return statement, nil
}

// rangePageRows is the maximum number of rows that one range read returns.
const rangePageRows = 500

// ReadRows reads all bill rows from the table service.
func ReadRows(ctx context.Context, table platform.Table) ([]api.Row, error) {
	var rows []api.Row
	after := ""
	for {
		page, err := table.Range(ctx, KeyPrefix, after, rangePageRows)
		if err != nil {
			return nil, errors.Wrap(err, "read bill rows")
		}
		rows = append(rows, page...)
		if len(page) < rangePageRows {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}
