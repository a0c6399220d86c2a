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

const freshnessBound = 6 * time.Second

// startInterval is the time between the starts of instances, so that their polls do not coincide.
const startInterval = 137 * time.Millisecond

// cluster is a set of instances that run their real duties with an in-memory store and transport. It must run in a synctest
// bubble.
type cluster struct {
	t             *testing.T
	table         *memory.Table
	objects       *memory.Objects
	instanceList  *memory.Instances
	nodes         []*node
	byPort        sync.Map
	peerCalls     atomic.Int64
	receivedBytes atomic.Int64
	largestDigest atomic.Int64
}

// node is one instance of the cluster.
type node struct {
	cluster    *cluster
	name       string
	port       int
	peers      *table.Peers
	config     *table.Config
	members    *membership.Service
	syncer     *Syncer
	duties     atomic.Pointer[worker.Duties]
	storeCut   atomic.Bool
	partition  atomic.Int32
	dead       atomic.Bool
	storeFault atomic.Value
	// onlyPeer is the only peer that this instance can reach; nil means all peers.
	onlyPeer       atomic.Pointer[node]
	digestReceived atomic.Bool
}

// faultFunc returns the fault that the store injects into an operation.
type faultFunc func(op memory.Op, key string) memory.Fault

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, table: memory.NewTable(), objects: memory.NewObjects(), instanceList: &memory.Instances{}}
	for range n {
		c.startNode(0)
		c.sleep(startInterval)
	}
	return c
}

// startNode adds and runs an instance in a network partition. Instances of different partitions do not reach each other, and
// only partition 0 reaches the store.
func (c *cluster) startNode(partition int32) *node {
	n := c.addNode(partition)
	n.run()
	return n
}

// addNode adds an instance whose duties do not run; a test runs them or calls its methods.
func (c *cluster) addNode(partition int32) *node {
	n := &node{cluster: c, name: fmt.Sprintf("entry-%d", len(c.nodes)+1), port: 9001 + len(c.nodes), peers: table.NewPeers()}
	n.duties.Store(worker.NewDuties(1, slog.New(slog.DiscardHandler)))
	n.partition.Store(partition)
	n.storeFault.Store(faultFunc(func(memory.Op, string) memory.Fault { return memory.FaultNone }))
	n.config = table.NewConfig(freshnessBound, n.peers.Eligibility(freshnessBound))
	store := c.table.View(func(op memory.Op, key string) memory.Fault {
		if n.storeCut.Load() || n.partition.Load() != 0 {
			return memory.FaultUnavailable
		}
		return n.storeFault.Load().(faultFunc)(op, key)
	})
	log := slog.New(slog.DiscardHandler)
	n.syncer = New(Options{
		Table: store, Objects: c.objects, Transport: transport{n}, Peers: n.peers, Config: n.config, Log: log,
		ReadRegistrations: func(ctx context.Context) error { return n.members.CatchUp(ctx) },
		TriggerDuty:       func(duty string) { n.duties.Load().Trigger(duty) },
		FreshnessBound:    freshnessBound, PollInterval: time.Second,
	})
	n.members = membership.New(membership.Options{
		Registration: api.Registration{
			Incarnation: n.name, Name: n.name, Ip: "127.0.0.1", PeerPort: n.port, AvailabilityZone: "lom-a",
		},
		Peers: n.peers, Config: n.config, Table: store, Instances: c.instanceList, Transport: transport{n}, Log: log,
		Random:        rand.New(rand.NewPCG(uint64(n.port), 1)),
		ConfirmConfig: n.syncer.Poll, OnNewerRevision: n.syncer.PeerReported, DigestInterval: time.Second, ListInterval: 2 * time.Second,
	})
	c.nodes = append(c.nodes, n)
	c.byPort.Store(n.port, n)
	c.listRunningNodes()
	return n
}

// listRunningNodes sets the platform's instance list to the instances that are not dead.
func (c *cluster) listRunningNodes() {
	var entries []api.InstanceEntry
	for _, n := range c.nodes {
		if !n.dead.Load() {
			entries = append(entries, api.InstanceEntry{Id: n.name, Kind: api.KindEntry, Ip: "127.0.0.1", Port: n.port})
		}
	}
	c.instanceList.Set(entries, nil)
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

func (c *cluster) sleep(d time.Duration) { <-time.After(d) }

// servedRevision returns the revision at which the instance accepts new work, or 0 if it refuses new work.
func (n *node) servedRevision() int64 {
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

func (c *cluster) expectServed(when string, nodes []*node, revision int64) {
	c.t.Helper()
	for _, n := range nodes {
		if got := n.servedRevision(); got != revision {
			c.t.Errorf("%s: %s serves revision %d instead of %d", when, n.name, got, revision)
		}
	}
}

func document(priority int) string {
	return fmt.Sprintf("models: [{name: m, versions: [{name: v1, inputCost: 1, outputCost: 1}]}]\n"+
		"classes: [{name: chat, priority: %d, target: {}}]\norganisations: []\n", priority)
}

// transport is the in-memory transport of one instance.
type transport struct{ local *node }

func (t transport) peer(ctx context.Context, address membership.Address) (*node, error) {
	t.local.cluster.peerCalls.Add(1)
	found, ok := t.local.cluster.byPort.Load(address.Port)
	if !ok {
		return nil, errors.Errorf("peer %s does not exist", address)
	}
	peer := found.(*node)
	if only := t.local.onlyPeer.Load(); only != nil && only != peer {
		return nil, errors.Errorf("peer %s is not reachable", address)
	}
	if peer.dead.Load() || peer.partition.Load() != t.local.partition.Load() {
		<-ctx.Done()
		return nil, errors.Errorf("peer %s does not answer", address)
	}
	return peer, nil
}

func (t transport) countBytes(message any) {
	encoded, err := json.Marshal(message)
	if err != nil {
		t.local.cluster.t.Error(err)
	}
	size := int64(len(encoded))
	t.local.cluster.receivedBytes.Add(size)
	if size > t.local.cluster.largestDigest.Load() {
		t.local.cluster.largestDigest.Store(size)
	}
}

func (t transport) Digest(ctx context.Context, address membership.Address) (api.Digest, error) {
	peer, err := t.peer(ctx, address)
	if err != nil {
		return api.Digest{}, err
	}
	digest := peer.members.Digest(time.Now())
	t.local.digestReceived.Store(true)
	t.countBytes(digest)
	return digest, nil
}

func (t transport) Registrations(ctx context.Context, address membership.Address, after int64) (api.RegistrationSet, error) {
	peer, err := t.peer(ctx, address)
	if err != nil {
		return api.RegistrationSet{}, err
	}
	return peer.members.Registrations(after), nil
}

func (t transport) Revision(ctx context.Context, address membership.Address, revision int64) (api.RevisionDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	peer, err := t.peer(ctx, address)
	if err != nil {
		return api.RevisionDocument{}, err
	}
	doc, ok := peer.syncer.Document(revision)
	if !ok {
		return doc, errors.New("the peer has no document of this revision")
	}
	return doc, nil
}
