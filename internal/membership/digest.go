package membership

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/table"
)

const (
	// ageUnit is the unit of the ages in a digest.
	ageUnit = 100 * time.Millisecond
	// ageUnknown marks an instance whose last report is older than the largest age that a byte can express, 25.4 s, or that
	// never reported.
	ageUnknown = 255
)

// BuildDigest returns the digest of what this instance knows about each registered instance: the age of its last report, the
// revision and the last registration sequence that it reported. The argument confirmedAt is the start time of the last store
// read that confirmed the revision in force; zero if there was none.
func BuildDigest(incarnation string, peers *table.Peers, confirmedAt, now time.Time) api.Digest {
	last := peers.LastSequence()
	self, _ := peers.Self()
	rows := peers.RegisteredAt(last)
	digest := api.Digest{
		Incarnation:        incarnation,
		ConfirmedAgeMillis: -1,
		LastSequence:       last,
		Ages:               make([]byte, 0, len(rows)),
		Exceptions:         []api.RevisionException{},
	}
	if !confirmedAt.IsZero() {
		digest.ConfirmedAgeMillis = now.Sub(confirmedAt).Milliseconds()
	}
	for _, row := range rows {
		if row.Sequence == self {
			digest.Revision = row.Revision
		}
	}
	groups := exceptionGroups{positions: map[report]int{}, bitmapBytes: (len(rows) + 7) / 8}
	for i, row := range rows {
		age := encodeAge(row, self, now)
		digest.Ages = append(digest.Ages, age)
		if age != ageUnknown && (row.Revision != digest.Revision || row.KnownSequence != last) {
			groups.add(i, report{revision: row.Revision, knownSequence: row.KnownSequence})
		}
	}
	if len(rows) > 0 {
		digest.FirstSequence = rows[0].Sequence
	}
	digest.Exceptions = append(digest.Exceptions, groups.exceptions...)
	return digest
}

// report holds the configuration revision in force at an instance and the last registration sequence that it knows, as the
// instance reported them.
type report struct{ revision, knownSequence int64 }

// exceptionGroups groups the instances whose report differs from the sender's by equal reports. While a change spreads there
// are few different reports but many such instances.
type exceptionGroups struct {
	positions   map[report]int
	bitmapBytes int
	exceptions  []api.RevisionException
}

func (g *exceptionGroups) add(i int, r report) {
	position, found := g.positions[r]
	if !found {
		position = len(g.exceptions)
		g.positions[r] = position
		g.exceptions = append(g.exceptions, api.RevisionException{
			Revision: r.revision, LastSequence: r.knownSequence, Members: make([]byte, g.bitmapBytes),
		})
	}
	g.exceptions[position].Members[i/8] |= 1 << (i % 8)
}

// reportOf returns the report of the i-th instance of a digest.
func reportOf(digest api.Digest, i int) report {
	for _, group := range digest.Exceptions {
		if i/8 < len(group.Members) && group.Members[i/8]&(1<<(i%8)) != 0 {
			return report{revision: group.Revision, knownSequence: group.LastSequence}
		}
	}
	return report{revision: digest.Revision, knownSequence: digest.LastSequence}
}

// encodeAge returns the age of the instance's last report in units of ageUnit. It rounds up, so that a report never seems
// more recent than it is.
func encodeAge(row table.Peer, self int64, now time.Time) byte {
	if row.Sequence == self {
		return 0
	}
	if row.HeardAt.IsZero() {
		return ageUnknown
	}
	units := (now.Sub(row.HeardAt) + ageUnit - 1) / ageUnit
	if units >= ageUnknown {
		return ageUnknown
	}
	return byte(max(0, units))
}

// MergeDigest records the reports of a digest in the table of peers. Ages are relative to the start of the pull, which is
// not later than the moment at which the digest was built. If the ages do not match the registrations known here, only the
// sender's own report is recorded. MergeDigest returns the highest revision that the digest names.
func MergeDigest(digest api.Digest, pullStart time.Time, peers *table.Peers) (newest int64) {
	newest = digest.Revision
	for _, row := range peers.RegisteredAt(peers.LastSequence()) {
		if row.Registration.Incarnation == digest.Incarnation {
			peers.ObserveReport(row.Sequence, digest.Revision, digest.LastSequence, pullStart)
		}
	}
	rows := peers.RegisteredAt(digest.LastSequence)
	if digest.LastSequence > peers.LastSequence() || len(rows) != len(digest.Ages) {
		return newest
	}
	if len(rows) == 0 || rows[0].Sequence != digest.FirstSequence {
		return newest
	}
	for i, row := range rows {
		if digest.Ages[i] == ageUnknown {
			continue
		}
		reported := reportOf(digest, i)
		heardAt := pullStart.Add(-time.Duration(digest.Ages[i]) * ageUnit)
		peers.ObserveReport(row.Sequence, reported.revision, reported.knownSequence, heardAt)
		newest = max(newest, reported.revision)
	}
	return newest
}
