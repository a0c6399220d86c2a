package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/backend"
)

// addresses returns the addresses of the members, or nil if they are unknown.
func (e *Exchange) addresses() []string {
	if members := e.Members(); members != nil {
		return members.Addresses
	}
	return nil
}

// Guards against an isolated instance that takes itself for the only one within a minute, and against one that is gone but stays a member
// because a peer still lists it.
func TestMembersOutlastPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := n.add("a", false)
		n.add("b", false)
		lost := n.add("lost", false)
		for _, address := range []string{"b", "lost"} {
			a.PutPeer(n.nodes[address].Identity)
		}
		if a.Members() != nil {
			t.Error("members are known before a list of all instances was read")
		}
		a.MarkFleetKnown()
		all := []string{"a", "b", "lost"}
		if diff := cmp.Diff(all, a.addresses()); diff != "" {
			t.Error(diff)
		}
		n.unreachable["lost"] = true
		for range 100 {
			round(t, a)
			<-time.After(Interval)
		}
		if diff := cmp.Diff(all, a.addresses()); diff != "" || a.InstanceCount() != 2 {
			t.Errorf("after 50 s with %d reachable instances: %s", a.InstanceCount(), diff)
		}
		for range 40 {
			a.PutPeer(lost.Identity)
			round(t, a)
			<-time.After(Interval)
		}
		if diff := cmp.Diff([]string{"a", "b"}, a.addresses()); diff != "" {
			t.Errorf("after 70 s, listed by a peer: %s", diff)
		}
		members := a.Members()
		round(t, a)
		if a.Members() != members {
			t.Error("the members are replaced although they are the same")
		}
		a.State(api.GatewayQuery{From: lost.Identity})
		if diff := cmp.Diff(all, a.addresses()); diff != "" {
			t.Errorf("after a query of the instance: %s", diff)
		}
	})
}

// Guards against instances that start together, take a list of those that have just started for one of all, and each own all cold servers.
func TestListOfNewInstanceIsIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		first, second := n.add("first", true, "second"), n.add("second", true, "first")
		round(t, first, second, first)
		if first.FleetSize() == 0 || first.Members() != nil || second.Members() != nil {
			t.Errorf("fleet of %d, members %v and %v", first.FleetSize(), first.addresses(), second.addresses())
		}
		second.MarkFleetKnown()
		round(t, first)
		if diff := cmp.Diff([]string{"first", "second"}, first.addresses()); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against an instance that reaches only peers and takes a server for warm that a peer knows to be cold.
func TestPeersTellColdServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		knowing, late := n.add("knowing", false), n.add("late", true, "knowing")
		knowing.Directory.Replace([]backend.Entry{{ID: "s", Service: "desk", Address: "s", ColdDuration: 3 * time.Second}}, 0, time.Now())
		<-time.After(time.Second)
		round(t, late)
		candidates := late.Directory.Candidates(backend.Query{Service: "desk", Cold: &backend.ColdStart{}}, time.Now())
		if len(candidates) != 1 || candidates[0].ColdFor != 2*time.Second {
			t.Errorf("candidates %+v", candidates)
		}
	})
}
