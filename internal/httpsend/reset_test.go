package httpsend

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cicadawall/cicadawall/internal/standin/rawserver"
)

// longUpload is more than the socket buffers of both ends hold, so that its writing is still under way while the peer does not read it.
const longUpload = 32 << 20

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// failureHoldingConn is a connection whose failed write returns only after the release.
type failureHoldingConn struct {
	net.Conn
	writeFailed chan<- struct{}
	release     <-chan struct{}
}

func (c *failureHoldingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		close(c.writeFailed)
		<-c.release
	}
	return n, err
}

// Guards against a part of an answer that is returned as a complete one because the connection was reset while net/http was writing the request. The
// write that meets the reset is held until the body has been read, which is the moment between the error and the closing of the connection.
func TestResetDuringUploadIsNoEndOfAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"no length":           "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\n\r\n",
		"no length and close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			answered, writeFailed, bodyRead := make(chan struct{}), make(chan struct{}), make(chan struct{})
			url := "http://" + rawserver.StartWithRequest(t, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, head+"part")
				<-answered
				_ = conn.SetLinger(0)
				_ = conn.Close()
			})
			sender := New(Options{})
			dial := sender.transport.DialContext
			sender.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				return &failureHoldingConn{Conn: conn, writeFailed: writeFailed, release: bodyRead}, err
			}
			request := post(t, t.Context(), url, io.LimitReader(zeros{}, longUpload))
			request.ContentLength = longUpload
			response, err := sender.Do(request)
			close(answered)
			if err != nil {
				close(bodyRead)
				t.Fatal(err)
			}
			<-writeFailed
			body, err := io.ReadAll(response.Body)
			close(bodyRead)
			_ = response.Body.Close()
			if err == nil {
				t.Errorf("%q was returned as a complete body", body)
			}
		})
	}
}

// Guards against a complete answer that is taken for a broken one: without a length, after short and long uploads, and early ones.
func TestCompleteAnswersToUploads(t *testing.T) {
	const noLength, length = "HTTP/1.1 200 OK\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	for name, c := range map[string]struct {
		uploadBytes int64
		answer      string
		early       bool
	}{
		"no length, short upload":    {1 << 10, noLength, false},
		"no length, upload of 17 kB": {17 << 10, noLength, false},
		"no length, long upload":     {longUpload, noLength, false},
		"HTTP/1.0, long upload":      {longUpload, "HTTP/1.0 200 OK\r\n\r\nwhole", false},
		"early, no length":           {longUpload, noLength, true},
		"early, length":              {longUpload, length, true},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{})
			url := "http://" + rawserver.StartWithRequest(t, func(conn *net.TCPConn, request *http.Request) {
				if !c.early {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				_, _ = io.WriteString(conn, c.answer)
				_ = conn.CloseWrite()
				<-received
			})
			request := post(t, t.Context(), url, io.LimitReader(zeros{}, c.uploadBytes))
			request.ContentLength = c.uploadBytes
			response, err := New(Options{}).Do(request)
			if err != nil {
				close(received)
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			close(received)
			if string(body) != "whole" || err != nil {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}
