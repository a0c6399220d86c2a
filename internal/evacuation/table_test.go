package evacuation

import (
	"io"
	"log/slog"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func newTable() *Table {
	return NewTable(Options{Started: start, Log: slog.New(slog.NewJSONHandler(io.Discard, nil))})
}

// Guards against instances that disagree on an evacuation because its records reached them in another order.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.Custom(func(t *rapid.T) Record {
			r := Record{Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Revision: rapid.Int64Range(1, 6).Draw(t, "revision"),
				Active: rapid.Bool().Draw(t, "active")}
			if !r.Active {
				r.EndedAt = start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "ended")) * time.Second)
			}
			return r
		})
		records := rapid.SliceOfN(record, 1, 12).Draw(t, "records")
		forwards, shuffled := newTable(), newTable()
		forwards.Merge(records, "peer")
		for _, r := range rapid.Permutation(records).Draw(t, "order") {
			shuffled.Merge([]Record{r}, "peer")
		}
		if diff := cmp.Diff(forwards.Records(), shuffled.Records()); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against an evacuation that a late message of a peer puts in force again after it was taken back, and against one that a complete
// read older than it ends.
func TestCompleteReadDecidesOnOlderEvacuations(t *testing.T) {
	table := newTable()
	table.Merge([]Record{{Zone: "a", Revision: 4, Active: true}, {Zone: "b", Revision: 9, Active: true}}, "peer")
	table.EndMissing(nil, 7, start)
	if view := table.View(); view.Evacuated("a") || !view.Evacuated("b") ||
		len(view.EndsAfter(start.Add(-1))) != 1 || len(view.EndsAfter(start)) != 0 {
		t.Errorf("records after a complete read: %+v", table.Records())
	}
	table.Merge([]Record{{Zone: "a", Revision: 6, Active: true}, {Zone: "c", Revision: 5, Active: true}}, "peer")
	if view := table.View(); view.Evacuated("a") || view.Evacuated("c") {
		t.Errorf("an evacuation that had ended is in force again: %+v", table.Records())
	}
	table.Begin("a", 8)
	table.End("a", 8+1, start.Add(time.Second))
	table.Begin("a", 12)
	if !table.View().Evacuated("a") {
		t.Errorf("the second evacuation is not in force: %+v", table.Records())
	}
}

// Guards against a table that grows with the zones that were ever evacuated, or that forgets one that still is.
func TestRecordsAreBounded(t *testing.T) {
	table := newTable()
	table.Begin("evacuated", 1)
	for n := range 3 * MaxRecords {
		table.End(strconv.Itoa(n), int64(n+2), start)
	}
	records := table.Records()
	if len(records) != MaxRecords || records[0].Zone != "evacuated" || !table.View().Evacuated("evacuated") {
		t.Errorf("%d records, the first is %+v", len(records), records[0])
	}
	if slices.ContainsFunc(records, func(r Record) bool { return r.Zone == "0" }) {
		t.Error("the oldest end is kept")
	}
	table.Merge([]Record{{Zone: "", Revision: 900, Active: true}, {Zone: "x", Revision: -1, Active: true}}, "peer")
	if table.Count() != 1 {
		t.Error("an invalid record is in force")
	}
}

// Guards against a new process that takes servers for warm whose zone was evacuated until just before it started.
func TestEndsAreUnknownAfterStart(t *testing.T) {
	table := newTable()
	if from := table.EndsKnownFrom(start.Add(time.Second)); !from.Equal(start.Add(EndsUnknownTime)) {
		t.Errorf("ends are known from %s", from)
	}
	if !table.EndsKnownFrom(start.Add(EndsUnknownTime)).IsZero() {
		t.Error("ends are unknown although the rows of the servers are up to date")
	}
	table.MarkKnown(false)
	if table.EndsKnownFrom(start).IsZero() || !table.Known() {
		t.Error("a peer that has just started itself tells the ends")
	}
	table.MarkKnown(true)
	if !table.EndsKnownFrom(start).IsZero() {
		t.Error("the ends are unknown after a peer has told them")
	}
}
