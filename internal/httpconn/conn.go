package httpconn

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/cicadawall/cicadawall/internal/httpanswer"
	"github.com/cicadawall/cicadawall/internal/tcpconn"
)

const (
	// maxHeadBytes bounds the bytes that are read until the head of the final answer is complete, including interim answers and
	// answers to earlier requests. A faulty peer may send bytes without end that never become a head.
	maxHeadBytes = 64 << 10
	// readBufferBytes is enough for the headers of a typical answer or for several events of a stream.
	readBufferBytes = 4 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount set TCP keep-alive probes that detect an unreachable peer within 3 s
	// while a request waits for its answer. A peer behind a network partition sends no reset.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 2
	// unackedTimeout closes a connection whose sent data is not acknowledged in time; the kernel's default is minutes.
	unackedTimeout = 3 * time.Second
)

// conn is a connection of the pool. At most one exchange uses it at a time.
type conn struct {
	*tcpconn.Conn
	address string
	limiter *headLimiter
	reader  *bufio.Reader
	// idleSince is when the last exchange ended.
	idleSince time.Time
	// keepAliveTimeout is how long the peer keeps the connection open without a request, by its Keep-Alive header; zero if
	// unknown.
	keepAliveTimeout time.Duration
	// reused is true if the connection has served a request before the current one.
	reused bool
}

func newConn(raw net.Conn, address string) *conn {
	stream := tcpconn.New(raw)
	limiter := &headLimiter{source: stream}
	return &conn{Conn: stream, address: address, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes)}
}

// ErrHeadTooLong means that a peer sent more than maxHeadBytes without completing the head of an answer.
var ErrHeadTooLong = errors.New("head of the answer is too long")

// headLimiter reads from a connection and limits the bytes of a head.
type headLimiter struct {
	source io.Reader
	// failure is the error with which the connection failed or ended since the beginning of the last head.
	failure error
	// limited is set while a head is read, of which at most remaining bytes may still arrive.
	limited   bool
	remaining int
}

// start limits the bytes that are read from now on.
func (l *headLimiter) start() { l.limited, l.remaining, l.failure = true, maxHeadBytes, nil }

// stop ends the limit.
func (l *headLimiter) stop() { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.limited && l.remaining <= 0 {
		return 0, ErrHeadTooLong
	}
	if l.limited {
		p = p[:min(len(p), l.remaining)]
	}
	n, err := l.source.Read(p)
	l.remaining -= n
	if l.failure == nil {
		l.failure = err
	}
	return n, err
}

// readError returns the error of a head or body that could not be read to its end: a MalformedError unless the connection failed or ended.
func (c *conn) readError(err error) error {
	switch failure := c.limiter.failure; {
	case failure == nil:
		return httpanswer.NewMalformedError(err)
	case errors.Is(err, failure), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	default:
		// The parser of net/http takes a line that is cut off for a whole one and quotes it.
		return errors.Errorf("the connection ended within a line: %v", failure)
	}
}

// dialer returns a dialer whose connections detect unreachable peers with TCP keep-alive and TCP_USER_TIMEOUT.
func dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// abort closes the connection with a reset, so that the kernel discards data that it has not delivered yet. Otherwise a request
// that was abandoned during a network partition could arrive seconds later, when the peer may be shutting down or another one
// may already have answered.
func (c *conn) abort() {
	if socket, ok := c.NetConn().(interface{ SetLinger(seconds int) error }); ok {
		// It fails only on a connection that is already closed.
		_ = socket.SetLinger(0)
	}
	_ = c.Close()
}

// healthy reports whether nothing arrived while the connection was idle: neither unexpected data nor an end of the stream nor a
// reset.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peekErr == unix.EAGAIN || peekErr == unix.EWOULDBLOCK)
}

// expired reports whether the connection has been idle for too long: longer than maxIdleTime, or so long that the peer may be
// about to close it.
func (c *conn) expired(now time.Time, maxIdleTime time.Duration) bool {
	idle := now.Sub(c.idleSince)
	return idle > maxIdleTime || c.keepAliveTimeout > 0 && idle > c.keepAliveTimeout-idleMargin
}
