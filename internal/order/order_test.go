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

// twoInstances holds two instances that share a table and one backend server, which checks or ignores fencing tokens.
type twoInstances struct {
	a, b   *node
	server *orderServer
}

func newTwoInstances(checks bool) twoInstances {
	table, server := memory.NewTable(), newOrderServer(checks)
	servers := map[string]*orderServer{"s1": server}
	return twoInstances{newNode("a", table, servers), newNode("b", table, servers), server}
}

// withTwoInstances runs the test with two new instances in virtual time.
func withTwoInstances(t *testing.T, checks bool, test func(t *testing.T, p twoInstances)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, newTwoInstances(checks)) })
}

// Guards against an instance that is wrong about holding the claim after a fault of the insert or of the read-back.
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
			withTwoInstances(t, false, func(t *testing.T, p twoInstances) {
				p.a.nextStoreFault = storeFaults(c.faults...)
				_, refused := p.a.executeAs("1", "shirts", 10*time.Second)
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
				p.a.nextStoreFault = nil
				if err := p.a.FlushPending(context.Background()); err != nil {
					t.Fatal(err)
				}
				wantRun(t, p.b, "2", false)
				wantExecutions(t, p.server, 1)
			})
		})
	}
}

// Guards against a holder that is paused and sends after the claim window, and against a key that it blocks for ever.
func TestPausedHolderSendsNothing(t *testing.T) {
	for name, pause := range map[string]func(n *node, d time.Duration){
		"after the claim": func(n *node, d time.Duration) { n.delayAfterPut = sequence(d) },
		"before the send": func(n *node, d time.Duration) { n.delayBeforeSend = sequence(d) },
	} {
		t.Run(name, func(t *testing.T) {
			withTwoInstances(t, false, func(t *testing.T, p twoInstances) {
				pause(p.a, 6*time.Second)
				_, refused := p.a.executeAs("1", "shirts", 20*time.Second)
				wantFault(t, refused, fault.CodeDeadlineExceeded)
				wantExecutions(t, p.server, 0)
				wantRun(t, p.b, "2", false)
				wantExecutions(t, p.server, 1)
			})
		})
	}
}

