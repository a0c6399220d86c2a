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

const bound = 6 * time.Second

// node is one instance of the model: real tables and digests, a modelled store and clock.
type node struct {
	name      string
	peers     *table.Peers
	config    *table.Config
	alive     bool
	died      time.Time
	store     bool
	partition int
	// leaving holds from the deregistration on: the instance takes no work, but reads the log and answers peers.
	leaving bool
}

type change struct {
	by         *node
	read       bool
	acceptance quorum.Acceptance
}

type world struct {
	t        *rapid.T
	now      time.Time
	log      []table.RegistrationRow
	revision int64
	nodes    []*node
	open     *change
	accepted int64
	// starts, leaves, moves and commits are the rounds between two such events on average.
	starts, leaves, moves, commits int
}

func (w *world) pick(label string) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, label)]
}

func (w *world) start() {
	if len(w.nodes) >= 12 {
		return
	}
	n := &node{name: fmt.Sprint(len(w.nodes)), peers: table.NewPeers(), alive: true, store: true}
	n.config = table.NewConfig(bound, n.peers.Eligibility(bound))
	w.nodes = append(w.nodes, n)
	if len(w.nodes) <= 4 {
		w.register(n)
		return
	}
	n.partition = rapid.IntRange(0, 1).Draw(w.t, "side of peers")
	n.store = rapid.Bool().Draw(w.t, "starts with store")
}

func (w *world) register(n *node) {
	if _, registered := n.peers.Self(); registered || n.leaving || !w.readLog(n) {
		return
	}
	row := table.RegistrationRow{Sequence: int64(len(w.log) + 1), Registration: api.Registration{Incarnation: n.name, Name: n.name}}
	w.log = append(w.log, row)
	n.peers.SetSelf(row.Sequence, w.now)
	w.readLog(n)
	if len(w.nodes) > 4 && w.chance(2, "loses store after registration") {
		n.store = false
	}
	if len(w.nodes) <= 4 {
		w.readConfig(n)
	}
}

