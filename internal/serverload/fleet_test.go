package serverload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

// fleet is a set of instances whose first members of each zone are the relays. Messages pass through JSON.
type fleet struct {
	t     *testing.T
	zones int
	nodes []*node
	// cut is a zone that no message enters or leaves.
	cut string
	// deathsUnnoticed keeps dead instances in the topology.
	deathsUnnoticed bool
	// withdrawalsLost drops the empty reports.
	withdrawalsLost bool
	// dropped counts messages by reason.
	dropped map[string]int
}

type node struct {
	fleet         *fleet
	address, zone string
	table         *Table
	own           map[string]Usage
	dead          bool
	// swapped prefers the other relay.
	swapped bool
}

func newFleet(t *testing.T, zones, perZone int) *fleet {
	f := &fleet{t: t, zones: zones, dropped: map[string]int{}}
	f.add(zones * perZone)
	return f
}

// add adds instances with a usage of their own; every third has none.
func (f *fleet) add(count int) {
	for range count {
		n := len(f.nodes)
		node := &node{fleet: f, address: fmt.Sprint("peer-", n), zone: fmt.Sprint("zone-", n%f.zones), own: map[string]Usage{}}
		for k := range n % 3 * 2 {
			node.own[fmt.Sprint("server-", (n+k)%7)] = Usage{Running: 2 + n%5, Streaming: n % 3, PendingWork: int64(1000*n + k)}
		}
		node.table = NewTable("incarnation-"+node.address, Options{
			Own: func() map[string]Usage { return node.own }, Enabled: func() bool { return true }, Topology: node.topology, Transport: node,
			Suspended:    func() time.Duration { return 0 },
			CountDropped: func(reason string) { f.dropped[reason]++ }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		f.nodes = append(f.nodes, node)
	}
}

// relays returns the addresses of the relays of a zone as the exchange chooses them: the last two instances that live, as far as is known.
func (f *fleet) relays(zone string) []string {
	var addresses []string
	for _, n := range slices.Backward(f.nodes) {
		if n.zone == zone && (!n.dead || n.fleet.deathsUnnoticed) && len(addresses) < 2 {
			addresses = append(addresses, n.address)
		}
	}
	return addresses
}

func (n *node) topology() Topology {
	relays := n.fleet.relays(n.zone)
	if slices.Contains(relays, n.address) {
		topology := Topology{Relay: true}
		for zone := range n.fleet.zones {
			topology.Others = append(topology.Others, n.fleet.relays(fmt.Sprint("zone-", zone))...)
		}
		topology.Others = slices.DeleteFunc(topology.Others, func(address string) bool { return address == n.address })
		return topology
	}
	if n.swapped {
		slices.Reverse(relays)
	}
	return Topology{Relays: relays}
}

// Loads implements Transport.
func (n *node) Loads(ctx context.Context, address string, query api.GatewayLoadsQuery) (api.GatewayLoads, error) {
	target := n.fleet.nodes[slices.IndexFunc(n.fleet.nodes, func(n *node) bool { return n.address == address })]
	lost := n.fleet.withdrawalsLost && !query.Sums && len(query.Usage.Servers) == 0 && len(n.own) > 0
	if lost || target.dead || n.zone != target.zone && (n.zone == n.fleet.cut || target.zone == n.fleet.cut) {
		<-ctx.Done()
		return api.GatewayLoads{}, errors.New("no answer")
	}
	var received api.GatewayLoadsQuery
	copyThroughJSON(n.fleet.t, query, &received)
	answer, err := target.table.Answer(received)
	var loads api.GatewayLoads
	copyThroughJSON(n.fleet.t, answer, &loads)
	return loads, err
}

func copyThroughJSON(t *testing.T, from, to any) {
	body, err := json.Marshal(from)
	if err == nil {
		err = json.Unmarshal(body, to)
	}
	if err != nil {
		t.Error(err)
	}
}

// run lets all instances run their rounds for some time and calls check after each.
func (f *fleet) run(duration time.Duration, check func()) {
	for end := time.Now().Add(duration); time.Now().Before(end); <-time.After(Interval) {
		done := make(chan struct{})
		for _, n := range f.nodes {
			go func() {
				if !n.dead {
					_ = n.table.Round(f.t.Context())
				}
				done <- struct{}{}
			}()
		}
		for range f.nodes {
			<-done
		}
		check()
	}
}

// expected returns the usage of all living instances that the filter accepts except one.
func (f *fleet) expected(except *node, accept func(n *node) bool) map[string]Server {
	servers := map[string]Server{}
	for _, n := range f.nodes {
		for id, usage := range n.own {
			if n != except && !n.dead && accept(n) {
				s := servers[id]
				servers[id] = Server{s.Running + usage.Running, s.Streaming + usage.Streaming, s.PendingWork + usage.PendingWork, 1}
			}
		}
	}
	return servers
}

// checkExact fails the test if the view of a living instance is not the sum of the others that see accepts for its zone.
func (f *fleet) checkExact(see func(zone, other string) bool) {
	f.t.Helper()
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		view := n.table.View(time.Now())
		if view == nil {
			f.t.Fatalf("%s has no view", n.address)
		}
		if diff := cmp.Diff(f.expected(n, func(other *node) bool { return see(n.zone, other.zone) }), view.Servers); diff != "" {
			f.t.Fatalf("view of %s: %s", n.address, diff)
		}
	}
}

// checkViews fails the test if a living instance has no view.
func (f *fleet) checkViews() {
	f.t.Helper()
	for _, n := range f.nodes {
		if !n.dead && n.table.View(time.Now()) == nil {
			f.t.Fatalf("%s has no view", n.address)
		}
	}
}

func everything(string, string) bool { return true }

// inFleet runs a test on a fleet that has started.
func inFleet(t *testing.T, zones, perZone int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, zones, perZone)
		for _, n := range f.nodes {
			if n.topology().Relay {
				// A relay refuses reports before its first round, and its reporters would then avoid it for 3 s.
				n.table.putOwn(nil)
			}
		}
		f.run(5*Interval, func() {})
		f.checkExact(everything)
		test(f)
		if len(f.dropped) > 0 {
			t.Errorf("dropped messages: %v", f.dropped)
		}
	})
}
