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

// reply is what one caller saw.
type reply struct {
	outcome api.Outcome
	code    fault.Code
	body    string
}

// ranUnseen is the state of an order that may have run, but whose result nobody has seen.
const ranUnseen = "?"

// orderModel is the specification of one key: at most one result, which every answer repeats. A reply not_run changes
// nothing; a reply unknown may or may not have caused the one execution.
func orderModel() porcupine.Model {
	return (&porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, _, output any) []any {
			seen, out := state.(string), output.(reply)
			switch out.outcome {
			case api.OutcomeAnswered:
				if seen == "" || seen == ranUnseen || seen == out.body {
					return []any{out.body}
				}
				return nil
			case api.OutcomeNotRun:
				return []any{seen}
			}
			if seen == "" {
				return []any{"", ranUnseen}
			}
			return []any{seen}
		},
		Equal: func(a, b any) bool { return a == b },
	}).ToModel()
}

// history is a record of calls under one key.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	notRun     map[string]bool
	codes      map[fault.Code]int
}

func (h *history) add(client int, name string, start time.Time, resp Response, refused *fault.Error) {
	out := reply{outcome: api.OutcomeAnswered, body: string(resp.Body)}
	if refused != nil {
		out = reply{outcome: refused.Outcome, code: refused.Code}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.codes[out.code]++
	if out.outcome == api.OutcomeNotRun {
		h.notRun[name] = true
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: name, Output: out, Call: start.UnixNano(), Return: time.Now().UnixNano()})
}

// chaos sets random faults on a node until it is turned off.
type chaos struct {
	mu  sync.Mutex
	rnd *rand.Rand
	off bool
}

func (c *chaos) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.off = true
}

// pick returns one of the values, the zero value most of the time.
func pick[T any](c *chaos, values ...T) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	var zero T
	if c.off || c.rnd.IntN(4) > 0 {
		return zero
	}
	return values[c.rnd.IntN(len(values))]
}

func (c *chaos) apply(n *node) {
	n.store = func(op memory.Op) memory.Fault {
		if op == memory.OpPut {
			return pick(c, memory.FaultUnavailable, memory.FaultReplyLost, memory.FaultRequestLost)
		}
		return pick(c, memory.FaultUnavailable, memory.FaultStale)
	}
	n.link = func() linkFault { return pick(c, linkRefused, linkRequestLost, linkReplyLost, linkLate) }
	delay := func() time.Duration {
		return pick(c, time.Millisecond, 300*time.Millisecond, 3*time.Second, 7*time.Second)
	}
	n.beforeSend, n.afterPut = delay, delay
}

// runHistory lets three callers send one order through three instances under random faults, then heals them and repeats.
func runHistory(seed uint64, checks bool) (*history, *orderServer) {
	table, server := memory.NewTable(), newOrderServer(checks)
	servers := map[string]*orderServer{"s1": server, "s2": server}
	h := &history{notRun: map[string]bool{}, codes: map[fault.Code]int{}}
	var nodes []*node
	var faults []*chaos
	for i := range 3 {
		n := newNode(fmt.Sprint("n", i), table, servers)
		n.pick = fmt.Sprint("s", 1+i%2)
		c := &chaos{rnd: rand.New(rand.NewPCG(seed, 100+uint64(i)))}
		c.apply(n)
		nodes, faults = append(nodes, n), append(faults, c)
	}
	var callers sync.WaitGroup
	for client := range 3 {
		rnd := rand.New(rand.NewPCG(seed, uint64(client)))
		callers.Go(func() {
			for i := range 4 {
				// The part in microseconds keeps callers from acting at the same instant, where their order is not determined.
				advance(time.Duration(rnd.IntN(4000))*time.Millisecond + time.Duration(1+client*10+i)*time.Microsecond)
				name := fmt.Sprintf("c%d-%d", client, i)
				h.call(nodes[rnd.IntN(len(nodes))], client, name, time.Duration(1+rnd.IntN(12))*time.Second)
				_ = nodes[rnd.IntN(len(nodes))].Settle(context.Background())
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
		h.call(n, 3, fmt.Sprint("last-", i), 20*time.Second)
	}
	return h, server
}

func (h *history) call(n *node, client int, name string, limit time.Duration) {
	start := time.Now()
	resp, refused := n.call(name, "shirts", limit)
	h.add(client, name, start, resp, refused)
}

// check reports what is wrong with a history; empty if nothing is.
func (h *history) check(server *orderServer) string {
	runs := server.executions(orderKey)
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
	last := h.operations[len(h.operations)-1].Output.(reply)
	if server.checks && last.outcome != api.OutcomeAnswered {
		return fmt.Sprintf("no answer after all faults were healed: %+v", last)
	}
	return ""
}

// Guards against a second execution, a false not_run, answers that differ, and orders that stay stuck at a server that
// checks fencing numbers, under random faults of the table service and the link, pauses and concurrent repeats.
func TestHistoriesAreLinearizable(t *testing.T) {
	executions, codes := 0, map[fault.Code]int{}
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		for _, checks := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				h, server := runHistory(seed, checks)
				if problem := h.check(server); problem != "" {
					t.Errorf("seed %d, server checks fencing %v: %s", seed, checks, problem)
				}
				executions += len(server.executions(orderKey))
				for code, n := range h.codes {
					codes[code] += n
				}
			})
		}
	}
	t.Logf("seeds %d to %d: %d histories, %d executions, replies by code %v", *firstSeed, *firstSeed+*seeds-1, 2**seeds, executions, codes)
	for _, code := range []fault.Code{"", fault.CodeOrderStoreUnavailable, fault.CodeOrderInProgress, fault.CodeOrderUnknown, fault.CodeDeadlineExceeded, fault.CodeBackendServerFailed} {
		if codes[code] == 0 {
			t.Errorf("no history has a reply with code %q", code)
		}
	}
}
