package rowstore

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cicadawall/cicadawall/platform/wire"
)

// Copy is a copy of the rows of a store at one moment.
type Copy struct {
	rows    map[rowID]wire.Row
	version int64
}

// Copy returns a copy of the current rows.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: maps.Clone(s.rows), version: s.version}
}

// Restore lets the store come back from the copy: what was written since is gone, its versions are assigned again, and an era begins. It returns the rows whose
// last change is gone, deleted ones included, in the order in which they were written. The method History still returns all versions of rows. A test
// that lets the store be away before uses SetFault.
func (s *Store) Restore(c Copy) []wire.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lost []wire.Row
	for id, row := range s.rows {
		if row.RowVersion != c.rows[id].RowVersion {
			lost = append(lost, row)
		}
	}
	slices.SortFunc(lost, func(a, b wire.Row) int { return cmp.Compare(a.RowVersion, b.RowVersion) })
	s.rows, s.version = maps.Clone(c.rows), c.version
	s.oldestVersion = min(s.oldestVersion, c.version)
	s.era++
	s.wakeFeedsLocked()
	return lost
}

// CutFeeds closes the connections of the feed calls that wait for changes, as a store does that goes away.
func (s *Store) CutFeeds() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// OmitEra makes the store answer without its era, as stores did before eras were introduced.
func (s *Store) OmitEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.omitEra = true
}
