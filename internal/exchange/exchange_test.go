package exchange

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/crashguard"
	"github.com/cicadawall/cicadawall/internal/evacuation"
	"github.com/cicadawall/cicadawall/internal/gateway"
	"github.com/cicadawall/cicadawall/internal/migration"
	"github.com/cicadawall/cicadawall/internal/rowfeed"
	"github.com/cicadawall/cicadawall/internal/storepos"
)

// network is a Transport between exchanges in memory. It fails calls to unreachable addresses.
type network struct {
	mu          sync.Mutex
	nodes       map[string]*Exchange
	unreachable map[string]bool
	fetches     int
}

func (n *network) node(address string) (*Exchange, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.unreachable[address] {
		return nil, errors.New("peer is unreachable")
	}
	return n.nodes[address], nil
}

func (n *network) Pull(_ context.Context, address string, query api.GatewayQuery) (api.GatewayState, error) {
	node, err := n.node(address)
	if err != nil {
		return api.GatewayState{}, err
	}
	return node.State(query), nil
}

func (n *network) Configuration(_ context.Context, address string) ([]byte, error) {
	node, err := n.node(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.fetches++
	n.mu.Unlock()
	return node.Document(), nil
}

// add adds a new exchange that knows the seeds.
func (n *network) add(address string, storeUnavailable bool, seeds ...string) *Exchange {
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	feed := func() *rowfeed.Follower {
		return rowfeed.New(rowfeed.Options{Handle: func(rowfeed.Batch) {}, InstanceCount: func() int { return 1 }, Log: log})
	}
	configurations := gateway.NewConfigurationTable()
	node := New(Options{
		Identity: api.GatewayInstance{PeerAddress: address, Incarnation: "incarnation of " + address}, Seeds: seeds, Configurations: configurations,
		Directory: backend.NewDirectory(), Migrations: migration.NewTable(0.15), Crashes: crashguard.NewTable(crashguard.Options{MayTry: func(string) bool { return false }, Log: log}),
		Evacuations: evacuation.NewTable(evacuation.Options{Started: time.Now(), Log: log}), Transport: n, OperatorFollower: feed(), ServersFollower: feed(),
		AdoptConfiguration: func(document []byte, _ string) {
			version, _ := strconv.ParseInt(string(document), 10, 64)
			configurations.Adopt((&gateway.Configuration{Version: version, Document: document}).Compile())
		},
		History: storepos.NewHistory(), StoreUnavailable: func(time.Time) bool { return storeUnavailable }, Log: log,
	})
	n.nodes[address] = node
	return node
}

func newNetwork() *network {
	return &network{nodes: map[string]*Exchange{}, unreachable: map[string]bool{}}
}

// round executes one round of each node and waits for the fetches that it starts.
func round(t *testing.T, nodes ...*Exchange) {
	t.Helper()
	for _, node := range nodes {
		if err := node.Round(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	synctest.Wait()
}

// Guards against an instance that keeps an old configuration while the store is unavailable to it, and against one that fetches a
// large configuration from all peers at once (grown Parabole trouble-1 --seed 682738988909, CONFIG 41: no pull ended in time).
func TestConfigurationIsFetchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		var seeds []string
		for i := range peersPerRound {
			seeds = append(seeds, "peer-"+strconv.Itoa(i))
			n.add(seeds[i], false).AdoptConfiguration([]byte("7"), "store")
		}
		late := n.add("late", true, seeds...)
		round(t, late)
		if late.Configurations.Version() != 7 || n.fetches != 1 {
			t.Errorf("version %d after %d fetches", late.Configurations.Version(), n.fetches)
		}
	})
}

