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

// The tests of this file replay the schedules of docs/decisions/model-findings.md. Every step is driven by the test.

// inSteps runs a test on n instances that serve revision 1 and whose duties are stopped.
func inSteps(t *testing.T, n int, test func(t *testing.T, c *cluster)) {
	inCluster(t, n, func(t *testing.T, c *cluster) {
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

// hear pulls the digests of the peers, and the registrations that they know beyond the instance's.
func (n *node) hear(peers ...*node) {
	n.cluster.t.Helper()
	for _, peer := range peers {
		n.only.Store(peer)
		n.answered.Store(false)
		for attempt := 0; !n.answered.Load(); attempt++ {
			if attempt == 1000 {
				n.cluster.t.Fatalf("%s does not reach %s", n.name, peer.name)
			}
			n.must("pull", n.members.Pull)
		}
	}
}

// begin applies revision 2 and returns when it is committed and the registrations were read.
func (n *node) begin() <-chan api.ApplyResponse {
	done := make(chan api.ApplyResponse, 1)
	go func() { done <- n.apply(1, "second", document(2)) }()
	n.cluster.wait(time.Millisecond)
	return done
}

func accepted(t *testing.T, done <-chan api.ApplyResponse) api.ApplyResponse {
	t.Helper()
	response := <-done
	if response.State != api.ApplyAccepted {
		t.Fatalf("change: %+v", response)
	}
	return response
}

// registerThenLoseStore is a start that reaches the store until the registration is read back and not beyond.
func (n *node) registerThenLoseStore() {
	n.cluster.t.Helper()
	n.must("register", n.members.Register)
	n.cut.Store(true)
}

// Finding F1. Guards against registrations that end at an instance before it read the configuration.
func TestEndingRowsNeedConfigurationRead(t *testing.T) {
	inSteps(t, 3, func(t *testing.T, c *cluster) {
		a, b, x := c.nodes[0], c.nodes[1], c.nodes[2]
		c.changeWithout(t, a, b)
		x.fault.Store(hook(func(_ memory.Op, key string) memory.Fault {
			if strings.HasPrefix(key, Prefix) {
				return memory.FaultUnavailable
			}
			return memory.FaultNone
		}))
		if x.members.Poll(t.Context()) == nil || len(x.peers.RegisteredInstances()) != 3 {
			t.Errorf("rows that end registrations took effect without a configuration read")
		}
		c.expect("after the rows were read", []*node{x}, 0)
	})
}

// changeWithout has revision 2 accepted by two of three instances, which then leave.
func (c *cluster) changeWithout(t *testing.T, a, b *node) {
	t.Helper()
	done := a.begin()
	a.poll()
	b.poll()
	a.hear(b)
	accepted(t, done)
	b.must("deregister", b.members.Deregister)
	a.must("deregister", a.members.Deregister)
}

// Finding F2. Guards against ending rows from a peer that come without the revision that the peer knows.
func TestRowsFromPeerCarryRevision(t *testing.T) {
	inSteps(t, 3, func(t *testing.T, c *cluster) {
		a, b, x := c.nodes[0], c.nodes[1], c.nodes[2]
		c.changeWithout(t, a, b)
		a.must("read the log", a.members.Follow)
		x.cut.Store(true)
		x.hear(a)
		if live := len(x.peers.RegisteredInstances()); live != 1 {
			t.Fatalf("%d instances registered", live)
		}
		c.expect("after the rows of a peer", []*node{x}, 0)
		late := c.add(0)
		late.cut.Store(true)
		late.hear(x)
		if late.config.State().NewestRevision != 2 {
			t.Errorf("the revision was not passed on with the rows")
		}
		x.must("fetch", x.syncer.Fetch)
		c.expect("after the fetch", []*node{x}, 2)
	})
}

// Finding F2. Guards against a checkpoint that hides ended registrations without naming the revision that they knew.
func TestCheckpointCarriesRevision(t *testing.T) {
	inSteps(t, 3, func(t *testing.T, c *cluster) {
		value, err := json.Marshal(api.RegistrationSet{LastSequence: 7, NewestRevision: 2, Instances: []api.RegisteredInstance{
			{Sequence: 3, Registration: c.nodes[2].peers.RegisteredInstances()[2].Registration},
		}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.table.View(nil).Put(t.Context(), "membership/checkpoint", value, platform.IfAbsent()); err != nil {
			t.Fatal(err)
		}
		late := c.add(0)
		late.must("register", late.members.Register)
		if state := late.config.State(); state.NewestRevision != 2 || late.peers.LastSequence() != 8 {
			t.Errorf("newest revision %d, last sequence %d", state.NewestRevision, late.peers.LastSequence())
		}
	})
}

// Finding F3. Guards against an instance that works before it is registered, or by a confirmation from before.
func TestNoWorkBeforeRegistration(t *testing.T) {
	inSteps(t, 3, func(t *testing.T, c *cluster) {
		a, b, d := c.nodes[0], c.nodes[1], c.nodes[2]
		x := c.add(0)
		x.poll()
		x.hear(a, b, d)
		c.expect("before its registration", []*node{x}, 0)
		done := a.begin()
		for _, n := range c.nodes[:3] {
			n.poll()
		}
		a.hear(b, d)
		x.registerThenLoseStore()
		c.expect("after its registration", []*node{x}, 0)
		accepted(t, done)
		c.expect("after acceptance", []*node{x}, 0)
	})
}

// Finding F4. Guards against acceptance without the wait while an instance that registered after the commit serves.
func TestAcceptanceSeesLateRegistration(t *testing.T) {
	inSteps(t, 3, func(t *testing.T, c *cluster) {
		a, b, d := c.nodes[0], c.nodes[1], c.nodes[2]
		done := a.begin()
		x := c.add(0)
		x.registerThenLoseStore()
		x.hear(a, b, d)
		x.must("start without store", func(ctx context.Context) error { _ = x.syncer.PollOrColdStart(ctx); return nil })
		c.expect("started without the store", []*node{x}, 1)
		for _, n := range c.nodes[:3] {
			n.poll()
		}
		a.hear(b, d)
		response := accepted(t, done)
		c.expect("after acceptance", []*node{x}, 0)
		if len(response.NotInForce) != 1 || response.ElapsedMillis < int((2*bound).Milliseconds()) {
			t.Errorf("accepted without the wait: %+v", response)
		}
	})
}

// Finding F5. Guards against instances that started without the store and support each other's older revision.
func TestColdStartSupportsNoMajority(t *testing.T) {
	inSteps(t, 3, func(t *testing.T, c *cluster) {
		a, b, d := c.nodes[0], c.nodes[1], c.nodes[2]
		done := a.begin()
		x, y := c.add(0), c.add(0)
		x.must("register", x.members.Register)
		y.registerThenLoseStore()
		x.must("read the log", x.members.Follow)
		x.cut.Store(true)
		for _, n := range []*node{x, y} {
			n.hear(a, b, d)
			_ = n.syncer.PollOrColdStart(t.Context())
		}
		c.expect("started without the store", []*node{x, y}, 1)
		a.poll()
		b.poll()
		a.hear(b)
		d.must("read the log", d.members.Follow)
		cut := []*node{d, x, y}
		for range 14 {
			c.wait(time.Second)
			d.hear(x, y)
			x.hear(d, y)
			y.hear(d, x)
		}
		accepted(t, done)
		c.expect("after acceptance", cut, 0)
	})
}

// Finding F8. Guards against an instance that ended its registration, answers peers and supports an older revision.
func TestLeavingInstanceSupportsNoMajority(t *testing.T) {
	inSteps(t, 1, func(t *testing.T, c *cluster) {
		l, a, x := c.nodes[0], c.add(0), c.add(0)
		l.must("deregister", l.members.Deregister)
		a.must("register", a.members.Register)
		a.poll()
		done := a.begin()
		a.poll()
		accepted(t, done)
		x.cut.Store(true)
		x.hear(l)
		_ = x.syncer.PollOrColdStart(t.Context())
		c.expect("after acceptance", []*node{x}, 0)
	})
}

// Guards against an instance without registration that serves by the reports of others after an acceptance that could not
// know of it.
func TestRestartDuringOutageBesideAcceptance(t *testing.T) {
	inSteps(t, 3, func(t *testing.T, c *cluster) {
		a, b, d := c.nodes[0], c.nodes[1], c.nodes[2]
		x := c.add(0)
		x.cut.Store(true)
		x.hear(a, b, d)
		_ = x.syncer.PollOrColdStart(t.Context())
		c.expect("restarted during the outage", []*node{x}, 1)
		done := a.begin()
		for _, n := range c.nodes[:3] {
			n.poll()
		}
		a.hear(b, d)
		accepted(t, done)
		c.expect("after acceptance", []*node{x}, 0)
	})
}
