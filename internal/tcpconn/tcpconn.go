// Package tcpconn wraps client connections so that a reset is never read as the end of the stream.
package tcpconn

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection whose Read returns io.EOF only if the peer ended the stream in order. The kernel reports a reset or a timeout of a
// connection once, to whichever call comes first. If that is a write, a later read finds an end of the stream, which would make the part of an
// answer without a length that has arrived look complete.
type Conn struct {
	net.Conn

	// mu guards the fields below. It is not part of the lock order: no other lock is taken under it, and it is not held while a call waits
	// for the peer.
	mu            sync.Mutex
	writesEnded   *sync.Cond
	pendingWrites int
	// broken is the error with which the kernel reported to a write that the connection did not end in order.
	broken error
}

// New returns a Conn for a new connection.
func New(raw net.Conn) *Conn {
	c := &Conn{Conn: raw}
	c.writesEnded = sync.NewCond(&c.mu)
	return c
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.pendingWrites++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingWrites--
	if c.broken == nil && isAbortive(err) {
		c.broken = err
	}
	c.writesEnded.Broadcast()
	return n, err
}

// Read implements net.Conn. At the end of the stream it interrupts a write that is under way: the peer sends nothing more, so that the rest
// of the request cannot change the answer.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if broken := c.awaitWrites(); broken != nil {
			return n, broken
		}
	}
	return n, err
}

// awaitWrites waits until no write is under way and returns the error that a write has met, if it means that the stream did not end in order.
func (c *Conn) awaitWrites() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingWrites > 0 {
		// It fails only on a connection that is closed, which ends the write as well.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	for c.pendingWrites > 0 {
		c.writesEnded.Wait()
	}
	return c.broken
}

// isAbortive reports whether the error of a write means that the connection ended other than by an orderly close of the peer. EPIPE does not:
// the kernel returns it for a reset that arrives after the peer's end of the stream, and after it has reported another error before.
func isAbortive(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
