package matrix

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/order"
	"github.com/cicadawall/cicadawall/internal/platform"
)

const claimWindow = 5 * time.Second

// orderWorld is a world with one order server. The server counts executions and does not detect repeated idempotency keys.
type orderWorld struct {
	*world
	checksFence bool
	duration    time.Duration
	// refusalsLeft is the number of sends that are still to be refused before they reach the server.
	refusalsLeft int

	mu              sync.Mutex
	fence           int64
	executions      []string
	result          []byte
	unansweredSends int
	replies         map[string]string
	answeredNotRun  map[string]bool
	callers         sync.WaitGroup
}

// orderInstance is an instance that runs the order service.
type orderInstance struct {
	*instance
	*order.Service
	orderWorld *orderWorld

	mu         sync.Mutex
	claimStart time.Time
}

type requestNameKey struct{}

func newOrderWorld(w *world, checksFence bool) *orderWorld {
	return &orderWorld{world: w, checksFence: checksFence, duration: 100 * time.Millisecond, replies: map[string]string{}, answeredNotRun: map[string]bool{}}
}

func (s *orderWorld) startInstance(name string) *orderInstance {
	c := &orderInstance{instance: s.node(name), orderWorld: s}
	config := order.Config{Table: c, Dispatcher: c, Servers: c, Incarnation: name}
	if s.run.Broken("deadline is ignored") {
		config.ClaimWindow = time.Hour
	}
	c.Service = order.New(config)
	if !s.run.Broken("unwritten results are forgotten") {
		c.every(time.Second, func(ctx context.Context) { _ = c.FlushPending(ctx) })
	}
	return c
}

// Put records the start of the claim.
func (c *orderInstance) Put(ctx context.Context, key string, value []byte, cond platform.Condition) (int64, error) {
	var claim api.OrderClaim
	if json.Unmarshal(value, &claim) == nil && claim.State == api.ClaimClaimed {
		c.mu.Lock()
		c.claimStart = time.Now()
		c.mu.Unlock()
		if c.w.run.Broken("claim is not written") {
			return 1, nil
		}
	}
	return c.instance.Put(ctx, key, value, cond)
}

func (c *orderInstance) Pick(string, string) (order.Server, *fault.Error) {
	return order.Server{ID: "s1", ChecksFencing: c.orderWorld.checksFence}, nil
}

func (c *orderInstance) Server(id string) (order.Server, bool) {
	return order.Server{ID: id, ChecksFencing: c.orderWorld.checksFence}, true
}

// Send checks the deadline SendBefore, as every dispatcher must. A pause between this check and the send remains possible.
func (c *orderInstance) Send(ctx context.Context, send order.Send) order.SendResult {
	c.local("before-send")
	if c.isDead() || !time.Now().Before(send.SendBefore) || c.orderWorld.refuseSend() {
		return order.SendResult{Err: errors.New("order was not sent")}
	}
	c.mu.Lock()
	age := time.Since(c.claimStart)
	c.mu.Unlock()
	if age > claimWindow {
		c.w.run.Failf("instance %s sent the order %v after the start of its claim", c.name, age)
	}
	reply, v := c.call(ctx, toServer, "send", func() any { return c.orderWorld.execute(ctx, send) })
	if v == done {
		return reply.(order.SendResult)
	}
	c.orderWorld.mu.Lock()
	defer c.orderWorld.mu.Unlock()
	c.orderWorld.unansweredSends++
	return order.SendResult{Sent: !c.w.run.Broken("unanswered send counts as unsent"), Err: errors.New("server did not answer")}
}

// refuseSend reports whether this send is to be refused, and counts it.
func (s *orderWorld) refuseSend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusalsLeft--
	return s.refusalsLeft >= 0
}

// execute runs the order at the server, unless the server checks fencing tokens and the token is stale.
func (s *orderWorld) execute(ctx context.Context, send order.Send) order.SendResult {
	s.mu.Lock()
	if s.checksFence && send.Fence < s.fence && !s.run.Broken("server ignores fences") {
		s.mu.Unlock()
		return order.SendResult{Sent: true, StaleFence: true}
	}
	s.fence = max(s.fence, send.Fence)
	name, _ := ctx.Value(requestNameKey{}).(string)
	s.executions = append(s.executions, name)
	s.mu.Unlock()
	advance(s.duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result = []byte(fmt.Sprintf("run %d", len(s.executions)))
	return order.SendResult{Sent: true, Answered: true, Status: 201, Body: s.result}
}

// RaiseFence implements order.Dispatcher.
func (c *orderInstance) RaiseFence(ctx context.Context, raise order.FenceRaise) (order.FenceResult, error) {
	reply, v := c.call(ctx, toServer, "fence", func() any { return c.orderWorld.raiseFence(raise) })
	if v != done {
		return order.FenceResult{}, errors.New("server did not answer")
	}
	return reply.(order.FenceResult), nil
}

// raiseFence raises the server's fencing token, unless an execution has started; then it returns the result of that execution.
func (s *orderWorld) raiseFence(request order.FenceRaise) order.FenceResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.executions) > 0 {
		result := order.FenceResult{Ran: true, Body: s.result}
		if s.result != nil {
			result.Status = 201
		}
		return result
	}
	s.fence = max(s.fence, request.Fence)
	return order.FenceResult{}
}

