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

// shop is a world with one order server, which counts executions and does not recognise repeated keys.
type shop struct {
	*world
	checks   bool
	duration time.Duration
	// refuse is the number of sends that are refused before they start.
	refuse int

	mu         sync.Mutex
	fence      int64
	runs       []string
	result     []byte
	unanswered int
	replies    map[string]string
	notRun     map[string]bool
	callers    sync.WaitGroup
}

// clerk is one instance of the order service.
type clerk struct {
	*instance
	*order.Service
	shop *shop

	mu      sync.Mutex
	claimed time.Time
}

type requestName struct{}

func newShop(w *world, checks bool) *shop {
	return &shop{world: w, checks: checks, duration: 100 * time.Millisecond, replies: map[string]string{}, notRun: map[string]bool{}}
}

func (s *shop) clerk(name string) *clerk {
	c := &clerk{instance: s.node(name), shop: s}
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

// Put notes when the instance starts to claim.
func (c *clerk) Put(ctx context.Context, key string, value []byte, cond platform.Condition) (int64, error) {
	var claim api.OrderClaim
	if json.Unmarshal(value, &claim) == nil && claim.State == api.ClaimClaimed {
		c.mu.Lock()
		c.claimed = time.Now()
		c.mu.Unlock()
		if c.w.run.Broken("claim is not written") {
			return 1, nil
		}
	}
	return c.instance.Put(ctx, key, value, cond)
}

func (c *clerk) Pick(string, string) (order.Server, *fault.Error) {
	return order.Server{ID: "s1", ChecksFencing: c.shop.checks}, nil
}

func (c *clerk) Server(id string) (order.Server, bool) {
	return order.Server{ID: id, ChecksFencing: c.shop.checks}, true
}

// Send checks the deadline as a dispatcher must. A pause after the check is the remaining window.
func (c *clerk) Send(ctx context.Context, send order.Send) order.SendResult {
	c.local("before-send")
	if c.isDead() || !time.Now().Before(send.SendBefore) || c.shop.refused() {
		return order.SendResult{Err: errors.New("not sent")}
	}
	c.mu.Lock()
	age := time.Since(c.claimed)
	c.mu.Unlock()
	if age > claimWindow {
		c.w.run.Failf("instance %s sends %v after the start of its claim", c.name, age)
	}
	reply, v := c.call(ctx, toServer, "send", func() any { return c.shop.execute(ctx, send) })
	if v == done {
		return reply.(order.SendResult)
	}
	c.shop.mu.Lock()
	defer c.shop.mu.Unlock()
	c.shop.unanswered++
	return order.SendResult{Sent: !c.w.run.Broken("unanswered send counts as unsent"), Err: errors.New("no answer")}
}

func (s *shop) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse--
	return s.refuse >= 0
}

func (s *shop) execute(ctx context.Context, send order.Send) order.SendResult {
	s.mu.Lock()
	if s.checks && send.Fence < s.fence && !s.run.Broken("server ignores fences") {
		s.mu.Unlock()
		return order.SendResult{Sent: true, StaleFence: true}
	}
	s.fence = max(s.fence, send.Fence)
	name, _ := ctx.Value(requestName{}).(string)
	s.runs = append(s.runs, name)
	s.mu.Unlock()
	advance(s.duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result = []byte(fmt.Sprintf("run %d", len(s.runs)))
	return order.SendResult{Sent: true, Answered: true, Status: 201, Body: s.result}
}

// RaiseFence implements order.Dispatcher.
func (c *clerk) RaiseFence(ctx context.Context, raise order.FenceRaise) (order.FenceResult, error) {
	reply, v := c.call(ctx, toServer, "fence", func() any { return c.shop.raise(raise) })
	if v != done {
		return order.FenceResult{}, errors.New("no answer")
	}
	return reply.(order.FenceResult), nil
}

func (s *shop) raise(raise order.FenceRaise) order.FenceResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs) > 0 {
		result := order.FenceResult{Ran: true, Body: s.result}
		if s.result != nil {
			result.Status = 201
		}
		return result
	}
	s.fence = max(s.fence, raise.Fence)
	return order.FenceResult{}
}