// Guards against counts that do not reach the owners of a migration, so that no instance has enough evidence for a decision
// (grown Parabole bad-version-slow --seed 762556518909, EXPOSURE 848: 16 of several hundred answers were known).
func TestOwnersCollectEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, answers = 30, 3
		n := newNetwork()
		var addresses []string
		for i := range instances {
			addresses = append(addresses, "peer-"+strconv.Itoa(i))
		}
		order := migration.Order{Service: "desk", Target: "v2", Duration: time.Minute, Revision: storepos.At(0, 1)}
		var nodes []*Exchange
		for _, address := range addresses {
			node := n.add(address, false, addresses...)
			nodes = append(nodes, node)
			node.Migrations.AddOrder(order, 0, time.Now())
			for range answers {
				node.Migrations.Observe("desk", "v2", "chat", true, 0)
			}
		}
		for _, node := range nodes {
			for _, address := range addresses {
				node.PutPeer(api.GatewayInstance{PeerAddress: address, Incarnation: "incarnation of " + address})
			}
		}
		for range evidenceRounds {
			round(t, nodes...)
		}
		owner := nodes[slices.IndexFunc(nodes, func(e *Exchange) bool { return e.Rank("desk") == 0 })]
		decisions := owner.Migrations.Decide(time.Now())
		if len(decisions) != 1 || decisions[0].NewCount.Bad != instances*answers ||
			decisions[0].Status.State != migration.StateRolledBack {
			t.Errorf("decisions of the owner: %+v", decisions)
		}
	})
}

// Guards against dead peers that are counted forever, and against an isolated instance that uses the retry budget of all others.
func TestLostPeersExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.add("peer", false)
		node := n.add("node", false)
		node.PutPeer(api.GatewayInstance{PeerAddress: "peer", Incarnation: "one"})
		n.unreachable["peer"] = true
		round(t, node)
		<-time.After(peerExpiry + time.Second)
		round(t, node)
		if node.InstanceCount() != 1 || node.PeakInstanceCount() != 2 {
			t.Errorf("%d instances, at most %d at once", node.InstanceCount(), node.PeakInstanceCount())
		}
	})
}

// Guards against an instance that takes the whole slack of a bound on the fleet, or makes the only trial that the fleet allows, because it has
// not heard of its peers yet.
func TestFleetSizeIsUnknownBeforeAListWasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		peer, node := n.add("peer", false), n.add("node", false, "peer")
		third := n.add("third", false)
		peer.PutPeer(third.Identity)
		round(t, node)
		if got := node.FleetSize(); got != 0 {
			t.Errorf("fleet size %d after a round without a list, want 0", got)
		}
		if lone := n.add("lone", false); lone.Rank("duty") != 0 || lone.Leads("duty") {
			t.Errorf("an instance that knows no other one: rank %d, leads %t", lone.Rank("duty"), lone.Leads("duty"))
		}
		for range discoverRounds {
			round(t, node)
		}
		if got := node.FleetSize(); got != 3 {
			t.Errorf("fleet size %d, want 3", got)
		}
	})
}

// Guards against an instance that uses servers which a peer knows to be leaving while the store is unavailable to it.
func TestServersComeFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		peer, late := n.add("peer", false), n.add("late", true, "peer")
		entry := backend.Entry{ID: "a", Service: "desk", Address: "a:1", Software: "v1", Slots: 1}
		late.Directory.Replace([]backend.Entry{entry}, 0, time.Now())
		entry.Leaving = true
		peer.Directory.Replace([]backend.Entry{entry}, 0, time.Now())
		round(t, late)
		if entries := late.Directory.Entries(); len(entries) != 1 || !entries[0].Leaving {
			t.Errorf("entries %+v", entries)
		}
	})
}

// Guards against crashes that reach a large fleet too late: each instance sees at most one of them, and requests must be held everywhere
// within 3 s of the fifth.
func TestCrashesReachLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, reactionRounds = 300, 6
		n := newNetwork()
		var nodes []*Exchange
		for i := range instances {
			nodes = append(nodes, n.add("peer-"+strconv.Itoa(i), false))
		}
		for _, node := range nodes {
			for _, other := range nodes {
				node.PutPeer(other.Identity)
			}
		}
		for i, node := range nodes[:5] {
			now := time.Now()
			prompt := []backend.PromptPart{{ID: "bad"}, {ID: "own"}}
			node.Crashes.Begin("desk", "server-"+strconv.Itoa(i), "request-"+strconv.Itoa(i), prompt, false, nil).Crashed(false, now)
			<-time.After(300 * time.Millisecond)
		}
		for range reactionRounds {
			round(t, nodes...)
			<-time.After(Interval)
		}
		prompt, without := []backend.PromptPart{{ID: "bad"}, {ID: "other"}}, 0
		for _, node := range nodes {
			if !node.Crashes.Check("desk", prompt, false, time.Now()).Held {
				without++
			}
		}
		if without > 0 {
			t.Errorf("%d of %d instances do not hold the prompt", without, instances)
		}
		before := nodes[0].State(api.GatewayQuery{From: nodes[1].Identity, CrashDigest: nodes[0].Crashes.Digest()})
		if len(before.Crashes) > 0 {
			t.Error("crashes that the peer knows are sent")
		}
	})
}

