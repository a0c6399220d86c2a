package table

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/quorum"
)

// keptSequences is the number of log rows for which ended registrations are kept, so that the digest of a peer that is
// behind can still be read. Two rows are written per restart; at 570 restarts a day this is about a day.
const keptSequences = 1024

// Peer is a registered instance, as this instance knows it.
type Peer struct {
	quorum.Member
	Registration api.Registration
}

// Registered is one row of the registration log.
type Registered struct {
	Sequence     int64
	Registration api.Registration
}

// Peers is the table of registered instances. It follows the registration log, whose rows add an instance or end the
// registration of one, and keeps the last report of each.
type Peers struct {
	mu   *lockorder.RWMutex
	rows map[int64]*Peer
	// order holds the rows by sequence.
	order []*Peer
	last  int64
	// self is the own sequence, since a time after the insert of the own row.
	self     int64
	since    time.Time
	revision int64
	// reports holds once the store was read after the registration; adopted while the revision comes from peers only.
	reports bool
	adopted bool
	// retired holds from the moment before the own registration is ended.
	retired bool
}

// NewPeers returns an empty table.
func NewPeers() *Peers {
	return &Peers{mu: lockorder.NewRW(lockorder.RankPeers), rows: map[int64]*Peer{}}
}

// Apply adds rows that follow the last known one. Rows already known are ignored; a gap ends the call.
func (t *Peers) Apply(rows []Registered) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range rows {
		if row.Sequence <= t.last {
			continue
		}
		if row.Sequence != t.last+1 {
			return
		}
		t.last = row.Sequence
		if row.Registration.Left {
			t.endLocked(row)
			continue
		}
		t.addLocked(row.Sequence, row.Registration)
	}
	t.ownLocked()
	t.pruneLocked()
}

func (t *Peers) endLocked(row Registered) {
	if peer, ok := t.rows[row.Registration.EndsSequence]; ok && peer.EndSequence == 0 {
		peer.EndSequence = row.Sequence
	}
}

// addLocked adds a row in its place, which nearly always is the end.
func (t *Peers) addLocked(sequence int64, registration api.Registration) *Peer {
	row := &Peer{Member: quorum.Member{Sequence: sequence}, Registration: registration}
	t.rows[sequence] = row
	at, _ := slices.BinarySearchFunc(t.order, sequence, func(p *Peer, s int64) int { return cmp.Compare(p.Sequence, s) })
	t.order = slices.Insert(t.order, at, row)
	return row
}

func (t *Peers) pruneLocked() {
	t.order = slices.DeleteFunc(t.order, func(peer *Peer) bool {
		old := peer.EndSequence != 0 && peer.EndSequence < t.last-keptSequences
		if old {
			delete(t.rows, peer.Sequence)
		}
		return old
	})
}

// Adopt takes the registrations of a peer that knows more of the log. Its set must start where this table ends. The caller
// records the revision that the set names before this call, because the set may contain the ends of registrations.
func (t *Peers) Adopt(set api.RegistrationSet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if set.LastSequence <= t.last {
		return
	}
	for _, entry := range set.Instances {
		row, known := t.rows[entry.Sequence]
		if !known {
			row = t.addLocked(entry.Sequence, entry.Registration)
		}
		if row.EndSequence == 0 {
			row.EndSequence = entry.LeftSequence
		}
	}
	t.last = set.LastSequence
	t.ownLocked()
	t.pruneLocked()
}

// Since returns the registrations that were added or ended after the sequence.
func (t *Peers) Since(after int64) api.RegistrationSet {
	t.mu.RLock()
	defer t.mu.RUnlock()
	set := api.RegistrationSet{LastSequence: t.last, Instances: []api.RegisteredInstance{}}
	for _, peer := range t.order {
		if peer.Sequence > after || peer.EndSequence > after {
			set.Instances = append(set.Instances, api.RegisteredInstance{
				Sequence: peer.Sequence, LeftSequence: peer.EndSequence, Registration: peer.Registration,
			})
		}
	}
	return set
}

// SetSelf names the own row, which was in the log at the given time. Reads of the configuration and reports of peers from
// before that time do not count: a revision might have been accepted by then without regard to this instance. Until a
// later read, this instance reports no revision.
func (t *Peers) SetSelf(sequence int64, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self, t.since, t.reports, t.adopted = sequence, since, false, false
	t.ownLocked()
}

