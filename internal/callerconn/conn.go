package callerconn

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cicadawall/cicadawall/internal/overload"
)

// processStart is the origin of times that are stored as numbers, so that they use the monotonic clock.
var processStart = time.Now()

// Conn is a tracked connection. Its stage and progress are updated without a lock by the goroutine that reads it; a Table closes it only after
// it has moved it to the stage Closed, which it does not leave.
type Conn struct {
	net.Conn
	table *Table

	stage atomic.Int32
	// since is when the stage began, in nanoseconds since processStart, and received the number of bytes since then.
	since, received atomic.Int64

	// The following fields are guarded by the lock of the table. idle and isNew are the state that net/http reports: to it, a connection is idle
	// until the head of the next request has arrived completely.
	idle, isNew bool
	index       int
	tracked     bool
}

func (c *Conn) currentStage() overload.Stage { return overload.Stage(c.stage.Load()) }

// enter moves the connection to a stage, unless it is closed. It returns false if it is closed.
func (c *Conn) enter(stage overload.Stage) bool {
	for {
		old := c.stage.Load()
		if overload.Stage(old) == overload.Closed {
			return false
		}
		if c.stage.CompareAndSwap(old, int32(stage)) {
			return true
		}
	}
}

// restart begins the measurement of the connection's progress.
func (c *Conn) restart() {
	c.since.Store(int64(time.Since(processStart)))
	c.received.Store(0)
}

// state returns what the choice of a connection to close needs to know, at a time since processStart.
func (c *Conn) state(now time.Duration) overload.Connection {
	return overload.Connection{
		Stage:    c.currentStage(),
		Progress: overload.Progress{Age: now - time.Duration(c.since.Load()), Received: c.received.Load()},
	}
}

// Read implements net.Conn. The first bytes on an idle connection begin a request, so that it is no longer closed as an idle one.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.currentStage() == overload.Idle {
		c.restart()
		c.stage.CompareAndSwap(int32(overload.Idle), int32(overload.Receiving))
	}
	if c.currentStage() == overload.Closed {
		return 0, net.ErrClosed
	}
	c.received.Add(int64(n))
	return n, err
}

// Close implements net.Conn and ends the tracking of the connection.
func (c *Conn) Close() error {
	c.table.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending side, which net/http does before it closes a connection whose peer still sends.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
