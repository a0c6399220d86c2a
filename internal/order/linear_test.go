package order

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
)

var (
	firstSeed = flag.Uint64("order-seed", 1, "first seed of the order histories")
	seeds     = flag.Uint64("order-seeds", 150, "number of order histories")
)

// observedResult is the result of one call as its caller observed it.
type observedResult struct {
	outcome api.Outcome
	code    fault.Code
	body    string
}

// resultUnseen is the model state of an order that may have run, but whose result no caller has received.
const resultUnseen = "?"

// orderModel is the sequential specification of one key: there is at most one result, and every answer returns it. A call
// with the outcome not_run changes nothing; a call with the outcome unknown may or may not have caused the execution.
func orderModel() porcupine.Model {
	return (&porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, _, output any) []any {
			knownResult, observed := state.(string), output.(observedResult)
			switch observed.outcome {
			case api.OutcomeAnswered:
				if knownResult == "" || knownResult == resultUnseen || knownResult == observed.body {
					return []any{observed.body}
				}
				return nil
			case api.OutcomeNotRun:
				return []any{knownResult}
			}
			if knownResult == "" {
				return []any{"", resultUnseen}
			}
			return []any{knownResult}
		},
		Equal: func(a, b any) bool { return a == b },
	}).ToModel()
}

// history records the calls under one key and their results.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	notRun     map[string]bool
	codes      map[fault.Code]int
}

func (h *history) add(client int, name string, start time.Time, resp Response, refused *fault.Error) {
	out := observedResult{outcome: api.OutcomeAnswered, body: string(resp.Body)}
	if refused != nil {
		out = observedResult{outcome: refused.Outcome, code: refused.Code}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.codes[out.code]++
	if out.outcome == api.OutcomeNotRun {
		h.notRun[name] = true
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: name, Output: out, Call: start.UnixNano(), Return: time.Now().UnixNano()})
}

// faultInjector injects random faults into a node until it is stopped.
type faultInjector struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	stopped bool
}

func (c *faultInjector) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
}

// randomFault returns the zero value in three of four calls, and otherwise one of the values.
func randomFault[T any](c *faultInjector, values ...T) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	var zero T
	if c.stopped || c.rnd.IntN(4) > 0 {
		return zero
	}
	return values[c.rnd.IntN(len(values))]
}

func (c *faultInjector) apply(n *node) {
	n.nextStoreFault = func(op memory.Op) memory.Fault {
		if op == memory.OpPut {
			return randomFault(c, memory.FaultUnavailable, memory.FaultReplyLost, memory.FaultRequestLost)
		}
		return randomFault(c, memory.FaultUnavailable, memory.FaultStale)
	}
	n.nextLinkFault = func() linkFault { return randomFault(c, linkRefused, linkRequestLost, linkReplyLost, linkDelayed) }
	delay := func() time.Duration {
		return randomFault(c, time.Millisecond, 300*time.Millisecond, 3*time.Second, 7*time.Second)
	}
	n.delayBeforeSend, n.delayAfterPut = delay, delay
}

// runHistory lets three callers send one order through three instances under random faults. It then stops the faults and
// sends the order once more through each instance.
func runHistory(seed uint64, checks bool) (*history, *orderServer) {
	table, server := memory.NewTable(), newOrderServer(checks)
	servers := map[string]*orderServer{"s1": server, "s2": server}
	h := &history{notRun: map[string]bool{}, codes: map[fault.Code]int{}}
	var nodes []*node
	var faults []*faultInjector
	for i := range 3 {
		n := newNode(fmt.Sprint("n", i), table, servers)
		n.pickedServer = fmt.Sprint("s", 1+i%2)
		c := &faultInjector{rnd: rand.New(rand.NewPCG(seed, 100+uint64(i)))}
		c.apply(n)
		nodes, faults = append(nodes, n), append(faults, c)
	}
	var callers sync.WaitGroup
	for client := range 3 {
		rnd := rand.New(rand.NewPCG(seed, uint64(client)))
		callers.Go(func() {
			for i := range 4 {
				// The microseconds differ for each call: the order of calls at the same instant would not be deterministic.
				advance(time.Duration(rnd.IntN(4000))*time.Millisecond + time.Duration(1+client*10+i)*time.Microsecond)
				name := fmt.Sprintf("c%d-%d", client, i)
				h.recordCall(nodes[rnd.IntN(len(nodes))], client, name, time.Duration(1+rnd.IntN(12))*time.Second)
				_ = nodes[rnd.IntN(len(nodes))].FlushPending(context.Background())
			}
		})
	}
	callers.Wait()
	for _, c := range faults {
		c.stop()
	}
	advance(time.Minute)
	for _, n := range nodes {
		_ = n.Drain(context.Background())
	}
	for i, n := range nodes {
		h.recordCall(n, 3, fmt.Sprint("last-", i), 20*time.Second)
	}
	return h, server
}

func (h *history) recordCall(n *node, client int, name string, timeout time.Duration) {
	start := time.Now()
	resp, refused := n.executeAs(name, "shirts", timeout)
	h.add(client, name, start, resp, refused)
}

// check returns the first violation in the history, or an empty string.
func (h *history) check(server *orderServer) string {
	runs := server.runsOf(orderKey)
	if len(runs) > 1 {
		return fmt.Sprintf("%d executions: %v", len(runs), runs)
	}
	for _, r := range runs {
		if h.notRun[r.request] {
			return fmt.Sprintf("request %s was answered not_run and caused an execution", r.request)
		}
	}
	if !porcupine.CheckOperations(orderModel(), h.operations) {
		return fmt.Sprintf("not linearizable: %+v", h.operations)
	}
	last := h.operations[len(h.operations)-1].Output.(observedResult)
	if server.checksFencing && last.outcome != api.OutcomeAnswered {
		return fmt.Sprintf("no answer after the faults were stopped: %+v", last)
	}
	return ""
}

// Guards against a second execution, a wrong outcome not_run, differing answers, and orders that never get a result at a
// server that checks fencing tokens. The histories have random faults of the table service and of the link, pauses, and
// concurrent calls under the same key.
func TestHistoriesAreLinearizable(t *testing.T) {
	executions, codes := 0, map[fault.Code]int{}
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		for _, checks := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				h, server := runHistory(seed, checks)
				if problem := h.check(server); problem != "" {
					t.Errorf("seed %d, server checks fencing %v: %s", seed, checks, problem)
				}
				executions += len(server.runsOf(orderKey))
				for code, n := range h.codes {
					codes[code] += n
				}
			})
		}
	}
	t.Logf("seeds %d to %d: %d histories, %d executions, results by code %v", *firstSeed, *firstSeed+*seeds-1, 2**seeds, executions, codes)
	for _, code := range []fault.Code{"", fault.CodeOrderStoreUnavailable, fault.CodeOrderInProgress, fault.CodeOrderUnknown, fault.CodeDeadlineExceeded, fault.CodeBackendServerFailed} {
		if codes[code] == 0 {
			t.Errorf("no history has a result with code %q", code)
		}
	}
}