// order sends the order through the instance after a delay.
func (s *shop) order(c *clerk, name string, after, limit time.Duration) {
	s.callers.Go(func() {
		advance(after)
		ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), requestName{}, name), limit)
		defer cancel()
		resp, refused := c.Execute(ctx, order.Request{Organisation: "o", Service: "print", IdempotencyKey: "k", Method: "POST", Path: "/runs"})
		if c.isDead() {
			return // its caller sees a closed connection
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if refused == nil {
			s.replies[name] = string(resp.Body)
			return
		}
		s.notRun[name] = refused.Outcome == api.OutcomeNotRun
	})
}

// trade sends one order through two instances, repeats it and checks the invariants.
func (s *shop) trade() {
	a, b, c := s.clerk("a"), s.clerk("b"), s.clerk("c")
	s.order(a, "1", 0, 10*time.Second)
	s.order(b, "2", time.Second, 50*time.Second)
	s.order(a, "3", time.Minute, 20*time.Second)
	s.order(c, "last", 150*time.Second, 20*time.Second)
	s.callers.Wait()
	s.settle()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs) > 1 {
		s.run.Failf("%d executions of one order, by requests %v (server checks fencing: %v)", len(s.runs), s.runs, s.checks)
	}
	for _, name := range s.runs {
		if s.notRun[name] {
			s.run.Failf("request %s was answered not_run and caused an execution", name)
		}
	}
	for name, body := range s.replies {
		if body != s.replies["last"] && s.replies["last"] != "" {
			s.run.Failf("request %s was answered %q, the last one %q", name, body, s.replies["last"])
		}
	}
	mayStayUnknown := !s.checks && (a.isDead() || s.unanswered > 0)
	if s.replies["last"] == "" && !mayStayUnknown {
		s.run.Stuckf("the order is still without an answer after all faults (server checks fencing: %v)", s.checks)
	}
}

// orderRow returns a row whose fault hits the nth call of an operation by an instance.
func orderRow(step, name, op string, nth int, prepare func(s *shop), prelude ...injection) Row {
	return Row{Path: "order", Step: step, Check: func(r *Run) {
		for _, checks := range []bool{false, true} {
			variants(r, name, op, nth, func(w *world) {
				s := newShop(w, checks)
				if prepare != nil {
					prepare(s)
				}
				s.trade()
			}, prelude...)
		}
	}}
}

// except exempts columns for one reason.
func (r Row) except(reason string, columns ...Column) Row {
	for _, column := range columns {
		r.Exempt = append(r.Exempt, Exemption{Column: column, Reason: reason})
	}
	return r
}

const (
	reasonNoCall    = "the step makes no call"
	reasonOneSend   = "a send is one request on one connection; the adapter must not let net/http repeat it (docs/decisions/orders.md)"
	reasonRead      = "a read has no effect that could outlive its reply; a lost reply is the same as a partition"
	reasonTwoReads  = "a read that arrives twice has no effect"
	reasonNoReading = "the step does not depend on a read of the table service"
)

func init() {
	claimantDies := injection{instance: "a", op: "put:order", nth: 1, fault: Kill, late: true}
	register(
		orderRow("claim", "a", "put:order", 1, nil),
		orderRow("read back the claim", "a", "get:order", 1, nil, injection{instance: "a", op: "put:order", nth: 1, fault: ReplyLost}).
			except(reasonRead, ReplyLost).except(reasonTwoReads, Duplicate),
		orderRow("before the send", "a", "before-send", 1, nil).
			except(reasonNoCall, PartitionOneWay, PartitionBothWays, Slow, ReplyLost, StoreUnavailable, Duplicate, StaleRead),
		orderRow("send", "a", "send", 1, nil).except(reasonOneSend, Duplicate),
		orderRow("record the result", "a", "put:order", 2, nil),
		orderRow("write the result later", "a", "put:order", 3, nil, injection{instance: "a", op: "put:order", nth: 2, fault: StoreUnavailable}),
		orderRow("abandon", "a", "put:order", 2, func(s *shop) { s.refuse = 1 }),
		orderRow("wait for the result", "b", "get:order", 2, func(s *shop) { s.duration = 3 * time.Second }).
			except(reasonRead, ReplyLost).except(reasonTwoReads, Duplicate),
		orderRow("raise the fence in the row", "b", "put:order", 2, func(s *shop) { s.checks = true }, claimantDies),
		orderRow("raise the fence at the server", "b", "fence", 1, func(s *shop) { s.checks = true }, claimantDies),
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
