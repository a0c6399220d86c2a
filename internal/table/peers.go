package table

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/quorum"
)

// retainedSequences is the number of log rows for which ended registrations are kept, so that the digest of a peer whose
// table is behind can still be decoded. Two rows are written per restart; at 570 restarts a day this is about a day.
const retainedSequences = 1024

// Peer is this instance's knowledge of a registered instance.
type Peer struct {
	quorum.Member
	Registration api.Registration
}

// RegistrationRow is one row of the registration log.
type RegistrationRow struct {
	Sequence     int64
	Registration api.Registration
}

// Peers is the table of registered instances. It follows the registration log, each row of which adds an instance or ends
// a registration, and keeps the latest report of each instance.
type Peers struct {
	mu   *lockorder.RWMutex
	rows map[int64]*Peer
	// order holds the rows in ascending sequence.
	order        []*Peer
	lastSequence int64
	// selfSequence is the sequence of this instance's own registration; registeredAt is a time at which that row was
	// already in the log.
	selfSequence int64
	registeredAt time.Time
	ownRevision  int64
	// reportsRevision is true once the store was read after the registration; revisionAdopted is true while the revision
	// comes from peers only.
	reportsRevision bool
	revisionAdopted bool
	// reportingStopped is set before this instance ends its own registration.
	reportingStopped bool
}

// NewPeers returns an empty table.
func NewPeers() *Peers {
	return &Peers{mu: lockorder.NewRW(lockorder.RankPeers), rows: map[int64]*Peer{}}
}

// Apply applies the log rows that follow the last known one. Rows already known are ignored; at a gap in the sequence, the
// remaining rows are not applied.
func (t *Peers) Apply(rows []RegistrationRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range rows {
		if row.Sequence <= t.lastSequence {
			continue
		}
		if row.Sequence != t.lastSequence+1 {
			return
		}
		t.lastSequence = row.Sequence
		if row.Registration.EndsRegistration {
			t.endLocked(row)
			continue
		}
		t.addLocked(row.Sequence, row.Registration)
	}
	t.updateSelfLocked()
	t.pruneLocked()
}

func (t *Peers) endLocked(row RegistrationRow) {
	if peer, ok := t.rows[row.Registration.EndsSequence]; ok && peer.EndSequence == 0 {
		peer.EndSequence = row.Sequence
	}
}

// addLocked inserts a row at its position in order, which is nearly always the end.
func (t *Peers) addLocked(sequence int64, registration api.Registration) *Peer {
	row := &Peer{Member: quorum.Member{Sequence: sequence}, Registration: registration}
	t.rows[sequence] = row
	index, _ := slices.BinarySearchFunc(t.order, sequence, func(p *Peer, s int64) int { return cmp.Compare(p.Sequence, s) })
	t.order = slices.Insert(t.order, index, row)
	return row
}

func (t *Peers) pruneLocked() {
	t.order = slices.DeleteFunc(t.order, func(peer *Peer) bool {
		expired := peer.EndSequence != 0 && peer.EndSequence < t.lastSequence-retainedSequences
		if expired {
			delete(t.rows, peer.Sequence)
		}
		return expired
	})
}

// AdoptRegistrations merges the registrations of a peer that knows more of the log. The set must start where this table
// ends. The caller must record the revision that the set names before this call, because the set may end registrations.
func (t *Peers) AdoptRegistrations(set api.RegistrationSet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if set.LastSequence <= t.lastSequence {
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
	t.lastSequence = set.LastSequence
	t.updateSelfLocked()
	t.pruneLocked()
}

// RegistrationsSince returns the registrations that were added or ended after the given sequence.
func (t *Peers) RegistrationsSince(after int64) api.RegistrationSet {
	t.mu.RLock()
	defer t.mu.RUnlock()
	set := api.RegistrationSet{LastSequence: t.lastSequence, Instances: []api.RegisteredInstance{}}
	for _, peer := range t.order {
		if peer.Sequence > after || peer.EndSequence > after {
			set.Instances = append(set.Instances, api.RegisteredInstance{
				Sequence: peer.Sequence, LeftSequence: peer.EndSequence, Registration: peer.Registration,
			})
		}
	}
	return set
}

// SetSelf sets the sequence of this instance's own row, which was in the log at the given time. Configuration reads and
// peer reports from before that time do not count: a revision may have been accepted without waiting for this instance.
// This instance reports no revision until a later read.
func (t *Peers) SetSelf(sequence int64, registeredAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.selfSequence, t.registeredAt, t.reportsRevision, t.revisionAdopted = sequence, registeredAt, false, false
	t.updateSelfLocked()
}

// ConfirmOwnRevision records this instance's revision, which a store read that started at the given time found to be the
// newest.
func (t *Peers) ConfirmOwnRevision(revision int64, start time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownRevision = max(t.ownRevision, revision)
	t.reportsRevision = t.reportsRevision || !t.reportingStopped && t.selfSequence != 0 && !start.Before(t.registeredAt)
	t.revisionAdopted = t.revisionAdopted && !t.reportsRevision
	t.updateSelfLocked()
}

// MarkRevisionAdopted records that the revision in force comes from a majority of peers. This instance may serve by their
// reports, but reports no revision itself until it has read the store: a newer revision may have been accepted without
// waiting for this instance.
func (t *Peers) MarkRevisionAdopted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revisionAdopted = !t.reportsRevision
}

