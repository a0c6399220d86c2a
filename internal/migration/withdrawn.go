package migration

import (
	"maps"
	"slices"

	"github.com/cicadawall/cicadawall/internal/storepos"
)

// VersionRecord is the last known event of a software version: the order of it, its completion or its rollback. Revisions are positions of the
// store, so of two records of a version the one with the later revision is the later event.
type VersionRecord struct {
	Version  string
	Revision storepos.Position
	// Withdrawn is set if the event is a rollback. The version must not serve any requests until it is ordered again.
	Withdrawn bool
}

// supersedes reports whether the record replaces another one of the same version. A rollback that is not yet recorded has the revision of
// its order and replaces it. Of two records of one event, the one from the earlier era shows that a row of a later era comes from the copy.
func (v VersionRecord) supersedes(other VersionRecord, history *storepos.History) bool {
	if !history.Same(v.Revision, other.Revision) {
		return history.Later(v.Revision, other.Revision)
	}
	if v.Withdrawn != other.Withdrawn {
		return v.Withdrawn
	}
	return v.Revision.Era() < other.Revision.Era()
}

// versionRecords holds the last record of each version of a service. Adding records in any order gives the same result.
type versionRecords map[string]VersionRecord

func (r versionRecords) add(record VersionRecord, history *storepos.History) {
	if known, ok := r[record.Version]; !ok || record.supersedes(known, history) {
		r[record.Version] = record
	}
}

// withdrawn returns the withdrawn versions in alphabetical order.
func (r versionRecords) withdrawn() []string {
	var versions []string
	for _, record := range r {
		if record.Withdrawn {
			versions = append(versions, record.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// all returns the records in the order of their versions.
func (r versionRecords) all() []VersionRecord {
	records := make([]VersionRecord, 0, len(r))
	for _, version := range slices.Sorted(maps.Keys(r)) {
		records = append(records, r[version])
	}
	return records
}

// AddVersionRecord adds an event of a version of a service that another instance recorded.
func (t *Table) AddVersionRecord(service string, record VersionRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.migration(service).versions.add(record, t.history)
}
