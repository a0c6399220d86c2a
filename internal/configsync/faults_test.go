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

// withCluster runs a test with n instances that serve revision 1.
func withCluster(t *testing.T, n int, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, n)
		defer c.stop()
		c.sleep(5 * time.Second)
		if got := c.nodes[0].apply(0, "first", document(1)); got.State != api.ApplyAccepted || got.Revision != 1 {
			t.Fatalf("first change: %+v", got)
		}
		c.expectServed("after the first change", c.nodes, 1)
		test(t, c)
	})
}

// Guards against two concurrent changes on the same base revision that are both reported as accepted.
func TestTwoOperatorsAtOnce(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, c *cluster) {
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

// Guards against a commit whose request or reply was lost and that is reported as failed, or that is committed twice.
func TestLostReply(t *testing.T) {
	for _, fault := range []memory.Fault{memory.FaultReplyLost, memory.FaultRequestLost} {
		withCluster(t, 3, func(t *testing.T, c *cluster) {
			var lost atomic.Bool
			c.nodes[0].storeFault.Store(faultFunc(func(op memory.Op, key string) memory.Fault {
				if op == memory.OpPut && strings.HasPrefix(key, KeyPrefix) && lost.CompareAndSwap(false, true) {
					return fault
				}
				return memory.FaultNone
			}))
			if got := c.nodes[0].apply(1, "second", document(2)); got.State != api.ApplyAccepted || got.Revision != 2 {
				t.Fatalf("change with lost request or reply: %+v", got)
			}
			if got := c.nodes[1].apply(2, "third", document(3)); got.State != api.ApplyAccepted {
				t.Fatalf("third change: %+v", got)
			}
			if got := c.nodes[2].apply(1, "second", document(2)); got.State != api.ApplyAccepted || got.Revision != 2 {
				t.Errorf("repeat of the second change after the third: %+v", got)
			}
			if got := c.nodes[2].apply(1, "second", document(4)); got.State != api.ApplyInvalid {
				t.Errorf("change id reused for another document: %+v", got)
			}
			c.expectServed("at the end", c.nodes, 3)
		})
	}
}

// Guards against a commit with an unknown outcome that is reported as refused, and against a repeat of the change that fails.
func TestUnreadableOutcomeIsUnknown(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, c *cluster) {
		var cut atomic.Bool
		c.nodes[0].storeFault.Store(faultFunc(func(op memory.Op, key string) memory.Fault {
			if op == memory.OpPut && strings.HasPrefix(key, KeyPrefix) {
				cut.Store(true)
				return memory.FaultReplyLost
			}
			if cut.Load() {
				return memory.FaultUnavailable
			}
			return memory.FaultNone
		}))
		if got := c.nodes[0].apply(1, "second", document(2)); got.State != api.ApplyUnknown {
			t.Fatalf("change whose outcome cannot be read: %+v", got)
		}
		if got := c.nodes[1].apply(1, "second", document(2)); got.State != api.ApplyAccepted || got.Revision != 2 {
			t.Errorf("repeat: %+v", got)
		}
	})
}

// Guards against a stale read that returns an instance to an older revision.
func TestStaleReadKeepsRevision(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, c *cluster) {
		c.nodes[0].apply(1, "second", document(2))
		c.nodes[1].storeFault.Store(faultFunc(func(op memory.Op, key string) memory.Fault {
			if op == memory.OpRange {
				return memory.FaultStale
			}
			return memory.FaultNone
		}))
		for range 20 {
			c.sleep(time.Second)
			c.expectServed("during stale reads", c.nodes, 2)
		}
	})
}

// Guards against instances that stop serving during an outage of the store, and against a change that is accepted during it.
func TestServingContinuesDuringStoreOutage(t *testing.T) {
	withCluster(t, 5, func(t *testing.T, c *cluster) {
		for _, n := range c.nodes {
			n.storeCut.Store(true)
		}
		for range 60 {
			c.sleep(10 * time.Second)
			c.expectServed("during the outage", c.nodes, 1)
		}
		if got := c.nodes[0].apply(1, "second", document(2)); got.State != api.ApplyUnavailable {
			t.Errorf("change during the outage: %+v", got)
		}
		// The instance is cut off from the store before it runs, so that it never reads the store.
		restarted := c.addNode(0)
		restarted.storeCut.Store(true)
		restarted.run()
		c.sleep(15 * time.Second)
		c.expectServed("an instance started during the outage", []*node{restarted}, 1)
		if restarted.peers.ReportsOwnRevision() {
			t.Error("the instance started during the outage reports a revision before it has read the store")
		}
		for _, n := range c.nodes {
			n.storeCut.Store(false)
		}
		c.sleep(10 * time.Second)
		if got := c.nodes[0].apply(1, "second", document(2)); got.State != api.ApplyAccepted || len(got.NotInForce) > 0 {
			t.Errorf("change after the outage: %+v", got)
		}
		c.expectServed("after the outage", c.nodes, 2)
	})
}

