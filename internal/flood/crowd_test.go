package flood

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// member sends the bytes of one connection of a crowd and returns when it stops. Errors are expected: the instance may close the connection.
type member func(conn net.Conn) error

// crowd is a set of open connections to the instance.
type crowd struct {
	w     *world
	conns []net.Conn
	// sending counts the members that still send.
	sending sync.WaitGroup
}

func newCrowd(w *world) *crowd {
	c := &crowd{w: w}
	w.t.Cleanup(func() {
		for _, conn := range c.conns {
			_ = conn.Close()
		}
		c.sending.Wait()
	})
	return c
}

// join opens size connections. Their members send at the same time; the n-th is chosen by its number.
func (c *crowd) join(size int, choose func(n int) member) {
	c.w.t.Helper()
	for n := range size {
		conn, err := net.DialTimeout("tcp4", c.w.callers, crowdTimeout)
		if err != nil {
			c.w.t.Fatal(err)
		}
		c.conns = append(c.conns, conn)
		_ = conn.SetWriteDeadline(time.Now().Add(crowdTimeout))
		send := choose(n)
		c.sending.Go(func() { _ = send(conn) })
	}
}

// trickle sends one more byte on each connection.
func (c *crowd) trickle() {
	for _, conn := range c.conns {
		_, _ = io.WriteString(conn, "x")
	}
}

// checkWith runs a crowd and checks the instance once all members have stopped and are still connected.
func checkWith(t *testing.T, descriptors, size int, choose func(n int) member) {
	t.Helper()
	w := newWorld(t, descriptors)
	c := newCrowd(w)
	c.join(size, choose)
	c.sending.Wait()
	w.check()
}

// head returns the head of a request of the crowd with the extra header line.
func head(line string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key + "\r\nCicadawall-Request-Id: crowd\r\n" +
		line + "\r\n\r\n"
}

// fill is the content of all bodies of the crowd, as long as the longest.
var fill = bytes.Repeat([]byte("x"), maxBodyBytes+1)

// lengthMember announces a body by its length and sends sent bytes of it in pieces.
func lengthMember(announced, sent, piece int) member {
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, head(fmt.Sprintf("Content-Length: %d", announced))); err != nil {
			return err
		}
		for sent > 0 {
			n := min(piece, sent)
			if _, err := conn.Write(fill[:n]); err != nil {
				return err
			}
			sent -= n
		}
		return nil
	}
}

// chunkedMember sends a chunked body of count chunks of size bytes without its end; endlessly if count is negative. With ended it sends the
// end too. Small chunks are sent several at a time.
func chunkedMember(size, count int, ended bool) member {
	const maxWriteBytes = 64 << 10
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, fill[:size])
	perWrite := max(1, maxWriteBytes/len(chunk))
	block := bytes.Repeat([]byte(chunk), perWrite)
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, head("Transfer-Encoding: chunked")); err != nil {
			return err
		}
		for left := count; left != 0; {
			n := perWrite
			if left > 0 {
				n = min(n, left)
				left -= n
			}
			if _, err := conn.Write(block[:n*len(chunk)]); err != nil {
				return err
			}
		}
		if !ended {
			return nil
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
}

// textMember sends the text.
func textMember(text string) member {
	return func(conn net.Conn) error {
		_, err := io.WriteString(conn, text)
		return err
	}
}