// SetOwnRevision records this instance's revision without confirming that it is the newest.
func (t *Peers) SetOwnRevision(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownRevision = max(t.ownRevision, revision)
	t.updateSelfLocked()
}

// StopReporting permanently stops reporting this instance's revision. It is called before the registration is ended: an
// instance that its peers no longer count must support no majority, even before it reads the end of its registration.
func (t *Peers) StopReporting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportingStopped, t.reportsRevision, t.revisionAdopted = true, false, false
	if row, ok := t.rows[t.selfSequence]; ok {
		row.Revision = 0
	}
}

// ReportsOwnRevision reports whether this instance reports its revision to its peers.
func (t *Peers) ReportsOwnRevision() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.reportsRevision
}

func (t *Peers) updateSelfLocked() {
	row, ok := t.rows[t.selfSequence]
	if !ok {
		return
	}
	row.KnownSequence = t.lastSequence
	if t.reportsRevision {
		row.Revision = t.ownRevision
	}
}

// ObserveReport records a peer's report, which was true at heardAt. A peer's revision and known sequence never decrease.
func (t *Peers) ObserveReport(sequence, revision, knownSequence int64, heardAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[sequence]
	if !ok || sequence == t.selfSequence {
		return
	}
	row.Revision = max(row.Revision, revision)
	row.KnownSequence = max(row.KnownSequence, knownSequence)
	if heardAt.After(row.HeardAt) {
		row.HeardAt = heardAt
	}
}

// Self returns this instance's own sequence, and false if it is not registered or its registration was ended.
func (t *Peers) Self() (int64, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, ok := t.rows[t.selfSequence]
	return t.selfSequence, ok && row.EndSequence == 0
}

// LastSequence returns the highest registration sequence known.
func (t *Peers) LastSequence() int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.lastSequence
}

// RegisteredAt returns, in order of sequence, the instances that are registered once the log is applied up to and including
// the given sequence.
func (t *Peers) RegisteredAt(sequence int64) []Peer {
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

// RegisteredInstances returns the registered instances in order of sequence.
func (t *Peers) RegisteredInstances() []Peer { return t.RegisteredAt(t.LastSequence()) }

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

// QuorumView returns the table in the form that the quorum rules need. Peers whose latest report is older than this
// instance's registration count as never heard from.
func (t *Peers) QuorumView() quorum.View {
	t.mu.RLock()
	defer t.mu.RUnlock()
	view := quorum.View{Self: t.selfSequence, LastSequence: t.lastSequence}
	for _, peer := range t.order {
		if peer.EndSequence != 0 {
			continue
		}
		member := peer.Member
		if member.HeardAt.Before(t.registeredAt) {
			member.HeardAt = time.Time{}
		}
		view.Members = append(view.Members, member)
	}
	return view
}

// Eligibility returns the rules by which this instance may serve; bound is the maximum age of a peer report that counts.
func (t *Peers) Eligibility(bound time.Duration) Eligibility {
	return peerEligibility{table: t, freshnessBound: bound}
}

type peerEligibility struct {
	table          *Peers
	freshnessBound time.Duration
}

// AcceptsConfirmation implements Eligibility.
func (s peerEligibility) AcceptsConfirmation(start time.Time) bool {
	s.table.mu.RLock()
	defer s.table.mu.RUnlock()
	row, ok := s.table.rows[s.table.selfSequence]
	return ok && row.EndSequence == 0 && !start.Before(s.table.registeredAt)
}

// MajoritySupports implements Eligibility. An instance that is not registered may serve only by a revision that it adopted
// from a majority of peers, which it does when the store cannot be read.
func (s peerEligibility) MajoritySupports(revision int64, now time.Time) bool {
	s.table.mu.RLock()
	eligible := s.table.reportsRevision || s.table.revisionAdopted
	s.table.mu.RUnlock()
	return eligible && s.table.QuorumView().MajoritySupports(revision, s.freshnessBound, now)
}
