package evacuation

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/storepos"
)

// EndsUnknownTime is how long a new process that no peer has told of earlier evacuations must expect that one has ended just before. By
// then the rows of the zone's servers say that they are cold: they are written every 1.2 s, and arrive within half a second.
const EndsUnknownTime = 1700 * time.Millisecond

// rewriteTime is how long an evacuation of an earlier era of the store lasts although its row is missing. The operator writes the row again, or
// deletes it, after the store's return; only if both happened before the first read must the time pass.
const rewriteTime = 30 * time.Second

// Options of a Table. All fields are required.
type Options struct {
	// Started is when the process started.
	Started time.Time
	Log     *slog.Logger
}

// Table holds the last known change of the evacuation of each availability zone. It is safe for concurrent use.
type Table struct {
	Options

	mu      *lockorder.RWMutex
	records map[string]Record
	view    *View
	// readThrough is the position of the newest complete read of the operator's rows, and eraReadAt is when the first one of its era was made.
	readThrough storepos.Position
	eraReadAt   time.Time
	// rows holds the position of the last row that evacuated each zone.
	rows map[string]storepos.Position
	// known is set once this instance has read all evacuations, and endsKnown once it also knows those that ended before its start.
	known, endsKnown bool
	// recorded holds the zones of which the store records that they were evacuated.
	recorded map[string]bool
}

// NewTable returns a table without records.
func NewTable(options Options) *Table {
	return &Table{Options: options, mu: lockorder.NewRW(lockorder.RankEvacuations), records: map[string]Record{}, recorded: map[string]bool{},
		rows: map[string]storepos.Position{}}
}

// Begin records that the store holds the evacuation of the zone in a row at the revision. If the evacuation had ended in an earlier era, and the row has
// the version that it had then, the row comes from the copy with which the era began, and the evacuation has still ended.
func (t *Table) Begin(zone string, revision storepos.Position) {
	t.mu.Lock()
	row := t.rows[zone]
	copied := t.records[zone].ended() && !row.SameEra(revision) && row.Version() == revision.Version()
	if !copied {
		t.rows[zone] = revision
	}
	t.mu.Unlock()
	if copied {
		return
	}
	t.mergeAll([]Record{{Zone: zone, Revision: revision, Active: true}}, "store")
}

// End records that the store deleted the evacuation of the zone at the revision.
func (t *Table) End(zone string, revision storepos.Position, now time.Time) {
	t.mergeAll([]Record{{Zone: zone, Revision: revision, EndedAt: now}}, "store")
}

// EndMissing records a complete read of the operator's rows: the evacuations of all other zones had ended at its revision. Those of earlier eras
// last until EndUnconfirmed, because the store may have lost their rows.
func (t *Table) EndMissing(present []string, revision storepos.Position, now time.Time) {
	t.mu.Lock()
	t.known = true
	if t.eraReadAt.IsZero() {
		t.eraReadAt = now
	} else if !t.readThrough.SameEra(revision) {
		t.readThrough, t.eraReadAt = revision, now
		// The store may have lost what this instance or another one had recorded.
		clear(t.recorded)
	}
	t.readThrough = storepos.Later(t.readThrough, revision)
	var missing []Record
	for zone, record := range t.records {
		if record.Active && !slices.Contains(present, zone) && !t.mayBeRewritten(record, now) {
			missing = append(missing, Record{Zone: zone, Revision: revision, EndedAt: now})
		}
	}
	t.mu.Unlock()
	t.mergeAll(missing, "store")
}

// EndUnconfirmed ends the evacuations of earlier eras whose rows were not written again in time.
func (t *Table) EndUnconfirmed(now time.Time) {
	t.mu.Lock()
	var ended []Record
	for zone, record := range t.records {
		if record.Active && t.ofEarlierEra(record) && !t.mayBeRewritten(record, now) {
			ended = append(ended, Record{Zone: zone, Revision: t.readThrough, EndedAt: now})
		}
	}
	t.mu.Unlock()
	t.mergeAll(ended, "store")
}

// ofEarlierEra reports whether the record is of an earlier era than the last complete read. The caller holds the lock.
func (t *Table) ofEarlierEra(record Record) bool {
	return record.Revision.Precedes(t.readThrough) && !record.Revision.SameEra(t.readThrough)
}

