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

	"github.com/cicadawall/cicadawall/internal/storepos"
)

var start = time.Unix(1000, 0)

func newTable() *Table {
	return NewTable(Options{Started: start, Log: slog.New(slog.NewJSONHandler(io.Discard, nil))})
}

// Guards against instances that disagree on an evacuation because its records reached them in another order.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.Custom(func(t *rapid.T) Record {
			era := rapid.Int64Range(1, 2).Draw(t, "era")
			r := Record{Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
				Revision: storepos.At(era, rapid.Int64Range(1, 6).Draw(t, "revision")), Active: rapid.Bool().Draw(t, "active")}
			if !r.Active {
				r.EndedAt = start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "ended")) * time.Second)
			}
			return r
		})
		records := rapid.SliceOfN(record, 1, 12).Draw(t, "records")
		forwards, shuffled := newTable(), newTable()
		forwards.Merge(records, "peer", start)
		for _, r := range rapid.Permutation(records).Draw(t, "order") {
			shuffled.Merge([]Record{r}, "peer", start)
		}
		if diff := cmp.Diff(forwards.Records(), shuffled.Records(), cmp.AllowUnexported(storepos.Position{})); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against an evacuation that a late message of a peer puts in force again after it was taken back, and against one that a complete
// read older than it ends.
func TestCompleteReadDecidesOnOlderEvacuations(t *testing.T) {
	table := newTable()
	table.Merge([]Record{{Zone: "a", Revision: storepos.At(0, 4), Active: true}, {Zone: "b", Revision: storepos.At(0, 9), Active: true}}, "peer", start)
	table.EndMissing(nil, storepos.At(0, 7), start)
	if view := table.View(); view.Evacuated("a") || !view.Evacuated("b") ||
		len(view.EndsAfter(start.Add(-1))) != 1 || len(view.EndsAfter(start)) != 0 {
		t.Errorf("records after a complete read: %+v", table.Records())
	}
	table.Merge([]Record{{Zone: "a", Revision: storepos.At(0, 6), Active: true}, {Zone: "c", Revision: storepos.At(0, 5), Active: true}}, "peer", start)
	if view := table.View(); view.Evacuated("a") || view.Evacuated("c") {
		t.Errorf("an evacuation that had ended is in force again: %+v", table.Records())
	}
	table.Begin("a", storepos.At(0, 8))
	table.End("a", storepos.At(0, 9), start.Add(time.Second))
	table.Begin("a", storepos.At(0, 12))
	if !table.View().Evacuated("a") {
		t.Errorf("the second evacuation is not in force: %+v", table.Records())
	}
}

// Guards against a table that grows with the zones that were ever evacuated, or that forgets one that still is.
func TestRecordsAreBounded(t *testing.T) {
	table := newTable()
	table.Begin("evacuated", storepos.At(0, 1))
	for n := range 3 * MaxRecords {
		table.End(strconv.Itoa(n), storepos.At(0, int64(n+2)), start)
	}
	records := table.Records()
	if len(records) != MaxRecords || records[0].Zone != "evacuated" || !table.View().Evacuated("evacuated") {
		t.Errorf("%d records, the first is %+v", len(records), records[0])
	}
	if slices.ContainsFunc(records, func(r Record) bool { return r.Zone == "0" }) {
		t.Error("the oldest end is kept")
	}
	table.Merge([]Record{{Zone: "", Revision: storepos.At(0, 900), Active: true}, {Zone: "x", Revision: storepos.At(0, -1), Active: true}}, "peer", start)
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

// Guards against an evacuation that ends because the store came back from a copy without its row: it lasts until the store shows that it was taken back,
// or its row was not written again in time.
func TestEvacuationOutlastsOlderCopy(t *testing.T) {
	back := start.Add(time.Minute)
	newEra := func() *Table {
		table := newTable()
		table.EndMissing(nil, storepos.At(1, 90), start)
		table.Begin("a", storepos.At(1, 100))
		table.EndMissing(nil, storepos.At(2, 80), back)
		table.EndUnconfirmed(back.Add(rewriteTime - 1))
		if !table.View().Evacuated("a") {
			t.Errorf("the evacuation ended with the store's return: %+v", table.Records())
		}
		return table
	}
	written := newEra()
	written.Begin("a", storepos.At(2, 85))
	written.EndUnconfirmed(back.Add(rewriteTime))
	if !written.View().Evacuated("a") {
		t.Errorf("the evacuation that was written again ended: %+v", written.Records())
	}
	written.End("a", storepos.At(2, 88), back.Add(time.Second))
	if written.View().Evacuated("a") {
		t.Errorf("the evacuation was taken back under a version lower than its first one, and is in force: %+v", written.Records())
	}
	missing := newEra()
	missing.EndMissing(nil, storepos.At(2, 95), back.Add(time.Second))
	if !missing.View().Evacuated("a") {
		t.Errorf("the evacuation ended with a second complete read: %+v", missing.Records())
	}
	missing.EndUnconfirmed(back.Add(rewriteTime))
	if missing.View().Evacuated("a") {
		t.Errorf("the evacuation lasts although its row was not written again: %+v", missing.Records())
	}
	starting := newTable()
	starting.EndMissing(nil, storepos.At(2, 85), back)
	starting.Merge([]Record{{Zone: "a", Revision: storepos.At(1, 100), Active: true}}, "peer", back.Add(time.Second))
	if !starting.View().Evacuated("a") {
		t.Errorf("an instance that starts after the return does not learn of the evacuation: %+v", starting.Records())
	}
	late := newTable()
	late.EndMissing(nil, storepos.At(2, 85), back)
	late.Merge([]Record{{Zone: "a", Revision: storepos.At(1, 100), Active: true}}, "peer", back.Add(rewriteTime))
	if late.View().Evacuated("a") {
		t.Errorf("an evacuation of an earlier era is in force again after its time: %+v", late.Records())
	}
}

// Guards against a row of the copy that evacuates a zone again which had been opened, and against one that is written again and is taken for it.
func TestEndOutlastsOlderCopy(t *testing.T) {
	for _, test := range []struct {
		row       int64
		evacuated bool
	}{{100, false}, {104, true}} {
		table := newTable()
		table.Begin("a", storepos.At(1, 100))
		table.End("a", storepos.At(1, 110), start)
		for n := range 2 {
			table.Begin("a", storepos.At(2, test.row))
			table.EndMissing([]string{"a"}, storepos.At(2, int64(106+n)), start)
		}
		if table.View().Evacuated("a") != test.evacuated {
			t.Errorf("row %d of the copy at 106: %+v", test.row, table.Records())
		}
	}
}
