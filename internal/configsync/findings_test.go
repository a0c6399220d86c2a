package configsync

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
)

// The tests of this file replay the schedules of docs/decisions/model-findings.md. The duties are stopped and every step is
// called by the test.

// withStoppedDuties runs a test with n instances that serve revision 1 and whose duties are stopped.
func withStoppedDuties(t *testing.T, n int, test func(t *testing.T, c *cluster)) {
	withCluster(t, n, func(t *testing.T, c *cluster) {
		for _, n := range c.nodes {
			n.duties.Load().Stop()
		}
		test(t, c)
	})
}

func (n *node) must(what string, step func(ctx context.Context) error) {
	n.cluster.t.Helper()
	if err := step(n.cluster.t.Context()); err != nil {
		n.cluster.t.Fatalf("%s: %s: %v", n.name, what, err)
	}
}

func (n *node) poll() {
	n.cluster.t.Helper()
	n.must("poll", n.syncer.Poll)
}

// pullFrom pulls the digests of the peers, and the registrations that the peers know but the instance does not.
func (n *node) pullFrom(peers ...*node) {
	n.cluster.t.Helper()
	for _, peer := range peers {
		n.onlyPeer.Store(peer)
		n.digestReceived.Store(false)
		for attempt := 0; !n.digestReceived.Load(); attempt++ {
			if attempt == 1000 {
				n.cluster.t.Fatalf("%s does not reach %s", n.name, peer.name)
			}
			n.must("pull", n.members.PullDigests)
		}
	}
}

// beginChange applies revision 2. It returns when the revision is committed and the registrations are read; the channel
// receives the result.
func (n *node) beginChange() <-chan api.ApplyResponse {
	done := make(chan api.ApplyResponse, 1)
	go func() { done <- n.apply(1, "second", document(2)) }()
	n.cluster.sleep(time.Millisecond)
	return done
}

func mustBeAccepted(t *testing.T, done <-chan api.ApplyResponse) api.ApplyResponse {
	t.Helper()
	response := <-done
	if response.State != api.ApplyAccepted {
		t.Fatalf("change: %+v", response)
	}
	return response
}

// registerThenLoseStore registers the instance and then cuts it off from the store, before it reads the configuration.
func (n *node) registerThenLoseStore() {
	n.cluster.t.Helper()
	n.must("register", n.members.Register)
	n.storeCut.Store(true)
}

// Finding F1. Guards against an instance that applies deregistrations before it has read the configuration.
func TestDeregistrationNeedsConfigurationRead(t *testing.T) {
	withStoppedDuties(t, 3, func(t *testing.T, c *cluster) {
		a, b, x := c.nodes[0], c.nodes[1], c.nodes[2]
		c.acceptThenDeregister(t, a, b)
		x.storeFault.Store(faultFunc(func(_ memory.Op, key string) memory.Fault {
			if strings.HasPrefix(key, KeyPrefix) {
				return memory.FaultUnavailable
			}
			return memory.FaultNone
		}))
		if x.members.PollRegistrations(t.Context()) == nil || len(x.peers.RegisteredInstances()) != 3 {
			t.Errorf("deregistrations took effect without a read of the configuration")
		}
		c.expectServed("after the rows were read", []*node{x}, 0)
	})
}

// acceptThenDeregister has revision 2 accepted with the acknowledgements of a and b, and then deregisters both.
func (c *cluster) acceptThenDeregister(t *testing.T, a, b *node) {
	t.Helper()
	done := a.beginChange()
	a.poll()
	b.poll()
	a.pullFrom(b)
	mustBeAccepted(t, done)
	b.must("deregister", b.members.Deregister)
	a.must("deregister", a.members.Deregister)
}

// Finding F2. Guards against deregistrations from a peer that arrive without the newest revision that the peer knows.
func TestRowsFromPeerCarryRevision(t *testing.T) {
	withStoppedDuties(t, 3, func(t *testing.T, c *cluster) {
		a, b, x := c.nodes[0], c.nodes[1], c.nodes[2]
		c.acceptThenDeregister(t, a, b)
		a.must("read the log", a.members.CatchUp)
		x.storeCut.Store(true)
		x.pullFrom(a)
		if live := len(x.peers.RegisteredInstances()); live != 1 {
			t.Fatalf("%d instances registered", live)
		}
		c.expectServed("after the registration rows of a peer", []*node{x}, 0)
		late := c.addNode(0)
		late.storeCut.Store(true)
		late.pullFrom(x)
		if late.config.State().NewestRevision != 2 {
			t.Errorf("the revision was not passed on with the rows")
		}
		x.must("fetch", x.syncer.Fetch)
		c.expectServed("after the fetch", []*node{x}, 2)
	})
}

