package quorum_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/membership"
	"github.com/cicadawall/cicadawall/internal/quorum"
	"github.com/cicadawall/cicadawall/internal/table"
)

const freshnessBound = 6 * time.Second

// node is one instance of the simulation. It uses the real tables and digests; the store, the network and the clock are
// simulated.
type node struct {
	name           string
	peers          *table.Peers
	config         *table.Config
	alive          bool
	diedAt         time.Time
	storeReachable bool
	partition      int
	// leaving is set at the deregistration. The instance then accepts no requests, but reads the log and answers peers.
	leaving bool
}

type pendingChange struct {
	committer  *node
	logRead    bool
	acceptance quorum.Acceptance
}

type simulation struct {
	t                *rapid.T
	now              time.Time
	log              []table.RegistrationRow
	revision         int64
	nodes            []*node
	pending          *pendingChange
	acceptedRevision int64
	// startInterval, leaveInterval, moveInterval and commitInterval are the average numbers of rounds between two such events.
	startInterval, leaveInterval, moveInterval, commitInterval int
}

func (w *simulation) pickNode(label string) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, label)]
}

func (w *simulation) start() {
	if len(w.nodes) >= 12 {
		return
	}
	n := &node{name: fmt.Sprint(len(w.nodes)), peers: table.NewPeers(), alive: true, storeReachable: true}
	n.config = table.NewConfig(freshnessBound, n.peers.Eligibility(freshnessBound))
	w.nodes = append(w.nodes, n)
	if len(w.nodes) <= 4 {
		w.register(n)
		return
	}
	n.partition = rapid.IntRange(0, 1).Draw(w.t, "side of peers")
	n.storeReachable = rapid.Bool().Draw(w.t, "starts with store")
}

func (w *simulation) register(n *node) {
	if _, registered := n.peers.Self(); registered || n.leaving || !w.readLog(n) {
		return
	}
	row := table.RegistrationRow{Sequence: int64(len(w.log) + 1), Registration: api.Registration{Incarnation: n.name, Name: n.name}}
	w.log = append(w.log, row)
	n.peers.SetSelf(row.Sequence, w.now)
	w.readLog(n)
	if len(w.nodes) > 4 && w.chance(2, "loses store after registration") {
		n.storeReachable = false
	}
	if len(w.nodes) <= 4 {
		w.readConfig(n)
	}
}

func (w *simulation) readLog(n *node) bool {
	if !n.alive || !n.storeReachable {
		return false
	}
	rows := w.log[n.peers.LastSequence():]
	for _, row := range rows {
		if row.Registration.EndsRegistration {
			w.readConfig(n)
		}
	}
	n.peers.Apply(rows)
	return true
}

func (w *simulation) readConfig(n *node) {
	if !n.alive || !n.storeReachable {
		return
	}
	w.install(n, w.revision)
	n.config.Confirm(w.revision, w.now)
	n.peers.ConfirmOwnRevision(w.revision, w.now)
}

func (w *simulation) install(n *node, revision int64) {
	n.config.Install(declaration.Compile(revision, &api.Declaration{}))
	n.peers.SetOwnRevision(n.config.Revision())
}

func (w *simulation) pull(to, from *node) {
	if !to.alive || !from.alive || to == from || to.partition != from.partition {
		return
	}
	digest := membership.BuildDigest(from.name, from.peers, from.config.State().ConfirmedAt, w.now)
	if digest.LastSequence > to.peers.LastSequence() && rapid.Bool().Draw(w.t, "adopts") {
		// As in membership.Service, the revision is recorded before the registrations.
		set := from.peers.RegistrationsSince(to.peers.LastSequence())
		to.config.ObserveRevision(from.config.State().NewestRevision)
		to.peers.AdoptRegistrations(set)
	}
	newest := membership.MergeDigest(digest, w.now, to.peers)
	if newest <= to.config.Revision() {
		return
	}
	to.config.ObserveRevision(newest)
	if rapid.Bool().Draw(w.t, "fetches") && from.config.Revision() >= newest {
		w.install(to, from.config.Revision())
	}
}

// coldStart adopts a revision from peers if the instance has none and cannot read the store.
func (w *simulation) coldStart(n *node) {
	revision := n.peers.QuorumView().AdoptableRevision(freshnessBound, w.now)
	if !n.alive || n.storeReachable || revision == 0 || n.peers.ReportsOwnRevision() {
		return
	}
	w.install(n, revision)
	n.peers.MarkRevisionAdopted()
}

