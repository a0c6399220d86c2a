package configsync

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
)

// inCluster runs a test on n instances that serve revision 1.
func inCluster(t *testing.T, n int, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, n)
		defer c.stop()
		c.wait(5 * time.Second)
		if got := c.nodes[0].apply(0, "first", document(1)); got.State != api.ApplyAccepted || got.Revision != 1 {
			t.Fatalf("first change: %+v", got)
		}
		c.expect("after the first change", c.nodes, 1)
		test(t, c)
	})
}

// Guards against two operators who both believe that their change holds.
func TestTwoOperatorsAtOnce(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		var responses [2]api.ApplyResponse
		var both sync.WaitGroup
		both.Go(func() { responses[0] = c.nodes[0].apply(1, "left", document(2)) })
		both.Go(func() { responses[1] = c.nodes[1].apply(1, "right", document(3)) })
		both.Wait()
		won, lost, id := responses[0], responses[1], "left"
		if won.State == api.ApplyConflict {
			won, lost, id = lost, won, "right"
		}
		if won.State != api.ApplyAccepted || won.Revision != 2 {
			t.Errorf("winner: %+v", won)
		}
		named := lost.ConflictRevision == 2 && lost.ConflictChangeID == id && strings.HasPrefix(lost.ConflictAuthor, "operator of ")
		if lost.State != api.ApplyConflict || !named {
			t.Errorf("loser: %+v", lost)
		}
	})
}

// Guards against a lost reply that is reported as failed, or that commits the change twice.
func TestLostReply(t *testing.T) {
	for _, fault := range []memory.Fault{memory.FaultReplyLost, memory.FaultRequestLost} {
		inCluster(t, 3, func(t *testing.T, c *cluster) {
			var lost atomic.Bool
			c.nodes[0].fault.Store(hook(func(op memory.Op, key string) memory.Fault {
				if op == memory.OpPut && strings.HasPrefix(key, Prefix) && lost.CompareAndSwap(false, true) {
					return fault
				}
				return memory.FaultNone
			}))
			if got := c.nodes[0].apply(1, "second", document(2)); got.State != api.ApplyAccepted || got.Revision != 2 {
				t.Fatalf("lost reply: %+v", got)
			}
			if got := c.nodes[1].apply(2, "third", document(3)); got.State != api.ApplyAccepted {
				t.Fatalf("third: %+v", got)
			}
			if got := c.nodes[2].apply(1, "second", document(2)); got.State != api.ApplyAccepted || got.Revision != 2 {
				t.Errorf("repeat of the second change after the third: %+v", got)
			}
			if got := c.nodes[2].apply(1, "second", document(4)); got.State != api.ApplyInvalid {
				t.Errorf("change id reused for another document: %+v", got)
			}
			c.expect("at the end", c.nodes, 3)
		})
	}
}

// Guards against an unresolved commit that is reported as refused, and against a repeat that fails afterwards.
func TestOutcomeNotReadBack(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		var cut atomic.Bool
		c.nodes[0].fault.Store(hook(func(op memory.Op, key string) memory.Fault {
			if op == memory.OpPut && strings.HasPrefix(key, Prefix) {
				cut.Store(true)
				return memory.FaultReplyLost
			}
			if cut.Load() {
				return memory.FaultUnavailable
			}
			return memory.FaultNone
		}))
		if got := c.nodes[0].apply(1, "second", document(2)); got.State != api.ApplyUnknown {
			t.Fatalf("outcome not readable: %+v", got)
		}
		if got := c.nodes[1].apply(1, "second", document(2)); got.State != api.ApplyAccepted || got.Revision != 2 {
			t.Errorf("repeat: %+v", got)
		}
	})
}

// Guards against a stale read that takes the configuration back.
func TestStaleReadNeverLowers(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		c.nodes[0].apply(1, "second", document(2))
		c.nodes[1].fault.Store(hook(func(op memory.Op, key string) memory.Fault {
			if op == memory.OpRange {
				return memory.FaultStale
			}
			return memory.FaultNone
		}))
		for range 20 {
			c.wait(time.Second)
			c.expect("during stale reads", c.nodes, 2)
		}
	})
}

