package httpconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"

	"github.com/cicadawall/cicadawall/internal/standin/rawserver"
)

// longUpload is more than the socket buffers of both ends hold, so that its writing is still under way while the peer does not read it.
const longUpload = 32 << 20

func uploadRequest(address string, length int) Request {
	return Request{
		Address: address, Method: http.MethodPost, Body: make([]byte, length),
		Head: []byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"),
	}
}

// reset closes the connection with a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// awaitWriteResult waits until the request has been written or its writing has failed.
func awaitWriteResult(response *Response) error {
	err := <-response.exchange.writeResult
	response.exchange.writeResult <- err
	return err
}

// Guards against a part of an answer that is returned as a complete one because the connection was reset while the request was being written: the
// kernel reports a reset once, here to the write, and the read then finds an end of the stream.
func TestResetDuringUploadIsNoEndOfAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"no length":           "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\n\r\n",
		"no length and close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"failure":             "HTTP/1.1 500 Failed\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			answered := make(chan struct{})
			address := startScriptedServer(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, head+"part")
				<-answered
				reset(conn)
			})
			response, err := NewPool(Options{}).Do(t.Context(), uploadRequest(address, longUpload))
			close(answered)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			if err := awaitWriteResult(response); !errors.Is(err, syscall.ECONNRESET) {
				t.Fatalf("the write ended with %v; the test needs a reset", err)
			}
			for range 2 {
				if body, err := io.ReadAll(response); err == nil {
					t.Errorf("%q was returned as a complete body", body)
				}
			}
		})
	}
}

// Guards against a reset that meets the write of a request before the answer is read, for requests that are written before and while the answer is read.
func TestImmediateResetIsNoEndOfAnswer(t *testing.T) {
	const requests = 200
	address := rawserver.Start(t, func(conn *net.TCPConn, _ *bufio.Reader) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		reset(conn)
	})
	pool := NewPool(Options{})
	for _, uploadBytes := range []int{1 << 10, 17 << 10, 3 << 20} {
		complete := 0
		for range requests {
			response, err := pool.Do(t.Context(), uploadRequest(address, uploadBytes))
			if err != nil {
				continue
			}
			if _, err := io.ReadAll(response); err == nil {
				complete++
			}
			response.Close()
		}
		if complete > 0 {
			t.Errorf("upload of %d bytes: a part was returned as a complete body %d times in %d", uploadBytes, complete, requests)
		}
	}
}

// Guards against a complete answer that is taken for a broken one: without a length, after short and long uploads, and early ones.
func TestCompleteAnswersToUploads(t *testing.T) {
	const noLength, length = "HTTP/1.1 200 OK\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	readRest := func(conn *net.TCPConn, reader *bufio.Reader, _ <-chan struct{}) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
	}
	leaveRest := func(conn *net.TCPConn, _ *bufio.Reader, received <-chan struct{}) {
		_ = conn.CloseWrite()
		<-received
	}
	resetAtOnce := func(conn *net.TCPConn, _ *bufio.Reader, _ <-chan struct{}) { reset(conn) }
	for name, c := range map[string]struct {
		uploadBytes int
		answer      string
		// afterEarlyAnswer ends an exchange that was answered before the upload was read; nil if the upload is read first.
		afterEarlyAnswer func(conn *net.TCPConn, reader *bufio.Reader, received <-chan struct{})
	}{
		"no length, short upload":         {1 << 10, noLength, nil},
		"no length, upload of 17 kB":      {17 << 10, noLength, nil},
		"no length, long upload":          {longUpload, noLength, nil},
		"HTTP/1.0, long upload":           {longUpload, "HTTP/1.0 200 OK\r\n\r\nwhole", nil},
		"early, no length, rest read":     {longUpload, noLength, readRest},
		"early, no length, rest not read": {longUpload, noLength, leaveRest},
		"early, length, rest read":        {longUpload, length, readRest},
		"early, length, rest not read":    {longUpload, length, leaveRest},
		"early, length, reset":            {longUpload, length, resetAtOnce},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{})
			address := startScriptedServer(t, func(conn net.Conn, reader *bufio.Reader) {
				if c.afterEarlyAnswer == nil {
					answerRequest(conn, reader, c.answer)
					return
				}
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, c.answer)
					c.afterEarlyAnswer(conn.(*net.TCPConn), reader, received)
				}
			})
			pool := NewPool(Options{})
			response, err := pool.Do(t.Context(), uploadRequest(address, c.uploadBytes))
			if err != nil {
				t.Fatal(err)
			}
			if got := readBody(t, response); got != "whole" {
				t.Errorf("body %q", got)
			}
			close(received)
			pool.CloseIdle(address)
		})
	}
}