func (w *simulation) commit(n *node) {
	if w.pending != nil || !n.alive || !n.storeReachable {
		return
	}
	w.revision++
	w.pending = &pendingChange{committer: n, acceptance: quorum.Acceptance{Revision: w.revision, FreshnessBound: freshnessBound}}
	if rapid.Bool().Draw(w.t, "reads log after commit") {
		w.pending.logRead = w.readLog(n)
	}
	if rapid.Bool().Draw(w.t, "polls after commit") {
		w.readConfig(n)
	}
}

func (w *simulation) checkAcceptance() {
	if w.pending == nil || !w.pending.committer.alive {
		w.pending = nil
		return
	}
	committer := w.pending.committer
	w.pending.logRead = w.pending.logRead || w.readLog(committer)
	if !w.pending.logRead {
		return
	}
	members := func() []quorum.Member { return committer.peers.QuorumView().Members }
	if accepted, _ := w.pending.acceptance.Check(w.now, members, func() bool { return w.readLog(committer) }); accepted {
		w.acceptedRevision = max(w.acceptedRevision, w.pending.acceptance.Revision)
		w.pending = nil
	}
}

// leave moves an instance one step towards its end: it deregisters and then stops, or it crashes and its registration is
// ended after 30 s of absence.
func (w *simulation) leave(n *node) {
	self, registered := n.peers.Self()
	switch {
	case n.leaving:
		n.alive = false
		return
	case !n.alive && w.now.Sub(n.diedAt) < 30*time.Second:
		return
	case n.alive && (!n.storeReachable || rapid.Bool().Draw(w.t, "crashes")):
		n.alive, n.diedAt = false, w.now
		return
	case n.alive:
		// The instance inserts its row at the end of the log, so it must have read the log to the end.
		n.leaving = true
		n.peers.StopReporting()
		w.readLog(n)
	}
	if registered && !w.hasEnded(self) {
		w.log = append(w.log, table.RegistrationRow{
			Sequence: int64(len(w.log) + 1), Registration: api.Registration{Incarnation: n.name, EndsRegistration: true, EndsSequence: self},
		})
	}
}

func (w *simulation) hasEnded(sequence int64) bool {
	for _, row := range w.log {
		if row.Registration.EndsSequence == sequence {
			return true
		}
	}
	return false
}

// chance returns true in about one of n draws.
func (w *simulation) chance(n int, label string) bool {
	return rapid.IntRange(0, n-1).Draw(w.t, label) == 0
}

// step simulates one round of 1 s: first the rare events, then the polls and pulls of every instance.
func (w *simulation) step() {
	w.now = w.now.Add(time.Second)
	if w.chance(w.startInterval, "start?") {
		w.start()
	}
	if w.chance(w.leaveInterval, "leave?") {
		w.leave(w.pickNode("leaves"))
	}
	if w.chance(w.moveInterval, "move?") {
		n := w.pickNode("moves")
		n.partition = rapid.IntRange(0, 1).Draw(w.t, "to")
		n.storeReachable = rapid.Bool().Draw(w.t, "with store")
	}
	if w.chance(w.commitInterval, "commit?") {
		w.commit(w.pickNode("commits"))
	}
	for _, n := range w.nodes {
		if w.chance(4, "paused") {
			continue
		}
		w.round(n)
	}
	w.checkAcceptance()
}

func (w *simulation) round(n *node) {
	if w.chance(2, "registers") {
		w.register(n)
	}
	if w.chance(2, "reads log") {
		w.readLog(n)
	}
	if w.chance(2, "polls") {
		w.readConfig(n)
	}
	w.coldStart(n)
	w.pull(n, w.pickNode("from"))
	w.pull(n, w.pickNode("from"))
}

// Guards against an instance that serves an older revision after a newer one was accepted, whatever the order of
// registrations, removals, partitions, store outages, acknowledgements and time.
func TestNoOldRevisionServesAfterAcceptance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, now: time.Unix(1000, 0), revision: 1}
		interval := func(label string) int { return rapid.SampledFrom([]int{3, 8, 20}).Draw(t, label) }
		w.startInterval, w.leaveInterval, w.moveInterval, w.commitInterval = interval("starts"), interval("leaves"), interval("moves"), interval("commits")
		for range rapid.IntRange(1, 5).Draw(t, "instances") {
			w.start()
		}
		for range rapid.IntRange(10, 60).Draw(t, "rounds") {
			w.step()
			for _, n := range w.nodes {
				snapshot, refused := n.config.SnapshotIfEligible(w.now)
				if n.alive && !n.leaving && refused == nil && snapshot.Revision < w.acceptedRevision {
					t.Fatalf("instance %s serves revision %d after revision %d was accepted", n.name, snapshot.Revision, w.acceptedRevision)
				}
			}
		}
	})
}
