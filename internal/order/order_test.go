package order

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
)

// pair is two instances with one backend server that checks fencing numbers or ignores them.
type pair struct {
	a, b   *node
	server *orderServer
}

func newPair(checks bool) pair {
	table, server := memory.NewTable(), newOrderServer(checks)
	servers := map[string]*orderServer{"s1": server}
	return pair{newNode("a", table, servers), newNode("b", table, servers), server}
}

// each runs the test in virtual time.
func each(t *testing.T, checks bool, test func(t *testing.T, p pair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, newPair(checks)) })
}

// Guards against a claim assumed or denied wrongly after a fault of the insert or its read-back.
func TestClaimUnderStoreFaults(t *testing.T) {
	const none, unavailable, replyLost, requestLost, stale = memory.FaultNone, memory.FaultUnavailable, memory.FaultReplyLost, memory.FaultRequestLost, memory.FaultStale
	for name, c := range map[string]struct {
		faults  []memory.Fault
		runs    bool
		pending int
	}{
		"reply lost":                          {faults: []memory.Fault{replyLost, none}, runs: true},
		"request lost":                        {faults: []memory.Fault{requestLost, none}, runs: true},
		"reply lost, stale read-back":         {faults: []memory.Fault{replyLost, stale, none}, runs: true},
		"unavailable":                         {faults: []memory.Fault{unavailable}},
		"reply lost, not readable":            {faults: []memory.Fault{replyLost, unavailable}, pending: 1},
		"request lost, not readable":          {faults: []memory.Fault{requestLost, unavailable}, pending: 1},
		"reply lost, read-back always stale":  {faults: []memory.Fault{replyLost, stale, none, stale, none, stale}, pending: 1},
		"request lost, then all is ambiguous": {faults: []memory.Fault{requestLost, stale, requestLost, stale, replyLost, stale}, pending: 1},
	} {
		t.Run(name, func(t *testing.T) {
			each(t, false, func(t *testing.T, p pair) {
				p.a.store = storeFaults(c.faults...)
				_, refused := p.a.call("1", "shirts", 10*time.Second)
				if c.runs {
					if refused != nil {
						t.Fatal(refused)
					}
					wantExecutions(t, p.server, 1)
					wantRun(t, p.b, "2", true)
					return
				}
				wantFault(t, refused, fault.CodeOrderStoreUnavailable)
				if refused.Outcome != api.OutcomeNotRun || p.a.Pending() != c.pending {
					t.Fatalf("outcome %s, %d pending writes, want %d", refused.Outcome, p.a.Pending(), c.pending)
				}
				p.a.store = nil
				if err := p.a.Settle(context.Background()); err != nil {
					t.Fatal(err)
				}
				wantRun(t, p.b, "2", false)
				wantExecutions(t, p.server, 1)
			})
		})
	}
}

// Guards against a send after the claim window by a holder that was paused, and a key blocked for ever by it.
func TestPausedHolderSendsNothing(t *testing.T) {
	for name, pause := range map[string]func(n *node, d time.Duration){
		"after the claim": func(n *node, d time.Duration) { n.afterPut = sequence(d) },
		"before the send": func(n *node, d time.Duration) { n.beforeSend = sequence(d) },
	} {
		t.Run(name, func(t *testing.T) {
			each(t, false, func(t *testing.T, p pair) {
				pause(p.a, 6*time.Second)
				_, refused := p.a.call("1", "shirts", 20*time.Second)
				wantFault(t, refused, fault.CodeDeadlineExceeded)
				wantExecutions(t, p.server, 0)
				wantRun(t, p.b, "2", false)
				wantExecutions(t, p.server, 1)
			})
		})
	}
}

// Guards against two executions of one key at the same moment, during execution and after it.
func TestOneKeyAtTwoInstances(t *testing.T) {
	each(t, false, func(t *testing.T, p pair) {
		p.a.beforeSend = sequence(2 * time.Second)
		p.b.beforeSend = sequence(2 * time.Second)
		done := make(chan Response, 2)
		for _, n := range []*node{p.a, p.b} {
			go func() {
				resp, refused := n.call("1", "shirts", 10*time.Second)
				if refused != nil {
					t.Error(refused)
				}
				done <- resp
			}()
		}
		first, second := <-done, <-done
		if string(first.Body) != string(second.Body) || first.Replayed == second.Replayed {
			t.Fatalf("answers %q and %q", first.Body, second.Body)
		}
		wantRun(t, p.a, "3", true)
		wantExecutions(t, p.server, 1)
	})
}

// Guards against a key that stands for two orders, and calls without a usable key.
func TestKeyRules(t *testing.T) {
	each(t, false, func(t *testing.T, p pair) {
		wantRun(t, p.a, "1", false)
		_, refused := p.b.call("2", "posters", time.Second)
		wantFault(t, refused, fault.CodeIdempotencyKeyReused)
		if refused.Outcome != api.OutcomeNotRun {
			t.Fatal("a reused key must be answered as not_run")
		}
		req := request("shirts")
		req.IdempotencyKey = ""
		_, refused = p.a.Execute(context.Background(), req)
		wantFault(t, refused, fault.CodeIdempotencyKeyRequired)
		req.IdempotencyKey = string(make([]byte, maxKeyLength+1))
		_, refused = p.a.Execute(context.Background(), req)
		wantFault(t, refused, fault.CodeInvalidRequest)
		wantExecutions(t, p.server, 1)
	})
}

// Guards against an unsent order that cannot be claimed again.
func TestAbandonedClaimIsReclaimed(t *testing.T) {
	each(t, false, func(t *testing.T, p pair) {
		p.a.link = sequence(linkRefused)
		_, refused := p.a.call("1", "shirts", time.Second)
		wantFault(t, refused, fault.CodeBackendServerFailed)
		if refused.Outcome != api.OutcomeNotRun {
			t.Fatal("an unsent order must be answered as not_run")
		}
		wantRun(t, p.b, "2", false)
		wantExecutions(t, p.server, 1)
	})
}