// Guards against instances that each have to learn from a server itself that it leaves.
func TestLeavingServerIsToldToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		first, second := n.add("first", false), n.add("second", false, "first")
		entry := backend.Entry{ID: "s", Service: "desk", Address: "s:80", StartedUnixMillis: 1}
		for _, node := range []*Exchange{first, second} {
			node.Directory.Put(entry, time.Now())
		}
		attempt, _ := first.Directory.Begin("s", backend.Query{Service: "desk"}, time.Now())
		attempt.MarkLeaving(time.Now())
		round(t, second)
		candidates := second.Directory.Candidates(backend.Query{Service: "desk"}, time.Now())
		if len(candidates) != 1 || !candidates[0].Leaving {
			t.Errorf("candidates of the peer: %+v", candidates)
		}
	})
}

// Guards against instances that start one after the other while the store answers nobody and get no list of servers, against such a list taking the
// place of a newer one, and against a wait that ends before a peer with a confirmed list was asked.
func TestUnconfirmedServersComeFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		entry := func(id string) backend.Entry {
			return backend.Entry{ID: id, Service: "desk", Address: id + ":1", Software: "v1", Slots: 1}
		}
		first, second, third := n.add("first", true), n.add("second", true, "first"), n.add("third", true, "second")
		first.Directory.Replace([]backend.Entry{entry("a")}, 0, time.Now())
		for range confirmedListRounds {
			round(t, second)
			if second.Directory.Loaded() {
				t.Fatal("an unconfirmed list was used at once")
			}
		}
		for range confirmedListRounds + 1 {
			round(t, second, third)
		}
		if len(second.Directory.Entries()) != 1 || len(third.Directory.Entries()) != 1 {
			t.Fatalf("entries %+v, then %+v", second.Directory.Entries(), third.Directory.Entries())
		}
		first.Directory.Put(entry("b"), time.Now())
		round(t, second)
		if entries := second.Directory.Entries(); len(entries) != 1 {
			t.Errorf("an unconfirmed list was merged into a known one: %+v", entries)
		}
		// The rows of the confirmed list may be older, if those of removed servers are not among them.
		third.unconfirmedServersRow = storepos.At(0, 7)
		confirmed := n.add("confirmed", false)
		confirmed.Directory.Replace([]backend.Entry{entry("c")}, 0, time.Now())
		third.PutPeer(api.GatewayInstance{PeerAddress: "confirmed", Incarnation: "one"})
		round(t, third)
		leaving := map[string]bool{}
		for _, e := range third.Directory.Entries() {
			leaving[e.ID] = e.Leaving
		}
		if diff := cmp.Diff(map[string]bool{"a": true, "c": false}, leaving); diff != "" {
			t.Errorf("after a confirmed list: %s", diff)
		}
	})
}

// Guards against the lists of two peers that are taken in one round: servers that only one of them names would count as leaving.
func TestOneUnconfirmedListIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		late := n.add("late", true, "one", "two")
		for name, ids := range map[string][]string{"one": {"a", "b"}, "two": {"b", "c"}} {
			var entries []backend.Entry
			for _, id := range ids {
				entries = append(entries, backend.Entry{ID: id, Service: "desk", Address: id + ":1", Software: "v1", Slots: 1})
			}
			n.add(name, true).Directory.Replace(entries, 0, time.Now())
		}
		for range confirmedListRounds + 1 {
			round(t, late)
		}
		entries := late.Directory.Entries()
		if len(entries) != 2 || entries[0].Leaving || entries[1].Leaving {
			t.Errorf("entries %+v", entries)
		}
	})
}
