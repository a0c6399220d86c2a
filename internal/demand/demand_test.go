package demand

import (
	"math"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
)

var small = declaration.VersionID{Model: "small", Version: "v1"}

// Guards against a report that counts requests instead of their mean over time, counts an interval twice or omits requests
// that continue from the previous interval.
func TestReportIsTimeWeightedMean(t *testing.T) {
	start := time.Unix(100, 0)
	table := NewTable(start)
	table.Begin(small, start.Add(5*time.Second))
	table.Begin(small, start.Add(5*time.Second))
	table.End(small, start.Add(10*time.Second))
	for i, want := range []float64{1, 1} {
		report := table.Report(start.Add(time.Duration(i+1) * 10 * time.Second))
		if len(report) != 1 || math.Abs(report[0].Concurrent-want) > 1e-9 {
			t.Fatalf("report %d: %+v, want %v", i, report, want)
		}
	}
	table.End(small, start.Add(20*time.Second))
	if report := table.Report(start.Add(30 * time.Second)); len(report) != 0 {
		t.Errorf("report without requests: %+v", report)
	}
}

// Guards against a total that counts an instance twice or includes an instance that no longer reports.
func TestTotalCountsLatestReports(t *testing.T) {
	start := time.Unix(100, 0)
	table := NewTable(start)
	report := func(incarnation string, concurrent float64, at time.Time) {
		table.HandleReport(api.DemandReport{Incarnation: incarnation,
			Versions: []api.VersionDemand{{Model: "small", Version: "v1", Concurrent: concurrent}}}, at)
	}
	report("a", 3, start)
	report("a", 4, start)
	report("b", 2, start.Add(10*time.Second))
	if total := table.Total(2, start.Add(15*time.Second)); len(total) != 1 || total[0].ConcurrentRequests != 6 {
		t.Errorf("total %+v, want 6", total)
	}
	if total := table.Total(2, start.Add(16*time.Second)); len(total) != 1 || total[0].ConcurrentRequests != 2 {
		t.Errorf("total %+v, want 2 after the report of a expired", total)
	}
}