// submitOrder sends the order through the instance after a delay and records the reply under the name of the request.
func (s *orderWorld) submitOrder(c *orderInstance, name string, delay, timeout time.Duration) {
	s.callers.Go(func() {
		advance(delay)
		ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), requestNameKey{}, name), timeout)
		defer cancel()
		resp, refused := c.Execute(ctx, order.Request{Organisation: "o", Service: "print", IdempotencyKey: "k", Method: "POST", Path: "/runs"})
		if c.isDead() {
			return // the caller sees a closed connection
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if refused == nil {
			s.replies[name] = string(resp.Body)
			return
		}
		s.answeredNotRun[name] = refused.Outcome == api.OutcomeNotRun
	})
}

// runOrder sends one order through two instances, repeats it through a and c, and checks the invariants.
func (s *orderWorld) runOrder() {
	a, b, c := s.startInstance("a"), s.startInstance("b"), s.startInstance("c")
	s.submitOrder(a, "1", 0, 10*time.Second)
	s.submitOrder(b, "2", time.Second, 50*time.Second)
	s.submitOrder(a, "3", time.Minute, 20*time.Second)
	s.submitOrder(c, "last", 150*time.Second, 20*time.Second)
	s.callers.Wait()
	s.settle()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.executions) > 1 {
		s.run.Failf("one order was executed %d times, by requests %v (server checks fencing tokens: %v)", len(s.executions), s.executions, s.checksFence)
	}
	for _, name := range s.executions {
		if s.answeredNotRun[name] {
			s.run.Failf("request %s was answered not_run although it caused an execution", name)
		}
	}
	for name, body := range s.replies {
		if body != s.replies["last"] && s.replies["last"] != "" {
			s.run.Failf("request %s was answered %q, but the last request %q", name, body, s.replies["last"])
		}
	}
	mayStayUnknown := !s.checksFence && (a.isDead() || s.unansweredSends > 0)
	if s.replies["last"] == "" && !mayStayUnknown {
		s.run.FailLivenessf("the order still has no answer after all faults (server checks fencing tokens: %v)", s.checksFence)
	}
}

// orderRow returns a row of the path "order" whose fault starts at the nth call of an operation by an instance. It runs with a
// server that checks fencing tokens and with a server that does not.
func orderRow(step, instanceName, op string, nth int, setup func(s *orderWorld), priorFaults ...injection) Row {
	return Row{Path: "order", Step: step, Check: func(r *Run) {
		for _, checksFence := range []bool{false, true} {
			variants(r, instanceName, op, nth, func(w *world) {
				s := newOrderWorld(w, checksFence)
				if setup != nil {
					setup(s)
				}
				s.runOrder()
			}, priorFaults...)
		}
	}}
}

// except returns the row with the columns exempted for the reason.
func (r Row) except(reason string, columns ...Column) Row {
	for _, column := range columns {
		r.Exempt = append(r.Exempt, Exemption{Column: column, Reason: reason})
	}
	return r
}

const (
	reasonNoCall    = "the step makes no call"
	reasonOneSend   = "a send is one request on one connection, so it cannot arrive twice; the adapter must not let net/http repeat it (docs/decisions/orders.md)"
	reasonRead      = "a read has no effect that could outlast its reply, so a lost reply is the same as a partition"
	reasonTwoReads  = "a read that arrives twice has no effect"
	reasonNoReading = "the step does not depend on a read of the table service"
)

func init() {
	claimantDies := injection{instance: "a", op: "put:order", nth: 1, fault: Kill, afterEffect: true}
	register(
		orderRow("claim", "a", "put:order", 1, nil),
		orderRow("read back the claim", "a", "get:order", 1, nil, injection{instance: "a", op: "put:order", nth: 1, fault: ReplyLost}).
			except(reasonRead, ReplyLost).except(reasonTwoReads, Duplicate),
		orderRow("before the send", "a", "before-send", 1, nil).
			except(reasonNoCall, PartitionOneWay, PartitionBothWays, Slow, ReplyLost, StoreUnavailable, Duplicate, StaleRead),
		orderRow("send", "a", "send", 1, nil).except(reasonOneSend, Duplicate),
		orderRow("record the result", "a", "put:order", 2, nil),
		orderRow("write the result later", "a", "put:order", 3, nil, injection{instance: "a", op: "put:order", nth: 2, fault: StoreUnavailable}),
		orderRow("abandon", "a", "put:order", 2, func(s *orderWorld) { s.refusalsLeft = 1 }),
		orderRow("wait for the result", "b", "get:order", 2, func(s *orderWorld) { s.duration = 3 * time.Second }).
			except(reasonRead, ReplyLost).except(reasonTwoReads, Duplicate),
		orderRow("raise the fence in the row", "b", "put:order", 2, func(s *orderWorld) { s.checksFence = true }, claimantDies),
		orderRow("raise the fence at the server", "b", "fence", 1, func(s *orderWorld) { s.checksFence = true }, claimantDies),
	)
	registerMutants(
		Mutant{"claim is not written", red("order: claim", PauseResume, Slow, Duplicate)},
		Mutant{"lost replies count as written", red("order: claim", PartitionBothWays)},
		Mutant{"unconditional writes", red("order: claim", PauseResume, ReplyLost)},
		Mutant{"deadline is ignored", red("order: before the send", PauseResume)},
		Mutant{"unanswered send counts as unsent", red("order: send", ReplyLost, PartitionOneWay)},
		Mutant{"server ignores fences", red("order: send", PauseResume)},
		Mutant{"unwritten results are forgotten", red("order: record the result", StoreUnavailable)},
	)
}