// Guards against a second execution of one key by a concurrent call or by a call after the first one has ended.
func TestOneKeyAtTwoInstances(t *testing.T) {
	withTwoInstances(t, false, func(t *testing.T, p twoInstances) {
		p.a.delayBeforeSend = sequence(2 * time.Second)
		p.b.delayBeforeSend = sequence(2 * time.Second)
		done := make(chan Response, 2)
		for _, n := range []*node{p.a, p.b} {
			go func() {
				resp, refused := n.executeAs("1", "shirts", 10*time.Second)
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

// Guards against accepting one key for two different orders, and against accepting an empty or overlong key.
func TestIdempotencyKeyRules(t *testing.T) {
	withTwoInstances(t, false, func(t *testing.T, p twoInstances) {
		wantRun(t, p.a, "1", false)
		_, refused := p.b.executeAs("2", "posters", time.Second)
		wantFault(t, refused, fault.CodeIdempotencyKeyReused)
		if refused.Outcome != api.OutcomeNotRun {
			t.Fatal("a reused key must be answered as not_run")
		}
		req := request("shirts")
		req.IdempotencyKey = ""
		_, refused = p.a.Execute(context.Background(), req)
		wantFault(t, refused, fault.CodeIdempotencyKeyRequired)
		req.IdempotencyKey = string(make([]byte, maxIdempotencyKeyBytes+1))
		_, refused = p.a.Execute(context.Background(), req)
		wantFault(t, refused, fault.CodeInvalidRequest)
		wantExecutions(t, p.server, 1)
	})
}

// Guards against an order that was not sent and cannot be claimed again.
func TestAbandonedClaimIsReclaimed(t *testing.T) {
	withTwoInstances(t, false, func(t *testing.T, p twoInstances) {
		p.a.nextLinkFault = sequence(linkRefused)
		_, refused := p.a.executeAs("1", "shirts", time.Second)
		wantFault(t, refused, fault.CodeBackendServerFailed)
		if refused.Outcome != api.OutcomeNotRun {
			t.Fatal("an order that was not sent must be answered as not_run")
		}
		wantRun(t, p.b, "2", false)
		wantExecutions(t, p.server, 1)
	})
}

// Guards against taking over a claim at a server that ignores fencing tokens, and against not taking it over at a server
// that checks them.
func TestUnansweredSend(t *testing.T) {
	for _, failure := range []linkFault{linkRequestLost, linkReplyLost, linkDelayed} {
		withTwoInstances(t, false, func(t *testing.T, p twoInstances) {
			p.a.nextLinkFault = sequence(failure)
			_, refused := p.a.executeAs("1", "shirts", 10*time.Second)
			wantFault(t, refused, fault.CodeOrderUnknown)
			_, refused = p.b.executeAs("2", "shirts", 30*time.Second)
			wantFault(t, refused, fault.CodeOrderInProgress)
			if refused.Outcome != api.OutcomeUnknown {
				t.Fatal("the outcome must stay unknown")
			}
			if got := len(p.server.runsOf(orderKey)); got > 1 {
				t.Fatalf("%d executions", got)
			}
		})
		withTwoInstances(t, true, func(t *testing.T, p twoInstances) {
			p.a.nextLinkFault = sequence(failure)
			if _, refused := p.a.executeAs("1", "shirts", 10*time.Second); refused != nil {
				t.Fatalf("link fault %d: %v", failure, refused)
			}
			wantRun(t, p.b, "2", true)
			advance(time.Minute)
			wantExecutions(t, p.server, 1)
		})
	}
}

// Guards against the outcome not_run after a send without an answer, when a stale read returns the abandoned claim from
// before the send. TestHistoriesAreLinearizable found this failure with seed 835.
func TestNotRunIsNeverReportedAfterSend(t *testing.T) {
	withTwoInstances(t, true, func(t *testing.T, p twoInstances) {
		const none, unavailable = memory.FaultNone, memory.FaultUnavailable
		p.a.nextLinkFault = sequence(linkRefused, linkReplyLost)
		_, refused := p.a.executeAs("1", "shirts", time.Second)
		wantFault(t, refused, fault.CodeBackendServerFailed)
		// Insert, read and claim. After the send: a failed write of the higher fence, the stale read and a failed claim.
		p.a.nextStoreFault = storeFaults(none, none, none, unavailable, memory.FaultStale, unavailable)
		_, refused = p.a.executeAs("2", "shirts", 20*time.Second)
		wantFault(t, refused, fault.CodeOrderUnknown)
		wantRun(t, p.b, "3", true)
		wantExecutions(t, p.server, 1)
	})
}

// Guards against a delayed holder whose send runs under its old fence after another call has taken over the claim.
func TestFenceStopsLateHolder(t *testing.T) {
	withTwoInstances(t, true, func(t *testing.T, p twoInstances) {
		p.a.config.ClaimWindow = time.Hour
		p.a.delayBeforeSend = sequence(15 * time.Second)
		done := make(chan *fault.Error, 1)
		go func() {
			_, refused := p.a.executeAs("1", "shirts", 30*time.Second)
			done <- refused
		}()
		synctest.Wait()
		wantRun(t, p.b, "2", false)
		if refused := <-done; refused != nil {
			t.Fatalf("the delayed holder must replay the result: %v", refused)
		}
		wantExecutions(t, p.server, 1)
	})
}

// Guards against losing a result when the table service is unavailable or the caller disconnects: it must be written later.
func TestResultIsWrittenLater(t *testing.T) {
	withTwoInstances(t, false, func(t *testing.T, p twoInstances) {
		p.a.nextStoreFault = storeFaults(memory.FaultNone, memory.FaultUnavailable, memory.FaultUnavailable)
		ctx, cancel := context.WithCancel(withRequestName(context.Background(), "1"))
		p.a.delayBeforeSend = func() time.Duration { cancel(); return 0 }
		if _, refused := p.a.Execute(ctx, request("shirts")); refused != nil {
			t.Fatal(refused)
		}
		_, refused := p.b.executeAs("2", "shirts", time.Second)
		wantFault(t, refused, fault.CodeOrderInProgress)
		if p.a.FlushPending(context.Background()) == nil || p.a.Pending() != 1 {
			t.Fatal("a result that could not be written was dropped")
		}
		if err := p.a.Drain(context.Background()); err != nil || p.a.Pending() != 0 {
			t.Fatalf("drain: %v, %d pending", err, p.a.Pending())
		}
		wantRun(t, p.b, "3", true)
		wantExecutions(t, p.server, 1)
	})
}

// Guards against a result that is not replayed for 24 h, and against an order that runs again after that time.
func TestRetention(t *testing.T) {
	withTwoInstances(t, true, func(t *testing.T, p twoInstances) {
		wantRun(t, p.a, "1", false)
		advance(24*time.Hour - time.Minute)
		wantRun(t, p.b, "2", true)
		advance(2 * time.Minute)
		_, refused := p.b.executeAs("3", "shirts", time.Second)
		wantFault(t, refused, fault.CodeOrderUnknown)
		wantExecutions(t, p.server, 1)
	})
}

// Guards against replaying a part of an answer that is too large for the row, and against running its order again.
func TestLargeAnswerIsNotKept(t *testing.T) {
	withTwoInstances(t, false, func(t *testing.T, p twoInstances) {
		p.a.config.MaxResultBytes = 5
		wantRun(t, p.a, "1", false)
		_, refused := p.b.executeAs("2", "shirts", time.Second)
		wantFault(t, refused, fault.CodeOrderUnknown)
		wantExecutions(t, p.server, 1)
	})
}

// Guards against an unbounded list of pending writes while the table service is unavailable for long.
func TestPendingLimit(t *testing.T) {
	withTwoInstances(t, false, func(t *testing.T, p twoInstances) {
		p.a.pending.limit = 1
		p.a.nextStoreFault = storeFaults(memory.FaultNone, memory.FaultUnavailable)
		wantRun(t, p.a, "1", false)
		_, refused := p.a.executeAs("2", "shirts", time.Second)
		wantFault(t, refused, fault.CodeOrderStoreUnavailable)
	})
}
