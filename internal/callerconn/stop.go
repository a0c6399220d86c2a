package callerconn

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/overload"
)

// ResetOnClose makes the end of a request's connection a reset instead of an orderly close.
func (t *Table) ResetOnClose(ctx context.Context) {
	tracked := fromContext(ctx)
	if tracked == nil {
		return
	}
	if socket, ok := tracked.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// It fails only on a connection that is already closed.
		_ = socket.SetLinger(0)
	}
}

// AwaitRequests waits until no connection serves a request or, up to the timeout, is new. It returns the context's error if that ends first.
func (t *Table) AwaitRequests(ctx context.Context, newTimeout time.Duration) error {
	timer := time.NewTimer(newTimeout)
	defer timer.Stop()
	for waitForNew := true; t.inUse(waitForNew); {
		select {
		case <-t.changed:
		case <-timer.C:
			waitForNew = false
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// inUse reports whether a connection serves a request, or is new if those count.
func (t *Table) inUse(newCount bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tracked := range t.conns {
		if !tracked.idle && (newCount || !tracked.isNew) {
			return true
		}
	}
	return false
}

// CloseIdle closes the connections on which no request is being served.
func (t *Table) CloseIdle() {
	for _, conn := range t.markIdleClosed() {
		_ = conn.Close()
	}
}

// markIdleClosed marks the idle connections as closed and returns them.
func (t *Table) markIdleClosed() []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var idle []*Conn
	for _, tracked := range t.conns {
		if tracked.idle {
			tracked.stage.Store(int32(overload.Closed))
			idle = append(idle, tracked)
		}
	}
	return idle
}
