package callerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// RefusalLinger is how long the connection of a request stays open that was refused before its body had arrived, so that a caller that still sends
// gets the refusal before its connection ends. Without a limit, net/http would wait for the body for as long as the caller keeps silent.
const RefusalLinger = 500 * time.Millisecond

// BodyInterrupter ends the reading of a request's body.
type BodyInterrupter struct{ Controller *http.ResponseController }

// Interrupt implements buffer.Interrupter. It has no effect on writers without deadlines, such as httptest.ResponseRecorder.
func (b BodyInterrupter) Interrupt() { _ = b.Controller.SetReadDeadline(time.Unix(1, 0)) }

// DescriptorLimit returns the number of descriptors that the process may open.
func DescriptorLimit() int {
	const fallback, most = 1024, 1 << 24
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallback
	}
	return int(min(limit.Cur, most))
}

// Handler returns a handler whose requests keep their connection open from the end of their body until they are answered. Requests of HTTP/2, which
// share a connection, keep it open while their bodies arrive; the server must bound the time of these.
func (t *Table) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !t.MarkBusy(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		if r.ProtoMajor != 1 || r.ContentLength == 0 {
			if !t.MarkComplete(r.Context()) {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
			return
		}
		body := &completingBody{ReadCloser: r.Body, table: t, ctx: r.Context()}
		r.Body = body
		next.ServeHTTP(w, r)
		if !body.complete {
			// The error is ignored: writers without deadlines, such as httptest.ResponseRecorder, do not support them.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(RefusalLinger))
		}
	})
}

// completingBody marks the request as complete at the end of its body.
type completingBody struct {
	io.ReadCloser
	table    *Table
	ctx      context.Context
	complete bool
}

// Read implements io.Reader.
func (b *completingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF || b.complete {
		return n, err
	}
	if !b.table.MarkComplete(b.ctx) {
		return n, net.ErrClosed
	}
	b.complete = true
	return n, err
}
