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

// startScriptedServer starts a server that runs the nth function on the nth connection, and returns its address.
func startScriptedServer(t *testing.T, serve ...func(conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var handlers sync.WaitGroup
	handlers.Go(func() {
		for _, s := range serve {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handlers.Go(func() {
				defer func() { _ = conn.Close() }()
				s(conn, bufio.NewReader(conn))
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		handlers.Wait()
	})
	return listener.Addr().String()
}

// answerRequest reads one request and writes the text as its answer. It reports whether both succeeded.
func answerRequest(conn net.Conn, reader *bufio.Reader, text string) bool {
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

const answerTemplate = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: %\r\n\r\nok"

func answerWithID(id string) string { return strings.ReplaceAll(answerTemplate, "%", id) }

func getRequest(address, id string) Request {
	return Request{
		Address: address, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func readBody(t *testing.T, response *Response) string {
	t.Helper()
	data, err := io.ReadAll(response)
	if err != nil {
		t.Fatal(err)
	}
	response.Close()
	return string(data)
}

// Guards against a late answer to an earlier request that is taken for the answer to the next request on the reused connection.
func TestAnswerToEarlierRequestIsSkipped(t *testing.T) {
	address := startScriptedServer(t, func(conn net.Conn, reader *bufio.Reader) {
		answerRequest(conn, reader, answerWithID("1"))
		answerRequest(conn, reader, answerWithID("1")+answerWithID("2"))
		_, _ = reader.ReadByte()
	})
	pool := NewPool(Options{})
	for _, id := range []string{"1", "2"} {
		response, err := pool.Do(t.Context(), getRequest(address, id))
		if err != nil {
			t.Fatal(err)
		}
		if got := response.Header.Get("Id"); got != id || readBody(t, response) != "ok" {
			t.Errorf("request %s got the answer of %s", id, got)
		}
	}
	pool.CloseIdle(address)
}

// Guards against reuse of a connection on which extra data followed a complete answer, or which the server closed.
func TestUncleanConnectionIsNotReused(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn){
		"extra bytes": func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n") },
		"closed":      func(conn net.Conn) { _ = conn.Close() },
	} {
		disturbed := make(chan struct{})
		address := startScriptedServer(t,
			func(conn net.Conn, reader *bufio.Reader) {
				answerRequest(conn, reader, answerWithID("1"))
				disturb(conn)
				close(disturbed)
				_, _ = reader.ReadByte()
			},
			func(conn net.Conn, reader *bufio.Reader) { answerRequest(conn, reader, answerWithID("2")) })
		pool := NewPool(Options{})
		first, err := pool.Do(t.Context(), getRequest(address, "1"))
		if err != nil {
			t.Fatal(err)
		}
		readBody(t, first)
		<-disturbed
		waitUntilDisturbed(t, pool, address)
		second, err := pool.Do(t.Context(), getRequest(address, "2"))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if second.ReusedConnection || second.Header.Get("Id") != "2" {
			t.Errorf("%s: the connection was reused", name)
		}
		second.Close()
	}
}

// waitUntilDisturbed waits until the extra data or the end of the stream has arrived on the idle connection.
func waitUntilDisturbed(t *testing.T, pool *Pool, address string) {
	t.Helper()
	idle := pool.popIdle(address)
	if idle == nil {
		return
	}
	_ = idle.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := idle.reader.Peek(1); err != nil && err != io.EOF {
		t.Fatal(err)
	}
	_ = idle.SetReadDeadline(time.Time{})
	pool.release(idle)
}

// Guards against a request without an answer that is reported as not sent although the server may have received it.
func TestErrorReportsWhetherRequestWasSent(t *testing.T) {
	address := startScriptedServer(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = http.ReadRequest(reader) })
	pool := NewPool(Options{})
	_, err := pool.Do(t.Context(), getRequest(address, "1"))
	var failed *Error
	if !errors.As(err, &failed) || !failed.Sent {
		t.Errorf("closed without an answer: %v", err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	_, err = pool.Do(t.Context(), getRequest(listener.Addr().String(), "1"))
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("refused connection: %v", err)
	}
}

// Guards against a server that keeps working after the caller cancelled the request.
func TestCancelledContextClosesConnection(t *testing.T) {
	closed := make(chan error, 1)
	received := make(chan struct{})
	address := startScriptedServer(t, func(_ net.Conn, reader *bufio.Reader) {
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
	if _, err := NewPool(Options{}).Do(ctx, getRequest(address, "1")); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	if err := <-closed; err == nil {
		t.Error("the server's connection is still open")
	}
}

// Guards against a truncated answer that looks complete, and against a complete answer without a length that is taken for
// truncated.
func TestEndOfBody(t *testing.T) {
	for _, c := range []struct {
		name, text string
		complete   bool
	}{
		{"shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
		{"chunked without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		{"ended by the connection", "HTTP/1.1 200 OK\r\n\r\nok", true},
	} {
		address := startScriptedServer(t, func(conn net.Conn, reader *bufio.Reader) { answerRequest(conn, reader, c.text) })
		request := getRequest(address, "")
		response, err := NewPool(Options{}).Do(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.ReadAll(response)
		response.Close()
		if (err == nil) != c.complete {
			t.Errorf("%s: error %v", c.name, err)
		}
	}
}

// Guards against losing an answer that arrives before a long request is completely written, and against reuse of the connection
// while the rest of the body is not written.
func TestEarlyAnswerToLongBody(t *testing.T) {
	released := make(chan struct{})
	address := startScriptedServer(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answerWithID("1"))
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
	if got := readBody(t, response); got != "ok" {
		t.Errorf("body %q", got)
	}
	if pool.popIdle(address) != nil {
		t.Error("the connection was returned to the pool")
	}
	close(released)
}

// Guards against an aborted request that still reaches its server after a network partition heals: the kernel must discard
// undelivered data when the connection is aborted.
func TestAbortedRequestIsNotDelivered(t *testing.T) {
	received, aborted, readErr := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	address := startScriptedServer(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := reader.ReadByte(); err != nil {
			readErr <- nil
			return
		}
		close(received)
		<-aborted
		if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			readErr <- nil
			return
		}
		_, err := io.Copy(io.Discard, reader)
		readErr <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	// The body is larger than the socket buffers of both ends, so that part of it is not delivered yet at the abort.
	body := make([]byte, 32<<20)
	head := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_, err := NewPool(Options{}).Do(ctx, Request{Address: address, Method: http.MethodPost, Head: []byte(head), Body: body})
	var failed *Error
	if !errors.As(err, &failed) || !failed.Sent {
		t.Errorf("error %v, want one that reports the request as sent", err)
	}
	close(aborted)
	if err := <-readErr; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the server read the rest of the aborted request, then: %v", err)
	}
}