// Report records the own revision, which a store read started at the given time found to be the newest.
func (t *Peers) Report(revision int64, start time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = max(t.revision, revision)
	t.reports = t.reports || !t.retired && t.self != 0 && !start.Before(t.since)
	t.adopted = t.adopted && !t.reports
	t.ownLocked()
}

// Adopted records that the revision in force comes from a majority of peers. This instance may serve by their reports,
// but reports no revision itself until it has read the store: it may have missed an acceptance that did not count on it.
func (t *Peers) Adopted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.adopted = !t.reports
}

// Installed records the own revision without a statement about its age.
func (t *Peers) Installed(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = max(t.revision, revision)
	t.ownLocked()
}

// Retire ends the reports of the own revision for good. It is called before the own registration is ended: an instance that
// others no longer count, and that has not read so, must support no majority.
func (t *Peers) Retire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retired, t.reports, t.adopted = true, false, false
	if row, ok := t.rows[t.self]; ok {
		row.Revision = 0
	}
}

// Reporting reports whether peers are told the own revision.
func (t *Peers) Reporting() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.reports
}

func (t *Peers) ownLocked() {
	row, ok := t.rows[t.self]
	if !ok {
		return
	}
	row.KnownSequence = t.last
	if t.reports {
		row.Revision = t.revision
	}
}

// Observe records a report of a peer that held at the given time. Revision and known sequence never fall.
func (t *Peers) Observe(sequence, revision, known int64, heard time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[sequence]
	if !ok || sequence == t.self {
		return
	}
	row.Revision = max(row.Revision, revision)
	row.KnownSequence = max(row.KnownSequence, known)
	if heard.After(row.HeardAt) {
		row.HeardAt = heard
	}
}

// Self returns the own sequence, and false if this instance is not registered or its registration was ended.
func (t *Peers) Self() (int64, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, ok := t.rows[t.self]
	return t.self, ok && row.EndSequence == 0
}

// Last returns the highest registration sequence known.
func (t *Peers) Last() int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.last
}

// At returns the instances that were registered after the row with the sequence, in order.
func (t *Peers) At(sequence int64) []Peer {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Peer
	for _, peer := range t.order {
		if peer.Sequence <= sequence && (peer.EndSequence == 0 || peer.EndSequence > sequence) {
			out = append(out, *peer)
		}
	}
	return out
}

// Live returns the registered instances in order of sequence.
func (t *Peers) Live() []Peer { return t.At(t.Last()) }

// Count returns the number of registered instances.
func (t *Peers) Count() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	count := 0
	for _, peer := range t.order {
		if peer.EndSequence == 0 {
			count++
		}
	}
	return count
}

// View returns the table as the quorum rules read it. Reports from before the own registration count as not heard.
func (t *Peers) View() quorum.View {
	t.mu.RLock()
	defer t.mu.RUnlock()
	view := quorum.View{Self: t.self, LastSequence: t.last}
	for _, peer := range t.order {
		if peer.EndSequence != 0 {
			continue
		}
		member := peer.Member
		if member.HeardAt.Before(t.since) {
			member.HeardAt = time.Time{}
		}
		view.Members = append(view.Members, member)
	}
	return view
}

// Majority returns the rules by which this instance may serve; the bound is the age up to which a report counts.
func (t *Peers) Majority(bound time.Duration) Standing { return standing{peers: t, bound: bound} }

type standing struct {
	peers *Peers
	bound time.Duration
}

// Confirms implements Standing.
func (s standing) Confirms(start time.Time) bool {
	s.peers.mu.RLock()
	defer s.peers.mu.RUnlock()
	row, ok := s.peers.rows[s.peers.self]
	return ok && row.EndSequence == 0 && !start.Before(s.peers.since)
}

// Supports implements Standing. An instance that is not registered serves only by a revision that it adopted from a
// majority, which it does when the store cannot be read.
func (s standing) Supports(revision int64, now time.Time) bool {
	s.peers.mu.RLock()
	entitled := s.peers.reports || s.peers.adopted
	s.peers.mu.RUnlock()
	return entitled && s.peers.View().MajoritySupports(revision, s.bound, now)
}
