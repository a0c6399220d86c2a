package order

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
)

// advance lets virtual time pass.
func advance(d time.Duration) { <-time.After(d) }

type callerKey struct{}

// as marks the context with the name of the request, so that an execution can be traced to the request that caused it.
func as(ctx context.Context, request string) context.Context {
	return context.WithValue(ctx, callerKey{}, request)
}

// orderServer is a fake backend server that counts executions. It does not recognise repeated keys by itself.
type orderServer struct {
	checks bool

	mu     sync.Mutex
	fences map[string]int64
	runs   map[string][]run
}

type run struct {
	request string
	body    string
}

func newOrderServer(checks bool) *orderServer {
	return &orderServer{checks: checks, fences: map[string]int64{}, runs: map[string][]run{}}
}

func (o *orderServer) execute(ctx context.Context, send Send) SendResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checks && send.Fence < o.fences[send.OrderKey] {
		return SendResult{Sent: true, StaleFence: true}
	}
	o.fences[send.OrderKey] = send.Fence
	name, _ := ctx.Value(callerKey{}).(string)
	r := run{request: name, body: fmt.Sprintf("run %d of %s by %s", len(o.runs[send.OrderKey])+1, send.Body, name)}
	o.runs[send.OrderKey] = append(o.runs[send.OrderKey], r)
	return SendResult{Sent: true, Answered: true, Status: 201, ContentType: "text/plain", Body: []byte(r.body)}
}

func (o *orderServer) raise(raise FenceRaise) FenceResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	if runs := o.runs[raise.OrderKey]; len(runs) > 0 {
		return FenceResult{Ran: true, Status: 201, ContentType: "text/plain", Body: []byte(runs[0].body)}
	}
	o.fences[raise.OrderKey] = max(o.fences[raise.OrderKey], raise.Fence)
	return FenceResult{}
}

func (o *orderServer) executions(key string) []run {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]run(nil), o.runs[key]...)
}

// linkFault is what happens to one call to a backend server.
type linkFault int

const (
	linkFine linkFault = iota
	linkRefused
	linkRequestLost
	linkReplyLost
	linkLate // the request arrives after the caller gave up
)

// node is one instance: its links to the table service and to the backend servers.
type node struct {
	*Service
	platform.Table
	servers map[string]*orderServer
	pick    string
	// store and link choose the fault of one call; beforeSend and afterPut delay.
	store      func(op memory.Op) memory.Fault
	link       func() linkFault
	beforeSend func() time.Duration
	afterPut   func() time.Duration
}

func newNode(name string, table *memory.Table, servers map[string]*orderServer) *node {
	n := &node{servers: servers, pick: "s1"}
	n.Table = table.View(func(op memory.Op, _ string) memory.Fault {
		if n.store == nil {
			return memory.FaultNone
		}
		return n.store(op)
	})
	var ids atomic.Int64
	n.Service = New(Config{Table: n, Dispatcher: n, Servers: n, Incarnation: name, NewID: func() string {
		return fmt.Sprintf("%s-%d", name, ids.Add(1))
	}})
	return n
}

func (n *node) Put(ctx context.Context, key string, value []byte, cond platform.Condition) (int64, error) {
	version, err := n.Table.Put(ctx, key, value, cond)
	if n.afterPut != nil {
		advance(n.afterPut())
	}
	return version, err
}

func (n *node) Pick(string, string) (Server, *fault.Error) {
	server, _ := n.Server(n.pick)
	return server, nil
}

func (n *node) Server(id string) (Server, bool) {
	server, ok := n.servers[id]
	if !ok {
		return Server{}, false
	}
	return Server{ID: id, ChecksFencing: server.checks}, true
}

func (n *node) linkFault() linkFault {
	if n.link == nil {
		return linkFine
	}
	return n.link()
}

// Send checks the deadline, as a dispatcher must, and then makes the call; the delay before it stands for a pause of the process.
func (n *node) Send(ctx context.Context, send Send) SendResult {
	if n.beforeSend != nil {
		advance(n.beforeSend())
	}
	if !time.Now().Before(send.SendBefore) {
		return SendResult{Err: errors.New("too late to send")}
	}
	if ctx.Err() != nil {
		return SendResult{Err: ctx.Err()}
	}
	server := n.servers[send.Server.ID]
	switch n.linkFault() {
	case linkRefused:
		return SendResult{Err: errors.New("connection refused")}
	case linkRequestLost:
		advance(time.Second)
		return SendResult{Sent: true, Err: errors.New("connection reset")}
	case linkReplyLost:
		server.execute(ctx, send)
		return SendResult{Sent: true, Err: errors.New("connection reset")}
	case linkLate:
		go func() {
			advance(20 * time.Second)
			server.execute(ctx, send)
		}()
		return SendResult{Sent: true, Err: errors.New("timeout")}
	}
	return server.execute(ctx, send)
}

func (n *node) Fence(_ context.Context, raise FenceRaise) (FenceResult, error) {
	switch n.linkFault() {
	case linkRefused, linkRequestLost, linkLate:
		return FenceResult{}, errors.New("connection reset")
	case linkReplyLost:
		n.servers[raise.Server.ID].raise(raise)
		return FenceResult{}, errors.New("connection reset")
	}
	return n.servers[raise.Server.ID].raise(raise), nil
}

const orderKey = "order/o/print/k"

func request(body string) Request {
	return Request{Organisation: "o", Service: "print", IdempotencyKey: "k", Method: "POST", Path: "/runs", Body: []byte(body)}
}

// call executes one request with a deadline.
func (n *node) call(name, body string, limit time.Duration) (Response, *fault.Error) {
	ctx, cancel := context.WithTimeout(as(context.Background(), name), limit)
	defer cancel()
	return n.Execute(ctx, request(body))
}

func wantRun(t *testing.T, n *node, name string, replayed bool) {
	t.Helper()
	resp, refused := n.call(name, "shirts", 20*time.Second)
	if refused != nil {
		t.Fatal(refused)
	}
	if resp.Replayed != replayed || resp.Status != 201 {
		t.Fatalf("answer %d %q, replayed %v, want %v", resp.Status, resp.Body, resp.Replayed, replayed)
	}
}

func wantFault(t *testing.T, refused *fault.Error, code fault.Code) {
	t.Helper()
	if refused == nil || refused.Code != code {
		t.Fatalf("got %v, want %s", refused, code)
	}
}

func wantExecutions(t *testing.T, o *orderServer, want int) {
	t.Helper()
	if got := len(o.executions(orderKey)); got != want {
		t.Fatalf("%d executions, want %d", got, want)
	}
}

// sequence returns a hook that yields the values one after the other, then the zero value.
func sequence[T any](values ...T) func() T {
	return func() T {
		var next T
		if len(values) > 0 {
			next, values = values[0], values[1:]
		}
		return next
	}
}

// storeFaults returns a hook that yields the faults for writes and reads one after the other.
func storeFaults(faults ...memory.Fault) func(memory.Op) memory.Fault {
	next := sequence(faults...)
	return func(memory.Op) memory.Fault { return next() }
}