// Guards against a takeover at a server that ignores fencing numbers, and a missing one at a server that checks them.
func TestUnansweredSend(t *testing.T) {
	for _, fate := range []linkFault{linkRequestLost, linkReplyLost, linkLate} {
		each(t, false, func(t *testing.T, p pair) {
			p.a.link = sequence(fate)
			_, refused := p.a.call("1", "shirts", 10*time.Second)
			wantFault(t, refused, fault.CodeOrderUnknown)
			_, refused = p.b.call("2", "shirts", 30*time.Second)
			wantFault(t, refused, fault.CodeOrderInProgress)
			if refused.Outcome != api.OutcomeUnknown {
				t.Fatal("the outcome must stay unknown")
			}
			if got := len(p.server.executions(orderKey)); got > 1 {
				t.Fatalf("%d executions", got)
			}
		})
		each(t, true, func(t *testing.T, p pair) {
			p.a.link = sequence(fate)
			if _, refused := p.a.call("1", "shirts", 10*time.Second); refused != nil {
				t.Fatalf("link fault %d: %v", fate, refused)
			}
			wantRun(t, p.b, "2", true)
			advance(time.Minute)
			wantExecutions(t, p.server, 1)
		})
	}
}

// Guards against a false not_run after an unanswered send, when a stale read shows the abandoned claim before it. Found by
// TestHistoriesAreLinearizable with seed 835.
func TestNotRunIsNeverSaidAfterSend(t *testing.T) {
	each(t, true, func(t *testing.T, p pair) {
		const none, unavailable = memory.FaultNone, memory.FaultUnavailable
		p.a.link = sequence(linkRefused, linkReplyLost)
		_, refused := p.a.call("1", "shirts", time.Second)
		wantFault(t, refused, fault.CodeBackendServerFailed)
		// Insert, read and claim; after the send a failed raise, the stale read and a failed claim.
		p.a.store = storeFaults(none, none, none, unavailable, memory.FaultStale, unavailable)
		_, refused = p.a.call("2", "shirts", 20*time.Second)
		wantFault(t, refused, fault.CodeOrderUnknown)
		wantRun(t, p.b, "3", true)
		wantExecutions(t, p.server, 1)
	})
}

// Guards against a holder that sends under its old fence after a repeat has taken the order over.
func TestFenceStopsLateHolder(t *testing.T) {
	each(t, true, func(t *testing.T, p pair) {
		p.a.config.ClaimWindow = time.Hour
		p.a.beforeSend = sequence(15 * time.Second)
		done := make(chan *fault.Error, 1)
		go func() {
			_, refused := p.a.call("1", "shirts", 30*time.Second)
			done <- refused
		}()
		synctest.Wait()
		wantRun(t, p.b, "2", false)
		if refused := <-done; refused != nil {
			t.Fatalf("the late holder must replay the result: %v", refused)
		}
		wantExecutions(t, p.server, 1)
	})
}

// Guards against a lost result: it is written in the background, and a caller that goes away does not cancel it.
func TestResultIsWrittenLater(t *testing.T) {
	each(t, false, func(t *testing.T, p pair) {
		p.a.store = storeFaults(memory.FaultNone, memory.FaultUnavailable, memory.FaultUnavailable)
		ctx, cancel := context.WithCancel(as(context.Background(), "1"))
		p.a.beforeSend = func() time.Duration { cancel(); return 0 }
		if _, refused := p.a.Execute(ctx, request("shirts")); refused != nil {
			t.Fatal(refused)
		}
		_, refused := p.b.call("2", "shirts", time.Second)
		wantFault(t, refused, fault.CodeOrderInProgress)
		if p.a.Settle(context.Background()) == nil || p.a.Pending() != 1 {
			t.Fatal("a result that could not be written was dropped")
		}
		if err := p.a.Drain(context.Background()); err != nil || p.a.Pending() != 0 {
			t.Fatalf("drain: %v, %d pending", err, p.a.Pending())
		}
		wantRun(t, p.b, "3", true)
		wantExecutions(t, p.server, 1)
	})
}

// Guards against a result dropped before 24 h and an order that runs again after them.
func TestRetention(t *testing.T) {
	each(t, true, func(t *testing.T, p pair) {
		wantRun(t, p.a, "1", false)
		advance(24*time.Hour - time.Minute)
		wantRun(t, p.b, "2", true)
		advance(2 * time.Minute)
		_, refused := p.b.call("3", "shirts", time.Second)
		wantFault(t, refused, fault.CodeOrderUnknown)
		wantExecutions(t, p.server, 1)
	})
}

// Guards against an answer that is too large for the row, replayed in part or run again.
func TestLargeAnswerIsNotKept(t *testing.T) {
	each(t, false, func(t *testing.T, p pair) {
		p.a.config.MaxResultBytes = 5
		wantRun(t, p.a, "1", false)
		_, refused := p.b.call("2", "shirts", time.Second)
		wantFault(t, refused, fault.CodeOrderUnknown)
		wantExecutions(t, p.server, 1)
	})
}

// Guards against an unbounded list of unwritten results in a long outage.
func TestPendingLimit(t *testing.T) {
	each(t, false, func(t *testing.T, p pair) {
		p.a.pending.limit = 1
		p.a.store = storeFaults(memory.FaultNone, memory.FaultUnavailable)
		wantRun(t, p.a, "1", false)
		_, refused := p.a.call("2", "shirts", time.Second)
		wantFault(t, refused, fault.CodeOrderStoreUnavailable)
	})
}
