package httpconn

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes holds the head of a usual answer or several events of a stream.
	readBufferBytes = 4 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a peer that went silent within 3 s, while a request waits
	// for its answer. Peers behind a partition send no reset.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 2
	// unackedTimeout ends a connection whose written bytes are not acknowledged; the kernel's default is minutes.
	unackedTimeout = 3 * time.Second
)

// conn is one connection of the pool. It is used by one exchange at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleSince is when the last exchange ended.
	idleSince time.Time
	// idleLimit is how long the peer keeps the connection open without a request; zero if it did not say.
	idleLimit time.Duration
	used      bool
}

func newConn(raw net.Conn, address string) *conn {
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

// dialer returns a dialer whose connections notice silent peers.
func dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: limitUnacked,
	}
}

// limitUnacked sets TCP_USER_TIMEOUT on a new socket.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// abort closes the connection and drops what the system has not delivered yet. Else a request that was given up while its peer was
// cut off arrives seconds later, when the peer may be leaving or another one has answered.
func (c *conn) abort() {
	if lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// It fails only on a connection that is closed already.
		_ = lingering.SetLinger(0)
	}
	_ = c.Close()
}

// quiet reports whether nothing arrived while the connection was idle: no bytes that belong to no request, no end of the
// stream and no reset.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	withRaw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := withRaw.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peeked == unix.EAGAIN || peeked == unix.EWOULDBLOCK)
}

// expired reports whether the peer may be about to close the connection.
func (c *conn) expired(now time.Time, maxIdle time.Duration) bool {
	idle := now.Sub(c.idleSince)
	return idle > maxIdle || c.idleLimit > 0 && idle > c.idleLimit-idleMargin
}
