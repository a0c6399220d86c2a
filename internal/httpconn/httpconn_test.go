package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// scripted is a server whose connections each run one function.
func scripted(t *testing.T, serve ...func(conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() {
		for _, s := range serve {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer func() { _ = conn.Close() }()
				s(conn, bufio.NewReader(conn))
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		running.Wait()
	})
	return listener.Addr().String()
}

// answer reads one request and writes the text.
func answer(conn net.Conn, reader *bufio.Reader, text string) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	_, err = io.WriteString(conn, text)
	return err == nil
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: %\r\n\r\nok"

func reply(id string) string { return strings.ReplaceAll(whole, "%", id) }

func get(address, id string) Request {
	return Request{
		Address: address, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func body(t *testing.T, response *Response) string {
	t.Helper()
	data, err := io.ReadAll(response)
	if err != nil {
		t.Fatal(err)
	}
	response.Close()
	return string(data)
}

// Guards against an answer to an earlier request, which arrives late on a kept connection, being taken for the next one.
func TestForeignAnswerIsSkipped(t *testing.T) {
	address := scripted(t, func(conn net.Conn, reader *bufio.Reader) {
		answer(conn, reader, reply("1"))
		answer(conn, reader, reply("1")+reply("2"))
		_, _ = reader.ReadByte()
	})
	pool := NewPool(Options{})
	for _, id := range []string{"1", "2"} {
		response, err := pool.Do(t.Context(), get(address, id))
		if err != nil {
			t.Fatal(err)
		}
		if got := response.Header.Get("Id"); got != id || body(t, response) != "ok" {
			t.Errorf("request %s got the answer of %s", id, got)
		}
	}
	pool.Forget(address)
}

// Guards against bytes after a complete answer, or a connection that the server closed, meeting the next request.
func TestPoisonedConnectionIsNotUsedAgain(t *testing.T) {
	for name, spoil := range map[string]func(net.Conn){
		"extra bytes": func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n") },
		"closed":      func(conn net.Conn) { _ = conn.Close() },
	} {
		spoiled := make(chan struct{})
		address := scripted(t,
			func(conn net.Conn, reader *bufio.Reader) {
				answer(conn, reader, reply("1"))
				spoil(conn)
				close(spoiled)
				_, _ = reader.ReadByte()
			},
			func(conn net.Conn, reader *bufio.Reader) { answer(conn, reader, reply("2")) })
		pool := NewPool(Options{})
		first, err := pool.Do(t.Context(), get(address, "1"))
		if err != nil {
			t.Fatal(err)
		}
		body(t, first)
		<-spoiled
		waitUntilSpoiled(t, pool, address)
		second, err := pool.Do(t.Context(), get(address, "2"))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if second.Reused || second.Header.Get("Id") != "2" {
			t.Errorf("%s: the connection was used again", name)
		}
		second.Close()
	}
}

// waitUntilSpoiled returns when the kept connection has noticed what the server did.
func waitUntilSpoiled(t *testing.T, pool *Pool, address string) {
	t.Helper()
	kept := pool.take(address)
	if kept == nil {
		return
	}
	_ = kept.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := kept.reader.Peek(1); err != nil && err != io.EOF {
		t.Fatal(err)
	}
	_ = kept.SetReadDeadline(time.Time{})
	pool.put(kept)
}

// Guards against a request without an answer that is reported as not sent although the server may have it.
func TestSentIsReported(t *testing.T) {
	address := scripted(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = http.ReadRequest(reader) })
	pool := NewPool(Options{})
	_, err := pool.Do(t.Context(), get(address, "1"))
	var failed *Error
	if !errors.As(err, &failed) || !failed.Sent {
		t.Errorf("closed without an answer: %v", err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	_, err = pool.Do(t.Context(), get(listener.Addr().String(), "1"))
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("refused connection: %v", err)
	}
}

// Guards against a server that works on after the caller has left.
func TestContextClosesConnection(t *testing.T) {
	closed := make(chan error, 1)
	received := make(chan struct{})
	address := scripted(t, func(_ net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		close(received)
		_, err := reader.ReadByte()
		closed <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	if _, err := NewPool(Options{}).Do(ctx, get(address, "1")); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	if err := <-closed; err == nil {
		t.Error("the server's connection is still open")
	}
}

// Guards against a cut answer that looks complete, and one without a length whose proper end is taken for a cut.
func TestEndOfBody(t *testing.T) {
	for _, c := range []struct {
		name, text string
		whole      bool
	}{
		{"shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
		{"chunked without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		{"ended by the connection", "HTTP/1.1 200 OK\r\n\r\nok", true},
	} {
		address := scripted(t, func(conn net.Conn, reader *bufio.Reader) { answer(conn, reader, c.text) })
		request := get(address, "")
		response, err := NewPool(Options{}).Do(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.ReadAll(response)
		response.Close()
		if (err == nil) != c.whole {
			t.Errorf("%s: error %v", c.name, err)
		}
	}
}

// Guards against an early answer to a long request that is lost, or whose connection is used again while the rest of the body
// is due.
func TestEarlyAnswerToLongBody(t *testing.T) {
	released := make(chan struct{})
	address := scripted(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, reply("1"))
		<-released
	})
	const length = 32 << 20
	request := Request{
		Address: address, Method: http.MethodPost, Body: make([]byte, length),
		Head: []byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"),
	}
	pool := NewPool(Options{})
	response, err := pool.Do(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	if got := body(t, response); got != "ok" {
		t.Errorf("body %q", got)
	}
	if pool.take(address) != nil {
		t.Error("the connection is kept")
	}
	close(released)
}

// Guards against a request that is given up and still reaches its server later, when a cut heals: what the system has not delivered
// must be dropped with the connection.
func TestGivenUpRequestIsNotDelivered(t *testing.T) {
	begun, givenUp, read := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	address := scripted(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := reader.ReadByte(); err != nil {
			read <- nil
			return
		}
		close(begun)
		<-givenUp
		if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			read <- nil
			return
		}
		_, err := io.Copy(io.Discard, reader)
		read <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	// More than the buffers of both ends hold, so that a part is still to be delivered.
	body := make([]byte, 32<<20)
	head := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_, err := NewPool(Options{}).Do(ctx, Request{Address: address, Method: http.MethodPost, Head: []byte(head), Body: body})
	var failed *Error
	if !errors.As(err, &failed) || !failed.Sent {
		t.Errorf("%v, want an error of a sent request", err)
	}
	close(givenUp)
	if err := <-read; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the server read what had been given up, then: %v", err)
	}
}
