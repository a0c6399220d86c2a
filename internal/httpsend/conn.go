package httpsend

import (
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"
)

// trackedConn counts the write attempts on a connection and can be sealed against further writes. Its mutex is not part of
// the lock order: it guards only the counter and the seal of one connection, and no other lock is taken under it.
type trackedConn struct {
	net.Conn
	mu            sync.Mutex
	writeAttempts int
	sealed        bool
	// onTraffic is called with the number of bytes written and read; it may be nil.
	onTraffic func(written, read int)
}

// Read implements net.Conn.
func (c *trackedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.onTraffic != nil {
		c.onTraffic(0, n)
	}
	return n, err
}

// Write implements net.Conn. It counts the attempt before it writes, because a failed write may have sent part of the data.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writeAttempts++
	c.mu.Unlock()
	n, err := c.Conn.Write(data)
	if c.onTraffic != nil {
		c.onTraffic(n, 0)
	}
	return n, err
}

// countWrites returns the number of write attempts so far.
func (c *trackedConn) countWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeAttempts
}

// seal makes later writes fail and returns the number of write attempts so far.
func (c *trackedConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writeAttempts
}

// attempt records the connections that net/http assigned to one request.
type attempt struct {
	mu       sync.Mutex
	connUses []connUse
	// untrackedConn is true if a connection without a write count was assigned; the request then counts as sent.
	untrackedConn bool
}

// connUse is the assignment of a connection to a request, with the number of write attempts on it before the request.
type connUse struct {
	conn         *trackedConn
	writesBefore int
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	conn, ok := unwrapTracked(info.Conn)
	if !ok {
		a.untrackedConn = true
		return
	}
	a.connUses = append(a.connUses, connUse{conn: conn, writesBefore: conn.countWrites()})
}

// unwrapTracked returns the trackedConn that conn is, or that a TLS connection wraps.
func unwrapTracked(conn net.Conn) (*trackedConn, bool) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	trackedConnection, ok := conn.(*trackedConn)
	return trackedConnection, ok
}

// sealAndCheckSent reports whether any byte of the request may have been sent, and closes its connections. It seals each
// connection first, because the transport's write goroutine may still be running after RoundTrip has returned an error.
func (a *attempt) sealAndCheckSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	sent := a.untrackedConn
	for _, use := range a.connUses {
		if use.conn.seal() != use.writesBefore {
			sent = true
		}
		_ = use.conn.Close()
	}
	return sent
}
