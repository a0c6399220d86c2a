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
	if !confirmed.IsZero() {
		digest.ConfirmedAgeMillis = now.Sub(confirmed).Milliseconds()
	}
	for _, row := range rows {
		if row.Sequence == self {
			digest.Revision = row.Revision
		}
	}
	groups := grouping{index: map[report]int{}, size: (len(rows) + 7) / 8}
	for i, row := range rows {
		age := encodeAge(row, self, now)
		digest.Ages = append(digest.Ages, age)
		if age != ageNever && (row.Revision != digest.Revision || row.Known != last) {
			groups.add(i, report{revision: row.Revision, known: row.Known})
		}
	}
	if len(rows) > 0 {
		digest.FirstSequence = rows[0].Sequence
	}
	digest.Exceptions = append(digest.Exceptions, groups.exceptions...)
	return digest
}

// report is what an instance said of itself.
type report struct{ revision, known int64 }

// grouping collects the instances with the same report. While a change spreads there are few different reports but many
// instances that differ from the sender.
type grouping struct {
	index      map[report]int
	size       int
	exceptions []api.RevisionException
}

func (g *grouping) add(i int, r report) {
	at, known := g.index[r]
	if !known {
		at = len(g.exceptions)
		g.index[r] = at
		g.exceptions = append(g.exceptions, api.RevisionException{
			Revision: r.revision, LastSequence: r.known, Members: make([]byte, g.size),
		})
	}
	g.exceptions[at].Members[i/8] |= 1 << (i % 8)
}

// reportOf returns the report of the i-th instance of a digest.
func reportOf(digest api.Digest, i int) report {
	for _, group := range digest.Exceptions {
		if i/8 < len(group.Members) && group.Members[i/8]&(1<<(i%8)) != 0 {
			return report{revision: group.Revision, known: group.LastSequence}
		}
	}
	return report{revision: digest.Revision, known: digest.LastSequence}
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
	for _, row := range peers.RegisteredAt(peers.LastSequence()) {
		if row.Registration.Incarnation == digest.Incarnation {
			peers.ObserveReport(row.Sequence, digest.Revision, digest.LastSequence, start)
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
		if digest.Ages[i] == ageNever {
			continue
		}
		said := reportOf(digest, i)
		heard := start.Add(-time.Duration(digest.Ages[i]) * ageUnit)
		peers.ObserveReport(row.Sequence, said.revision, said.known, heard)
		newest = max(newest, said.revision)
	}
	return newest
}
