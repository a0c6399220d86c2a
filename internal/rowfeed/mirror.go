package rowfeed

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/storepos"
)

// maxDeletedRows bounds the deleted rows that a mirror remembers. A reader that lags further behind reads the table in full.
const maxDeletedRows = 2048

// Mirror is a copy of one table as a follower has read it, from which the instance serves peers. It is safe for concurrent use.
type Mirror struct {
	mu *lockorder.Mutex
	// rows holds the rows of the table by key, and the deleted ones.
	rows     map[string]Row
	deleted  int
	position storepos.Position
	// completeSince is the position since which the mirror knows all deletions.
	completeSince storepos.Position
	clock         time.Duration
	clockAt       time.Time
	reconnectedAt time.Time
	// changed is closed and replaced when rows change.
	changed chan struct{}
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{mu: lockorder.New(lockorder.RankLeases), rows: map[string]Row{}, changed: make(chan struct{})}
}

// apply adds the rows of a page. A complete page holds the whole table; only such a page may begin an era.
func (m *Mirror) apply(page Page, complete bool, reconnectedAt, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if complete {
		m.rows, m.deleted = map[string]Row{}, 0
		m.completeSince = page.Position
		if !page.Position.SameEra(m.position) {
			m.position = page.Position
		}
	}
	for _, row := range page.Rows {
		m.put(row)
	}
	if m.deleted > maxDeletedRows {
		m.forgetDeleted()
	}
	m.position = storepos.Later(m.position, page.Position)
	m.clock, m.clockAt, m.reconnectedAt = page.Clock, now, reconnectedAt
	if complete || len(page.Rows) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

func (m *Mirror) put(row Row) {
	if previous, ok := m.rows[row.Key]; ok && previous.Deleted {
		m.deleted--
	}
	if row.Deleted {
		m.deleted++
	}
	m.rows[row.Key] = row
}

// forgetDeleted removes the deleted rows. Readers that have not seen them read the table in full.
func (m *Mirror) forgetDeleted() {
	for key, row := range m.rows {
		if row.Deleted {
			m.completeSince = storepos.Later(m.completeSince, row.Position)
			delete(m.rows, key)
		}
	}
	m.deleted = 0
}

// All returns the whole table. It returns ErrRelayUnavailable if the table has not been read yet.
func (m *Mirror) All(now time.Time) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.position.IsZero() {
		return Page{}, ErrRelayUnavailable
	}
	page := m.emptyPage(now)
	for _, row := range m.rows {
		if !row.Deleted {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

// Changes returns the rows that changed after the position, in the order of their versions, and waits up to wait for the first one.
// It returns ErrHistoryDropped if the mirror no longer knows all of them, or if the position is of another era than the mirror, also when the
// era changes during the wait.
func (m *Mirror) Changes(ctx context.Context, after storepos.Position, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := m.changesAfter(after, time.Now())
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

// changesAfter returns the rows that changed after the position, and the channel that is closed at the next change.
func (m *Mirror) changesAfter(after storepos.Position, now time.Time) (Page, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !after.SameEra(m.position) || after.Precedes(m.completeSince) {
		return Page{}, nil, ErrHistoryDropped
	}
	page := m.emptyPage(now)
	for _, row := range m.rows {
		if after.Precedes(row.Position) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b Row) int { return cmp.Compare(a.Position.Version(), b.Position.Version()) })
	return page, m.changed, nil
}

// emptyPage returns a page without rows at the mirror's position.
func (m *Mirror) emptyPage(now time.Time) Page {
	return Page{Position: m.position, Clock: m.clock + now.Sub(m.clockAt), ReconnectedAt: m.reconnectedAt}
}