// Guards against a partitioned minority that serves an older revision after a newer one was accepted, also when instances
// register during the partition.
func TestPartitionedMinorityRefuses(t *testing.T) {
	withCluster(t, 5, func(t *testing.T, c *cluster) {
		minority := c.nodes[:2]
		for _, n := range minority {
			n.partition.Store(1)
		}
		c.sleep(time.Second)
		late := []*node{c.startNode(0), c.startNode(0)}
		got := c.nodes[2].apply(1, "second", document(2))
		if got.State != api.ApplyAccepted || len(got.NotInForce) != 2 {
			t.Fatalf("change by the majority: %+v", got)
		}
		c.expectServed("minority after acceptance", minority, 0)
		c.expectServed("majority after acceptance", append(c.nodes[2:5:5], late...), 2)
		for range 10 {
			c.sleep(10 * time.Second)
			c.expectServed("minority later", minority, 0)
		}
		for _, n := range minority {
			n.partition.Store(0)
		}
		c.sleep(5 * time.Second)
		c.expectServed("after the partition", c.nodes, 2)
	})
}

// Guards against acceptance while a majority that cannot reach the store still serves the older revision.
func TestChangeByStoreSideMinorityStaysPending(t *testing.T) {
	withCluster(t, 5, func(t *testing.T, c *cluster) {
		majority := c.nodes[:3]
		for _, n := range majority {
			n.partition.Store(1)
		}
		c.sleep(time.Second)
		c.startNode(0)
		c.startNode(0)
		got := c.nodes[3].apply(1, "second", document(2))
		if got.State != api.ApplyPending || len(got.NotInForce) != 3 {
			t.Errorf("change by the minority: %+v", got)
		}
		c.expectServed("majority without store", majority, 1)
	})
}

// Guards against a dead instance that blocks changes, and against one that stays registered although it is missing from the
// instance list.
func TestDeadInstanceDoesNotBlockChange(t *testing.T) {
	withCluster(t, 4, func(t *testing.T, c *cluster) {
		c.nodes[0].kill()
		if got := c.nodes[1].apply(1, "second", document(2)); got.State != api.ApplyAccepted || len(got.NotInForce) != 1 {
			t.Errorf("change with one dead instance: %+v", got)
		}
		c.sleep(60 * time.Second) // the list is frozen: it still contains the dead instance
		if live := len(c.nodes[1].peers.RegisteredInstances()); live != 4 {
			t.Errorf("frozen list: %d instances registered", live)
		}
		c.instanceList.Set(nil, nil)
		c.sleep(60 * time.Second)
		if live := len(c.nodes[1].peers.RegisteredInstances()); live != 4 {
			t.Errorf("empty list: %d instances registered", live)
		}
		c.listRunningNodes()
		c.sleep(60 * time.Second)
		if live := len(c.nodes[1].peers.RegisteredInstances()); live != 3 {
			t.Errorf("instance missing from the list for 60 s: %d instances registered", live)
		}
	})
}

// Guards against an instance that serves an old revision when it resumes after a pause, or that does not register again
// after its removal.
func TestPausedInstanceCatchesUp(t *testing.T) {
	withCluster(t, 4, func(t *testing.T, c *cluster) {
		paused := c.nodes[0]
		paused.kill()
		c.listRunningNodes()
		if got := c.nodes[1].apply(1, "second", document(2)); got.State != api.ApplyAccepted {
			t.Fatalf("change: %+v", got)
		}
		c.expectServed("paused instance at its resumption", []*node{paused}, 0)
		c.sleep(60 * time.Second)
		paused.dead.Store(false)
		c.listRunningNodes()
		paused.run()
		c.sleep(10 * time.Second)
		c.expectServed("after the resumption", c.nodes, 2)
		if _, registered := paused.peers.Self(); !registered || len(c.nodes[1].peers.RegisteredInstances()) != 4 {
			t.Errorf("the paused instance did not register again")
		}
	})
}
