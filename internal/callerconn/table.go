// Package callerconn tracks the connections of an HTTP server. It bounds their number, closes those that make the least progress to make room
// for new ones, and lets a planned stop wait for requests and close idle connections.
package callerconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/overload"
)

// ReasonNoRoom is the reason of a new connection that is closed at once because no other one may be closed for it.
const ReasonNoRoom = "no_connection_room"

// Options configure a Table.
type Options struct {
	// Name precedes the reasons that OnEvict is told.
	Name string
	// Limit is the number of connections that may be open.
	Limit int
	// Grace is how long a connection may take to send its first bytes before it counts as slow.
	Grace time.Duration
	// OnEvict is told the reason for each connection that is closed to make room.
	OnEvict func(reason string)
}

// Table holds the open connections of a server. A request that arrives while its connection is being closed is never forwarded: it would run,
// but its response could not be delivered. It is safe for concurrent use.
type Table struct {
	options Options
	mu      *lockorder.Mutex
	conns   []*Conn
	// changed receives a value after a connection changed its state.
	changed chan struct{}
}

// connKey is the context key under which a request's context holds its connection.
type connKey struct{}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	return &Table{options: options, mu: lockorder.New(lockorder.RankPlatformClient), changed: make(chan struct{}, 1)}
}

// Open returns the number of open connections.
func (t *Table) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	table *Table
}

// Listener returns a listener whose connections the table tracks.
func (t *Table) Listener(inner net.Listener) net.Listener { return listener{Listener: inner, table: t} }

// Accept implements net.Listener. It closes another connection if there are too many, or the new one if no other may be closed.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tracked := l.table.Track(conn)
		evicted, reason := l.table.evict(tracked)
		if evicted == nil {
			return tracked, nil
		}
		l.table.options.OnEvict(l.table.options.Name + reason)
		_ = evicted.Close()
		if evicted != tracked {
			return tracked, nil
		}
	}
}

// Track starts to track a new connection.
func (t *Table) Track(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, table: t, isNew: true, tracked: true}
	c.restart()
	t.mu.Lock()
	defer t.mu.Unlock()
	c.index = len(t.conns)
	t.conns = append(t.conns, c)
	return c
}

// evict takes a connection out of the table if there are too many, and returns it with the reason. That is the new one if no other may be
// closed.
func (t *Table) evict(added *Conn) (*Conn, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.conns) > t.options.Limit {
		worst, state := t.worst(added)
		if worst == nil {
			added.stage.Store(int32(overload.Closed))
			return added, ReasonNoRoom
		}
		// It fails if the connection has changed its stage since it was chosen.
		if worst.stage.CompareAndSwap(int32(state.Stage), int32(overload.Closed)) {
			return worst, state.Stage.String() + "_connection"
		}
	}
	return nil, ""
}

// worst returns the connection that gives way first, other than the new one; nil if there is none. The lock must be held.
func (t *Table) worst(added *Conn) (*Conn, overload.Connection) {
	now := time.Since(processStart)
	var worst *Conn
	var worstState overload.Connection
	for _, c := range t.conns {
		state := c.state(now)
		if c == added || !state.Stage.MayGiveWay() {
			continue
		}
		if worst == nil || overload.GivesWayBefore(state, worstState, t.options.Grace) {
			worst, worstState = c, state
		}
	}
	return worst, worstState
}

func (t *Table) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.tracked {
		return
	}
	c.tracked = false
	last := t.conns[len(t.conns)-1]
	last.index = c.index
	t.conns[c.index] = last
	t.conns[len(t.conns)-1] = nil
	t.conns = t.conns[:len(t.conns)-1]
	t.notify()
}

// notify wakes awaitRequests.
func (t *Table) notify() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// trackedConn returns the tracked connection under a server's connection.
func trackedConn(conn net.Conn) *Conn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	tracked, _ := conn.(*Conn)
	return tracked
}

// ConnContext is the callback http.Server.ConnContext.
func (t *Table) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, trackedConn(conn))
}

// ConnState is the callback http.Server.ConnState: it updates whether the connection is idle.
func (t *Table) ConnState(conn net.Conn, state http.ConnState) {
	tracked := trackedConn(conn)
	if tracked == nil {
		return
	}
	if state == http.StateIdle {
		tracked.restart()
		tracked.enter(overload.Idle)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked.idle = state == http.StateIdle
	tracked.isNew = state == http.StateNew
	t.notify()
}

// fromContext returns the tracked connection of a request, or nil.
func fromContext(ctx context.Context) *Conn {
	tracked, _ := ctx.Value(connKey{}).(*Conn)
	return tracked
}

// MarkBusy marks the connection of a request as busy. It returns false if the table has closed the connection.
func (t *Table) MarkBusy(ctx context.Context) bool {
	tracked := fromContext(ctx)
	if tracked == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked.idle = false
	if tracked.currentStage() == overload.Idle {
		// The head arrived together with the previous request.
		return tracked.enter(overload.Receiving)
	}
	return tracked.currentStage() != overload.Closed
}

// MarkComplete records that a request was read completely: its connection is not closed before the answer. It returns false if the table has
// closed the connection; the request must not be run then.
func (t *Table) MarkComplete(ctx context.Context) bool {
	tracked := fromContext(ctx)
	return tracked == nil || tracked.enter(overload.Serving)
}

// MarkRefused records that a request is refused and its connection about to be closed.
func (t *Table) MarkRefused(ctx context.Context) {
	if tracked := fromContext(ctx); tracked != nil {
		tracked.restart()
		tracked.enter(overload.Refused)
	}
}
