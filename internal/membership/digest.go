package membership

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/table"
)

const (
	// ageUnit is the unit of the ages in a digest.
	ageUnit = 100 * time.Millisecond
	// ageNever is the age of an instance that was not heard from within the largest age, 25.4 s.
	ageNever = 255
)

// Build returns the digest of what this instance knows of each registered instance. The confirmation is the start time of
// the last store read that confirmed the revision; zero if there was none.
func Build(incarnation string, peers *table.Peers, confirmed, now time.Time) api.Digest {
	last := peers.Last()
	self, _ := peers.Self()
	rows := peers.At(last)
	digest := api.Digest{
		Incarnation:        incarnation,
		ConfirmedAgeMillis: -1,
		LastSequence:       last,
		Ages:               make([]byte, 0, len(rows)),
		Exceptions:         []api.RevisionException{},
	}
	if !confirmed.IsZero() {
		digest.ConfirmedAgeMillis = now.Sub(confirmed).Milliseconds()
	}
	for _, row := range rows {
		if row.Sequence == self {
			digest.Revision = row.Revision
		}
	}
	for i, row := range rows {
		if i == 0 {
			digest.FirstSequence = row.Sequence
		}
		age := encodeAge(row, self, now)
		digest.Ages = append(digest.Ages, age)
		if age != ageNever && (row.Revision != digest.Revision || row.Known != last) {
			digest.Exceptions = append(digest.Exceptions, api.RevisionException{
				Sequence: row.Sequence, Revision: row.Revision, LastSequence: row.Known,
			})
		}
	}
	return digest
}

// encodeAge rounds up, so that a report never seems more recent than it is.
func encodeAge(row table.Peer, self int64, now time.Time) byte {
	if row.Sequence == self {
		return 0
	}
	if row.Heard.IsZero() {
		return ageNever
	}
	units := (now.Sub(row.Heard) + ageUnit - 1) / ageUnit
	if units >= ageNever {
		return ageNever
	}
	return byte(max(0, units))
}

// Merge takes the reports of a digest into the table. The ages count from the start of the pull. A digest whose ages do not
// fit the registrations known here only counts for its sender. Merge returns the highest revision that the digest names.
func Merge(digest api.Digest, start time.Time, peers *table.Peers) (newest int64) {
	newest = digest.Revision
	for _, row := range peers.At(peers.Last()) {
		if row.Registration.Incarnation == digest.Incarnation {
			peers.Observe(row.Sequence, digest.Revision, digest.LastSequence, start)
		}
	}
	rows := peers.At(digest.LastSequence)
	if digest.LastSequence > peers.Last() || len(rows) != len(digest.Ages) {
		return newest
	}
	if len(rows) == 0 || rows[0].Sequence != digest.FirstSequence {
		return newest
	}
	exceptions := map[int64]api.RevisionException{}
	for _, exception := range digest.Exceptions {
		exceptions[exception.Sequence] = exception
	}
	for i, row := range rows {
		if digest.Ages[i] == ageNever {
			continue
		}
		report := api.RevisionException{Revision: digest.Revision, LastSequence: digest.LastSequence}
		if exception, ok := exceptions[row.Sequence]; ok {
			report = exception
		}
		heard := start.Add(-time.Duration(digest.Ages[i]) * ageUnit)
		peers.Observe(row.Sequence, report.Revision, report.LastSequence, heard)
		newest = max(newest, report.Revision)
	}
	return newest
}