// Guards against an outage of the store that stops serving, and against a change that is taken during it.
func TestStoreOutageSeenByAll(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		for _, n := range c.nodes {
			n.cut.Store(true)
		}
		for range 60 {
			c.wait(10 * time.Second)
			c.expect("during the outage", c.nodes, 1)
		}
		if got := c.nodes[0].apply(1, "second", document(2)); got.State != api.ApplyUnavailable {
			t.Errorf("change during the outage: %+v", got)
		}
		// It is cut off before it runs: its first read must not come before the cut.
		restarted := c.add(0)
		restarted.cut.Store(true)
		restarted.run()
		c.wait(15 * time.Second)
		c.expect("an instance started during the outage", []*node{restarted}, 1)
		if restarted.peers.ReportsOwnRevision() {
			t.Error("the instance started during the outage reports a revision before it read the store")
		}
		for _, n := range c.nodes {
			n.cut.Store(false)
		}
		c.wait(10 * time.Second)
		if got := c.nodes[0].apply(1, "second", document(2)); got.State != api.ApplyAccepted || len(got.NotInForce) > 0 {
			t.Errorf("change after the outage: %+v", got)
		}
		c.expect("after the outage", c.nodes, 2)
	})
}

// Guards against an accepted revision that a partitioned minority does not follow, also when instances register meanwhile.
func TestPartitionedMinorityRefuses(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		minority := c.nodes[:2]
		for _, n := range minority {
			n.side.Store(1)
		}
		c.wait(time.Second)
		late := []*node{c.start(0), c.start(0)}
		got := c.nodes[2].apply(1, "second", document(2))
		if got.State != api.ApplyAccepted || len(got.NotInForce) != 2 {
			t.Fatalf("change by the majority: %+v", got)
		}
		c.expect("minority after acceptance", minority, 0)
		c.expect("majority after acceptance", append(c.nodes[2:5:5], late...), 2)
		for range 10 {
			c.wait(10 * time.Second)
			c.expect("minority later", minority, 0)
		}
		for _, n := range minority {
			n.side.Store(0)
		}
		c.wait(5 * time.Second)
		c.expect("after the partition", c.nodes, 2)
	})
}

// Guards against acceptance while a majority without the store still serves the older revision.
func TestChangeByStoreSideMinorityStaysPending(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		majority := c.nodes[:3]
		for _, n := range majority {
			n.side.Store(1)
		}
		c.wait(time.Second)
		c.start(0)
		c.start(0)
		got := c.nodes[3].apply(1, "second", document(2))
		if got.State != api.ApplyPending || len(got.NotInForce) != 3 {
			t.Errorf("change by the minority: %+v", got)
		}
		c.expect("majority without store", majority, 1)
	})
}

// Guards against a dead instance that blocks operators, and one that stays registered although the list dropped it.
func TestDeadInstance(t *testing.T) {
	inCluster(t, 4, func(t *testing.T, c *cluster) {
		c.nodes[0].kill()
		if got := c.nodes[1].apply(1, "second", document(2)); got.State != api.ApplyAccepted || len(got.NotInForce) != 1 {
			t.Errorf("change beside a dead instance: %+v", got)
		}
		c.wait(60 * time.Second) // the list is frozen: it still shows the dead instance
		if live := len(c.nodes[1].peers.RegisteredInstances()); live != 4 {
			t.Errorf("frozen list: %d instances registered", live)
		}
		c.list.Set(nil, nil)
		c.wait(60 * time.Second)
		if live := len(c.nodes[1].peers.RegisteredInstances()); live != 4 {
			t.Errorf("empty list: %d instances registered", live)
		}
		c.showAll()
		c.wait(60 * time.Second)
		if live := len(c.nodes[1].peers.RegisteredInstances()); live != 3 {
			t.Errorf("instance absent for 60 s: %d instances registered", live)
		}
	})
}

// Guards against an instance that resumes after a pause with an old revision, or that stays out after its removal.
func TestPausedInstance(t *testing.T) {
	inCluster(t, 4, func(t *testing.T, c *cluster) {
		paused := c.nodes[0]
		paused.kill()
		c.showAll()
		if got := c.nodes[1].apply(1, "second", document(2)); got.State != api.ApplyAccepted {
			t.Fatalf("change: %+v", got)
		}
		c.expect("paused instance at its resumption", []*node{paused}, 0)
		c.wait(60 * time.Second)
		paused.dead.Store(false)
		c.showAll()
		paused.run()
		c.wait(10 * time.Second)
		c.expect("after the resumption", c.nodes, 2)
		if _, registered := paused.peers.Self(); !registered || len(c.nodes[1].peers.RegisteredInstances()) != 4 {
			t.Errorf("the paused instance did not register again")
		}
	})
}