func (w *world) readLog(n *node) bool {
	if !n.alive || !n.store {
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

func (w *world) readConfig(n *node) {
	if !n.alive || !n.store {
		return
	}
	w.install(n, w.revision)
	n.config.Confirm(w.revision, w.now)
	n.peers.ConfirmOwnRevision(w.revision, w.now)
}

func (w *world) install(n *node, revision int64) {
	n.config.Install(declaration.Compile(revision, &api.Declaration{}))
	n.peers.SetOwnRevision(n.config.Revision())
}

func (w *world) pull(to, from *node) {
	if !to.alive || !from.alive || to == from || to.partition != from.partition {
		return
	}
	digest := membership.Build(from.name, from.peers, from.config.State().ConfirmedAt, w.now)
	if digest.LastSequence > to.peers.LastSequence() && rapid.Bool().Draw(w.t, "adopts") {
		// As membership.Service does: the revision first.
		set := from.peers.RegistrationsSince(to.peers.LastSequence())
		to.config.ObserveRevision(from.config.State().NewestRevision)
		to.peers.AdoptRegistrations(set)
	}
	newest := membership.Merge(digest, w.now, to.peers)
	if newest <= to.config.Revision() {
		return
	}
	to.config.ObserveRevision(newest)
	if rapid.Bool().Draw(w.t, "fetches") && from.config.Revision() >= newest {
		w.install(to, from.config.Revision())
	}
}

// coldStart is the rule of an instance that cannot read the store.
func (w *world) coldStart(n *node) {
	revision := n.peers.QuorumView().Adoptable(bound, w.now)
	if !n.alive || n.store || revision == 0 || n.peers.ReportsOwnRevision() {
		return
	}
	w.install(n, revision)
	n.peers.MarkRevisionAdopted()
}

func (w *world) commit(n *node) {
	if w.open != nil || !n.alive || !n.store {
		return
	}
	w.revision++
	w.open = &change{by: n, acceptance: quorum.Acceptance{Revision: w.revision, Bound: bound}}
	if rapid.Bool().Draw(w.t, "reads log after commit") {
		w.open.read = w.readLog(n)
	}
	if rapid.Bool().Draw(w.t, "polls after commit") {
		w.readConfig(n)
	}
}

func (w *world) checkAcceptance() {
	if w.open == nil || !w.open.by.alive {
		w.open = nil
		return
	}
	by := w.open.by
	w.open.read = w.open.read || w.readLog(by)
	if !w.open.read {
		return
	}
	members := func() []quorum.Member { return by.peers.QuorumView().Members }
	if accepted, _ := w.open.acceptance.Check(w.now, members, func() bool { return w.readLog(by) }); accepted {
		w.accepted = max(w.accepted, w.open.acceptance.Revision)
		w.open = nil
	}
}

// leave ends an instance: by its own deregistration, or by a crash and the removal after 30 s of absence.
func (w *world) leave(n *node) {
	self, registered := n.peers.Self()
	switch {
	case n.leaving:
		n.alive = false
		return
	case !n.alive && w.now.Sub(n.died) < 30*time.Second:
		return
	case n.alive && (!n.store || rapid.Bool().Draw(w.t, "crashes")):
		n.alive, n.died = false, w.now
		return
	case n.alive:
		// The row is inserted at the end of the log, which the instance has read therefore.
		n.leaving = true
		n.peers.StopReporting()
		w.readLog(n)
	}
	if registered && !w.ended(self) {
		w.log = append(w.log, table.RegistrationRow{
			Sequence: int64(len(w.log) + 1), Registration: api.Registration{Incarnation: n.name, EndsRegistration: true, EndsSequence: self},
		})
	}
}

func (w *world) ended(sequence int64) bool {
	for _, row := range w.log {
		if row.Registration.EndsSequence == sequence {
			return true
		}
	}
	return false
}

// chance draws true in about one of n cases.
func (w *world) chance(n int, label string) bool { return rapid.IntRange(0, n-1).Draw(w.t, label) == 0 }

// step is one round of 1 s: rare events, then the polls and pulls of every instance.
func (w *world) step() {
	w.now = w.now.Add(time.Second)
	if w.chance(w.starts, "start?") {
		w.start()
	}
	if w.chance(w.leaves, "leave?") {
		w.leave(w.pick("leaves"))
	}
	if w.chance(w.moves, "move?") {
		n := w.pick("moves")
		n.partition = rapid.IntRange(0, 1).Draw(w.t, "to")
		n.store = rapid.Bool().Draw(w.t, "with store")
	}
	if w.chance(w.commits, "commit?") {
		w.commit(w.pick("commits"))
	}
	for _, n := range w.nodes {
		if w.chance(4, "paused") {
			continue
		}
		w.round(n)
	}
	w.checkAcceptance()
}

func (w *world) round(n *node) {
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
	w.pull(n, w.pick("from"))
	w.pull(n, w.pick("from"))
}

// Guards against an instance that serves an older revision after a newer one was accepted, whatever the order of
// registrations, removals, partitions, store outages, acknowledgements and time.
func TestNoOldRevisionServesAfterAcceptance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1000, 0), revision: 1}
		rate := func(label string) int { return rapid.SampledFrom([]int{3, 8, 20}).Draw(t, label) }
		w.starts, w.leaves, w.moves, w.commits = rate("starts"), rate("leaves"), rate("moves"), rate("commits")
		for range rapid.IntRange(1, 5).Draw(t, "instances") {
			w.start()
		}
		for range rapid.IntRange(10, 60).Draw(t, "rounds") {
			w.step()
			for _, n := range w.nodes {
				snapshot, refused := n.config.SnapshotIfEligible(w.now)
				if n.alive && !n.leaving && refused == nil && snapshot.Revision < w.accepted {
					t.Fatalf("instance %s serves revision %d after revision %d was accepted", n.name, snapshot.Revision, w.accepted)
				}
			}
		}
	})
}
