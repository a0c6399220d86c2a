package benchpolicy

import (
	"encoding/csv"
	stderrors "errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/pkg/errors"
)

// recordedRun is the result of one day on the users' bench, which runs outside this repository. creditFraction (column worth)
// is a fraction of the credit, and servedFraction (column served) a fraction of the requests.
type recordedRun struct {
	policy, site                   string
	creditFraction, servedFraction float64
}

// recordedColumns is the number of CSV columns: policy, site, day, seed, worth and served.
const recordedColumns = 6

// RecordedRuns prints a table of recorded runs and plots the mean worth of each policy on each site. The CSV file has a header
// and the columns policy, site, day, seed, worth and served.
func RecordedRuns(out io.Writer, path, plots string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "read recorded runs")
	}
	runs, err := readRecorded(file)
	if err := stderrors.Join(err, file.Close()); err != nil {
		return errors.Wrapf(err, "parse recorded runs in %s", path)
	}
	fmt.Fprintln(out, "\n| site | policy | runs | worth | served |\n|---|---|---:|---:|---:|")
	for _, site := range distinct(runs, func(r recordedRun) string { return r.site }) {
		names := distinct(runs, func(r recordedRun) string { return r.policy })
		values := make([]float64, 0, len(names))
		for _, policy := range names {
			count, worth, served := 0, 0.0, 0.0
			for _, r := range runs {
				if r.site == site && r.policy == policy {
					count++
					worth += r.creditFraction
					served += r.servedFraction
				}
			}
			worth /= float64(max(1, count))
			values = append(values, worth)
			fmt.Fprintf(out, "| %s | %s | %d | %.3f | %.3f |\n", site, policy, count, worth, served/float64(max(1, count)))
		}
		title := site + ": mean worth of the days"
		if err := saveBarChart(filepath.Join(plots, "worth-"+fileName(site)+".svg"), title, "share of the credit", names, values); err != nil {
			return err
		}
	}
	return nil
}

func readRecorded(in io.Reader) ([]recordedRun, error) {
	reader := csv.NewReader(in)
	reader.FieldsPerRecord = recordedColumns
	lines, err := reader.ReadAll()
	if err != nil {
		return nil, err
	}
	if len(lines) < 2 {
		return nil, errors.New("file contains no runs")
	}
	runs := make([]recordedRun, 0, len(lines)-1)
	for n, line := range lines[1:] {
		worth, worthErr := strconv.ParseFloat(line[4], 64)
		served, servedErr := strconv.ParseFloat(line[5], 64)
		if err := stderrors.Join(worthErr, servedErr); err != nil {
			return nil, errors.Wrapf(err, "parse run %d", n+1)
		}
		runs = append(runs, recordedRun{policy: line[0], site: line[1], creditFraction: worth, servedFraction: served})
	}
	return runs, nil
}

// distinct returns the distinct values of a column in the order of their first appearance.
func distinct(runs []recordedRun, column func(recordedRun) string) []string {
	var values []string
	for _, r := range runs {
		if value := column(r); !slices.Contains(values, value) {
			values = append(values, value)
		}
	}
	return values
}
