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

// advance waits for the duration of virtual time.
func advance(d time.Duration) { <-time.After(d) }

type requestNameKey struct{}

// withRequestName stores the name of the request in the context, so that an execution can be traced to the request that
// caused it.
func withRequestName(ctx context.Context, request string) context.Context {
	return context.WithValue(ctx, requestNameKey{}, request)
}

// orderServer is a fake backend server that records executions by order key. It runs an order again if the key is repeated,
// unless it checks fencing tokens and the fence is too low.
type orderServer struct {
	checksFencing bool

	mu        sync.Mutex
	fences    map[string]int64
	runsByKey map[string][]run
}

// run is one execution of an order at the server.
type run struct {
	request string
	body    string
}

func newOrderServer(checks bool) *orderServer {
	return &orderServer{checksFencing: checks, fences: map[string]int64{}, runsByKey: map[string][]run{}}
}

func (o *orderServer) execute(ctx context.Context, send Send) SendResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checksFencing && send.Fence < o.fences[send.OrderKey] {
		return SendResult{Sent: true, StaleFence: true}
	}
	o.fences[send.OrderKey] = send.Fence
	name, _ := ctx.Value(requestNameKey{}).(string)
	r := run{request: name, body: fmt.Sprintf("run %d of %s by %s", len(o.runsByKey[send.OrderKey])+1, send.Body, name)}
	o.runsByKey[send.OrderKey] = append(o.runsByKey[send.OrderKey], r)
	return SendResult{Sent: true, Answered: true, Status: 201, ContentType: "text/plain", Body: []byte(r.body)}
}

func (o *orderServer) raiseFence(raise FenceRaise) FenceResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	if runs := o.runsByKey[raise.OrderKey]; len(runs) > 0 {
		return FenceResult{Ran: true, Status: 201, ContentType: "text/plain", Body: []byte(runs[0].body)}
	}
	o.fences[raise.OrderKey] = max(o.fences[raise.OrderKey], raise.Fence)
	return FenceResult{}
}

func (o *orderServer) runsOf(key string) []run {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]run(nil), o.runsByKey[key]...)
}

// linkFault is a fault of the network link in one call to a backend server.
type linkFault int

const (
	linkOK linkFault = iota
	linkRefused
	linkRequestLost
	linkReplyLost
	linkDelayed // the request arrives after the caller gave up
)

// node is one instance of the service, with fault hooks for its calls to the table service and to the backend servers.
type node struct {
	*Service
	platform.Table
	servers      map[string]*orderServer
	pickedServer string
	// nextStoreFault and nextLinkFault return the fault of the next call; delayBeforeSend and delayAfterPut return how long to
	// wait at that point.
	nextStoreFault  func(op memory.Op) memory.Fault
	nextLinkFault   func() linkFault
	delayBeforeSend func() time.Duration
	delayAfterPut   func() time.Duration
}

func newNode(name string, table *memory.Table, servers map[string]*orderServer) *node {
	n := &node{servers: servers, pickedServer: "s1"}
	n.Table = table.View(func(op memory.Op, _ string) memory.Fault {
		if n.nextStoreFault == nil {
			return memory.FaultNone
		}
		return n.nextStoreFault(op)
	})
	var ids atomic.Int64
	n.Service = New(Config{Table: n, Dispatcher: n, Servers: n, Incarnation: name, NewID: func() string {
		return fmt.Sprintf("%s-%d", name, ids.Add(1))
	}})
	return n
}

func (n *node) Put(ctx context.Context, key string, value []byte, cond platform.Condition) (int64, error) {
	version, err := n.Table.Put(ctx, key, value, cond)
	if n.delayAfterPut != nil {
		advance(n.delayAfterPut())
	}
	return version, err
}

func (n *node) Pick(string, string) (Server, *fault.Error) {
	server, _ := n.Server(n.pickedServer)
	return server, nil
}

func (n *node) Server(id string) (Server, bool) {
	server, ok := n.servers[id]
	if !ok {
		return Server{}, false
	}
	return Server{ID: id, ChecksFencing: server.checksFencing}, true
}

func (n *node) linkFault() linkFault {
	if n.nextLinkFault == nil {
		return linkOK
	}
	return n.nextLinkFault()
}

// Send checks SendBefore, as every dispatcher must, and then makes the call. The delay before the check simulates a pause of
// the process.
func (n *node) Send(ctx context.Context, send Send) SendResult {
	if n.delayBeforeSend != nil {
		advance(n.delayBeforeSend())
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
	case linkDelayed:
		go func() {
			advance(20 * time.Second)
			server.execute(ctx, send)
		}()
		return SendResult{Sent: true, Err: errors.New("timeout")}
	}
	return server.execute(ctx, send)
}

func (n *node) RaiseFence(_ context.Context, raise FenceRaise) (FenceResult, error) {
	switch n.linkFault() {
	case linkRefused, linkRequestLost, linkDelayed:
		return FenceResult{}, errors.New("connection reset")
	case linkReplyLost:
		n.servers[raise.Server.ID].raiseFence(raise)
		return FenceResult{}, errors.New("connection reset")
	}
	return n.servers[raise.Server.ID].raiseFence(raise), nil
}

const orderKey = "order/o/print/k"

func request(body string) Request {
	return Request{Organisation: "o", Service: "print", IdempotencyKey: "k", Method: "POST", Path: "/runs", Body: []byte(body)}
}

// executeAs executes the request under a name and with a timeout.
func (n *node) executeAs(name, body string, timeout time.Duration) (Response, *fault.Error) {
	ctx, cancel := context.WithTimeout(withRequestName(context.Background(), name), timeout)
	defer cancel()
	return n.Execute(ctx, request(body))
}

func wantRun(t *testing.T, n *node, name string, replayed bool) {
	t.Helper()
	resp, refused := n.executeAs(name, "shirts", 20*time.Second)
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
	if got := len(o.runsOf(orderKey)); got != want {
		t.Fatalf("%d executions, want %d", got, want)
	}
}

// sequence returns a function that returns the values one after the other and then the zero value.
func sequence[T any](values ...T) func() T {
	return func() T {
		var next T
		if len(values) > 0 {
			next, values = values[0], values[1:]
		}
		return next
	}
}

// storeFaults returns a hook that returns the faults one after the other, for reads and writes alike.
func storeFaults(faults ...memory.Fault) func(memory.Op) memory.Fault {
	next := sequence(faults...)
	return func(memory.Op) memory.Fault { return next() }
}