// Finding F2. Guards against a checkpoint that omits ended registrations and does not contain the newest revision known to
// them.
func TestCheckpointCarriesRevision(t *testing.T) {
	withStoppedDuties(t, 3, func(t *testing.T, c *cluster) {
		value, err := json.Marshal(api.RegistrationSet{LastSequence: 7, NewestRevision: 2, Instances: []api.RegisteredInstance{
			{Sequence: 3, Registration: c.nodes[2].peers.RegisteredInstances()[2].Registration},
		}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.table.View(nil).Put(t.Context(), "membership/checkpoint", value, platform.IfAbsent()); err != nil {
			t.Fatal(err)
		}
		late := c.addNode(0)
		late.must("register", late.members.Register)
		if state := late.config.State(); state.NewestRevision != 2 || late.peers.LastSequence() != 8 {
			t.Errorf("newest revision %d, last sequence %d", state.NewestRevision, late.peers.LastSequence())
		}
	})
}

// Finding F3. Guards against an instance that accepts work before it is registered, or on the basis of a confirmation from
// before its registration.
func TestNoWorkBeforeRegistration(t *testing.T) {
	withStoppedDuties(t, 3, func(t *testing.T, c *cluster) {
		a, b, d := c.nodes[0], c.nodes[1], c.nodes[2]
		x := c.addNode(0)
		x.poll()
		x.pullFrom(a, b, d)
		c.expectServed("before its registration", []*node{x}, 0)
		done := a.beginChange()
		for _, n := range c.nodes[:3] {
			n.poll()
		}
		a.pullFrom(b, d)
		x.registerThenLoseStore()
		c.expectServed("after its registration", []*node{x}, 0)
		mustBeAccepted(t, done)
		c.expectServed("after acceptance", []*node{x}, 0)
	})
}

// Finding F4. Guards against acceptance without the wait of twice the freshness bound while an instance that registered
// after the commit serves an older revision.
func TestAcceptanceSeesLateRegistration(t *testing.T) {
	withStoppedDuties(t, 3, func(t *testing.T, c *cluster) {
		a, b, d := c.nodes[0], c.nodes[1], c.nodes[2]
		done := a.beginChange()
		x := c.addNode(0)
		x.registerThenLoseStore()
		x.pullFrom(a, b, d)
		x.must("start without store", func(ctx context.Context) error { _ = x.syncer.PollOrColdStart(ctx); return nil })
		c.expectServed("started without the store", []*node{x}, 1)
		for _, n := range c.nodes[:3] {
			n.poll()
		}
		a.pullFrom(b, d)
		response := mustBeAccepted(t, done)
		c.expectServed("after acceptance", []*node{x}, 0)
		if len(response.NotInForce) != 1 || response.ElapsedMillis < int((2*freshnessBound).Milliseconds()) {
			t.Errorf("accepted without the wait: %+v", response)
		}
	})
}

// Finding F5. Guards against instances that started without the store and confirm each other's older revision as a majority.
func TestColdStartSupportsNoMajority(t *testing.T) {
	withStoppedDuties(t, 3, func(t *testing.T, c *cluster) {
		a, b, d := c.nodes[0], c.nodes[1], c.nodes[2]
		done := a.beginChange()
		x, y := c.addNode(0), c.addNode(0)
		x.must("register", x.members.Register)
		y.registerThenLoseStore()
		x.must("read the log", x.members.CatchUp)
		x.storeCut.Store(true)
		for _, n := range []*node{x, y} {
			n.pullFrom(a, b, d)
			_ = n.syncer.PollOrColdStart(t.Context())
		}
		c.expectServed("started without the store", []*node{x, y}, 1)
		a.poll()
		b.poll()
		a.pullFrom(b)
		d.must("read the log", d.members.CatchUp)
		cut := []*node{d, x, y}
		for range 14 {
			c.sleep(time.Second)
			d.pullFrom(x, y)
			x.pullFrom(d, y)
			y.pullFrom(d, x)
		}
		mustBeAccepted(t, done)
		c.expectServed("after acceptance", cut, 0)
	})
}

// Finding F8. Guards against a deregistered instance that still answers peers and counts in the majority for an older revision.
func TestLeavingInstanceSupportsNoMajority(t *testing.T) {
	withStoppedDuties(t, 1, func(t *testing.T, c *cluster) {
		l, a, x := c.nodes[0], c.addNode(0), c.addNode(0)
		l.must("deregister", l.members.Deregister)
		a.must("register", a.members.Register)
		a.poll()
		done := a.beginChange()
		a.poll()
		mustBeAccepted(t, done)
		x.storeCut.Store(true)
		x.pullFrom(l)
		_ = x.syncer.PollOrColdStart(t.Context())
		c.expectServed("after acceptance", []*node{x}, 0)
	})
}

// Guards against an unregistered instance that still serves an older revision, based on the reports of its peers, after a
// change was accepted without it.
func TestRestartDuringOutageBesideAcceptance(t *testing.T) {
	withStoppedDuties(t, 3, func(t *testing.T, c *cluster) {
		a, b, d := c.nodes[0], c.nodes[1], c.nodes[2]
		x := c.addNode(0)
		x.storeCut.Store(true)
		x.pullFrom(a, b, d)
		_ = x.syncer.PollOrColdStart(t.Context())
		c.expectServed("restarted during the outage", []*node{x}, 1)
		done := a.beginChange()
		for _, n := range c.nodes[:3] {
			n.poll()
		}
		a.pullFrom(b, d)
		mustBeAccepted(t, done)
		c.expectServed("after acceptance", []*node{x}, 0)
	})
}
