package httpsend

import (
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"
)

// trackedConn counts the attempts to write and can be sealed against further writes. The mutex is not part of the lock
// order because it guards one connection and is held only around a write to it.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
	// traffic is told the bytes written and read; it may be nil.
	traffic func(written, read int)
}

// Read implements net.Conn.
func (c *trackedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.traffic != nil {
		c.traffic(0, n)
	}
	return n, err
}

// Write counts the attempt before it runs, because a failed write may have sent a part.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(data)
	if c.traffic != nil {
		c.traffic(n, 0)
	}
	return n, err
}

func (c *trackedConn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal refuses further writes and returns the number of writes so far.
func (c *trackedConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// attempt records the connections that net/http gave to one request.
type attempt struct {
	mu    sync.Mutex
	uses  []use
	other bool
}

type use struct {
	conn   *trackedConn
	before int
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	conn, ok := tracked(info.Conn)
	if !ok {
		a.other = true
		return
	}
	a.uses = append(a.uses, use{conn: conn, before: conn.count()})
}

// tracked returns the connection that counts writes, also below TLS.
func tracked(conn net.Conn) (*trackedConn, bool) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	counting, ok := conn.(*trackedConn)
	return counting, ok
}

// sealAndReport reports whether a byte of the request may have left. It seals the connections first, because the
// transport's writer may still run after RoundTrip returned an error.
func (a *attempt) sealAndReport() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	sent := a.other
	for _, use := range a.uses {
		if use.conn.seal() != use.before {
			sent = true
		}
		_ = use.conn.Close()
	}
	return sent
}
