package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/membership"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
	"github.com/cicadawall/cicadawall/internal/table"
	"github.com/cicadawall/cicadawall/internal/worker"
)

const bound = 6 * time.Second

// startGap separates the starts of instances, so that their polls do not coincide.
const startGap = 137 * time.Millisecond

// cluster is a set of instances with real duties on an in-memory store and transport; run it in a synctest bubble.
type cluster struct {
	t       *testing.T
	table   *memory.Table
	objects *memory.Objects
	list    *memory.Instances
	nodes   []*node
	byPort  sync.Map
	calls   atomic.Int64
	bytes   atomic.Int64
	largest atomic.Int64
}

type node struct {
	cluster *cluster
	name    string
	port    int
	peers   *table.Peers
	config  *table.Config
	members *membership.Service
	syncer  *Syncer
	duties  atomic.Pointer[worker.Duties]
	cut     atomic.Bool
	side    atomic.Int32
	dead    atomic.Bool
	fault   atomic.Value
	// only is the one peer that answers, where a test chooses it.
	only     atomic.Pointer[node]
	answered atomic.Bool
}

type hook func(op memory.Op, key string) memory.Fault

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, table: memory.NewTable(), objects: memory.NewObjects(), list: &memory.Instances{}}
	for range n {
		c.start(0)
		c.wait(startGap)
	}
	return c
}

// start adds an instance on a side; instances of different sides do not hear each other, and only side 0 has the store.
func (c *cluster) start(side int32) *node {
	n := c.add(side)
	n.run()
	return n
}

// add adds an instance that does nothing until it is run or driven by a test.
func (c *cluster) add(side int32) *node {
	n := &node{cluster: c, name: fmt.Sprintf("entry-%d", len(c.nodes)+1), port: 9001 + len(c.nodes), peers: table.NewPeers()}
	n.duties.Store(worker.NewDuties(1, slog.New(slog.DiscardHandler)))
	n.side.Store(side)
	n.fault.Store(hook(func(memory.Op, string) memory.Fault { return memory.FaultNone }))
	n.config = table.NewConfig(bound, n.peers.Eligibility(bound))
	store := c.table.View(func(op memory.Op, key string) memory.Fault {
		if n.cut.Load() || n.side.Load() != 0 {
			return memory.FaultUnavailable
		}
		return n.fault.Load().(hook)(op, key)
	})
	log := slog.New(slog.DiscardHandler)
	n.syncer = New(Options{
		Table: store, Objects: c.objects, Transport: link{n}, Peers: n.peers, Config: n.config, Log: log,
		Registrations: func(ctx context.Context) error { return n.members.Follow(ctx) },
		Trigger:       func(duty string) { n.duties.Load().Trigger(duty) },
		Bound:         bound, PollInterval: time.Second,
	})
	n.members = membership.New(membership.Options{
		Registration: api.Registration{
			Incarnation: n.name, Name: n.name, Ip: "127.0.0.1", PeerPort: n.port, AvailabilityZone: "lom-a",
		},
		Peers: n.peers, Config: n.config, Table: store, Instances: c.list, Transport: link{n}, Log: log,
		Random:  rand.New(rand.NewPCG(uint64(n.port), 1)),
		Confirm: n.syncer.Poll, Newer: n.syncer.Heard, DigestInterval: time.Second, ListInterval: 2 * time.Second,
	})
	c.nodes = append(c.nodes, n)
	c.byPort.Store(n.port, n)
	c.showAll()
	return n
}

// showAll puts every instance that runs on the platform's list.
func (c *cluster) showAll() {
	var entries []api.InstanceEntry
	for _, n := range c.nodes {
		if !n.dead.Load() {
			entries = append(entries, api.InstanceEntry{Id: n.name, Kind: api.KindEntry, Ip: "127.0.0.1", Port: n.port})
		}
	}
	c.list.Set(entries, nil)
}

func (n *node) run() {
	duties := worker.NewDuties(8, slog.New(slog.DiscardHandler))
	n.duties.Store(duties)
	for _, duty := range append(n.members.Duties(), n.syncer.Duties()...) {
		duties.Add(duty)
	}
}

func (n *node) kill() {
	n.dead.Store(true)
	n.duties.Load().Stop()
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.duties.Load().Stop()
	}
}

func (c *cluster) wait(d time.Duration) { <-time.After(d) }

// serves returns the revision at which the instance takes new work; 0 if it refuses.
func (n *node) serves() int64 {
	snapshot, refused := n.config.SnapshotIfEligible(time.Now())
	if refused != nil {
		return 0
	}
	return snapshot.Revision
}

func (n *node) apply(base int64, change, document string) api.ApplyResponse {
	return n.syncer.Apply(n.cluster.t.Context(), api.ApplyRequest{
		BaseRevision: base, ChangeID: change, Author: "operator of " + n.name, Document: document, WaitMillis: 30_000,
	})
}

func (c *cluster) expect(when string, nodes []*node, revision int64) {
	c.t.Helper()
	for _, n := range nodes {
		if got := n.serves(); got != revision {
			c.t.Errorf("%s: %s serves revision %d instead of %d", when, n.name, got, revision)
		}
	}
}

func document(priority int) string {
	return fmt.Sprintf("models: [{name: m, versions: [{name: v1, inputCost: 1, outputCost: 1}]}]\n"+
		"classes: [{name: chat, priority: %d, target: {}}]\norganisations: []\n", priority)
}

// link is the transport of one instance.
type link struct{ from *node }

func (l link) peer(ctx context.Context, address membership.Address) (*node, error) {
	l.from.cluster.calls.Add(1)
	found, ok := l.from.cluster.byPort.Load(address.Port)
	if !ok {
		return nil, errors.Errorf("peer %s does not exist", address)
	}
	peer := found.(*node)
	if only := l.from.only.Load(); only != nil && only != peer {
		return nil, errors.Errorf("peer %s is not reached", address)
	}
	if peer.dead.Load() || peer.side.Load() != l.from.side.Load() {
		<-ctx.Done()
		return nil, errors.Errorf("peer %s does not answer", address)
	}
	return peer, nil
}

func (l link) count(message any) {
	encoded, err := json.Marshal(message)
	if err != nil {
		l.from.cluster.t.Error(err)
	}
	size := int64(len(encoded))
	l.from.cluster.bytes.Add(size)
	if size > l.from.cluster.largest.Load() {
		l.from.cluster.largest.Store(size)
	}
}

func (l link) Digest(ctx context.Context, address membership.Address) (api.Digest, error) {
	peer, err := l.peer(ctx, address)
	if err != nil {
		return api.Digest{}, err
	}
	digest := peer.members.Digest(time.Now())
	l.from.answered.Store(true)
	l.count(digest)
	return digest, nil
}

func (l link) Registrations(ctx context.Context, address membership.Address, after int64) (api.RegistrationSet, error) {
	peer, err := l.peer(ctx, address)
	if err != nil {
		return api.RegistrationSet{}, err
	}
	return peer.members.Registrations(after), nil
}

func (l link) Revision(ctx context.Context, address membership.Address, revision int64) (api.RevisionDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	peer, err := l.peer(ctx, address)
	if err != nil {
		return api.RevisionDocument{}, err
	}
	doc, ok := peer.syncer.Document(revision)
	if !ok {
		return doc, errors.New("not held")
	}
	return doc, nil
}