// mayBeRewritten reports whether the row of an evacuation may be missing only because the store lost it. The caller holds the lock.
func (t *Table) mayBeRewritten(record Record, now time.Time) bool {
	return t.ofEarlierEra(record) && now.Before(t.eraReadAt.Add(rewriteTime))
}

// Merge adds the records that a peer reported. An evacuation is ignored if its revision is not newer than that of a complete read, which
// showed whether it was in force: the peer may not have learnt of its end. One of an earlier era may have been missing there because the store lost it.
func (t *Table) Merge(records []Record, source string, now time.Time) {
	t.mu.RLock()
	usable := make([]Record, 0, len(records))
	for _, record := range records[:min(len(records), MaxRecords)] {
		if record.valid() && (!record.Active || record.Revision.After(t.readThrough) || t.mayBeRewritten(record, now)) {
			usable = append(usable, record)
		}
	}
	t.mu.RUnlock()
	t.mergeAll(usable, source)
}

// MarkKnown records that a peer that knows all evacuations has told them; with endsKnown, it also knows those that ended recently.
func (t *Table) MarkKnown(endsKnown bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = true
	t.endsKnown = t.endsKnown || endsKnown
}

// MarkEndsKnown records that no evacuation can have ended shortly before the start of this process.
func (t *Table) MarkEndsKnown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endsKnown = true
}

// MarkRecorded records that the store says that the zone was evacuated once.
func (t *Table) MarkRecorded(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recorded[zone] = true
}

// Unrecorded returns the evacuated zones of which this is not known.
func (t *Table) Unrecorded() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var zones []string
	for zone, record := range t.records {
		if record.Active && !t.recorded[zone] {
			zones = append(zones, zone)
		}
	}
	return zones
}

// Known reports whether this instance knows all evacuations.
func (t *Table) Known() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.known
}

// EndsKnownFrom returns the time from which this instance knows of each evacuation that has ended so recently that servers may be cold
// without saying so; zero if it already knows.
func (t *Table) EndsKnownFrom(now time.Time) time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	from := t.Started.Add(EndsUnknownTime)
	if t.endsKnown || !now.Before(from) {
		return time.Time{}
	}
	return from
}

// View returns the current records; nil if there are none.
func (t *Table) View() *View {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.view
}

// Count returns the number of evacuated zones.
func (t *Table) Count() int {
	count := 0
	for _, record := range t.Records() {
		if record.Active {
			count++
		}
	}
	return count
}

// Records returns at most MaxRecords records for peers: those of evacuated zones first, and then the newest ones.
func (t *Table) Records() []Record {
	t.mu.RLock()
	records := slices.Collect(maps.Values(t.records))
	t.mu.RUnlock()
	slices.SortFunc(records, func(a, b Record) int {
		if a.Active != b.Active {
			if a.Active {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Revision.Era(), a.Revision.Era()), cmp.Compare(b.Revision.Version(), a.Revision.Version()),
			cmp.Compare(a.Zone, b.Zone))
	})
	return records[:min(len(records), MaxRecords)]
}

// mergeAll puts the records in force that replace what is known, and logs the evacuations that begin or end.
func (t *Table) mergeAll(records []Record, source string) {
	if len(records) == 0 {
		return
	}
	var changes []Record
	changed := false
	t.mu.Lock()
	for _, record := range records {
		previous, recorded := t.records[record.Zone]
		if recorded && !record.supersedes(previous) {
			continue
		}
		t.records[record.Zone] = record
		changed = true
		if record.Active != previous.Active {
			changes = append(changes, record)
		}
	}
	if changed {
		t.forgetOldEnds()
		t.view = newView(t.records)
	}
	t.mu.Unlock()
	for _, change := range changes {
		if change.Active {
			t.Log.Warn("availability zone evacuated", "zone", change.Zone, "revision", change.Revision, "source", source)
		} else {
			t.Log.Info("evacuation of availability zone ended", "zone", change.Zone, "revision", change.Revision, "source", source)
		}
	}
}

// forgetOldEnds removes the oldest ends if there are more than can be exchanged. The caller holds the lock.
func (t *Table) forgetOldEnds() {
	for len(t.records) > MaxRecords {
		oldest, found := Record{}, false
		for _, record := range t.records {
			if !record.Active && (!found || oldest.Revision.After(record.Revision)) {
				oldest, found = record, true
			}
		}
		if !found {
			return
		}
		delete(t.records, oldest.Zone)
		delete(t.rows, oldest.Zone)
	}
}
