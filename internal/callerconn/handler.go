package callerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// refusalLinger is how long net/http may wait for the rest of a body that the handler has not read to its end.
const refusalLinger = 500 * time.Millisecond

// DescriptorLimit returns the number of descriptors that the process may open.
func DescriptorLimit() int {
	const fallback, most = 1024, 1 << 24
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallback
	}
	return int(min(limit.Cur, most))
}

// Handler returns a handler whose requests keep their connection open until they are answered, also while their bodies arrive. It is for servers
// that bound the time of bodies.
func (t *Table) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !t.MarkBusy(r.Context()) || !t.MarkComplete(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// BodyHandler returns a handler whose requests keep their connection open from the end of their body until they are answered. Requests of HTTP/2,
// which share a connection, keep it open while their bodies arrive.
func (t *Table) BodyHandler(next http.Handler) http.Handler {
	whole := t.Handler(next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor != 1 || r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
			whole.ServeHTTP(w, r)
			return
		}
		if !t.MarkBusy(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		body := &completingBody{ReadCloser: r.Body, table: t, ctx: r.Context()}
		r.Body = body
		next.ServeHTTP(w, r)
		if !body.complete {
			// The error is ignored: writers without deadlines, such as httptest.ResponseRecorder, do not support them.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalLinger))
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
