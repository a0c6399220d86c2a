package httpconn

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// inlineBodyBytes is the length up to which a request is written before its answer is awaited. Longer ones are written
	// while the answer is read, because a peer may answer early and stop reading.
	inlineBodyBytes = 16 << 10
	// maxForeignAnswers is the number of answers to earlier requests that are skipped on a connection.
	maxForeignAnswers = 2
	// maxForeignBytes bounds the body of a skipped answer.
	maxForeignBytes = 1 << 20
)

// ErrForeignAnswer means that the peer's answers on the connection belong to other requests.
var ErrForeignAnswer = errors.New("answer belongs to another request")

// Request is one encoded request.
type Request struct {
	Address string
	Method  string
	// Head is the request line and the headers, with the empty line at the end.
	Head []byte
	Body []byte
	// Fresh uses a new connection.
	Fresh bool
	// Matches reports whether an answer belongs to the request; nil accepts each.
	Matches func(http.Header) bool
}

// Error is an exchange that brought no answer.
type Error struct {
	// Sent is false if certainly no byte of the request was written; otherwise the peer may have run it.
	Sent bool
	// Reused is true if the connection had served another request before.
	Reused bool
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent && e.Reused {
		return "request may have been received on a kept connection: " + e.Cause.Error()
	}
	if e.Sent {
		return "request may have been received: " + e.Cause.Error()
	}
	return "request not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response is an answer whose body is still to be read. Close must be called; it keeps the connection only if the body
// was read to its end.
type Response struct {
	Status int
	Header http.Header
	// Reused is true if the connection had served another request before.
	Reused bool

	exchange *exchange
	body     io.ReadCloser
	ended    bool
}

// exchange is one request and its answer on a connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	stop    func() bool
	written chan error
	keep    bool
}

// Do sends the request and returns its answer. When the context ends the connection is closed, so that the peer notices at
// once. The context must stay alive until the body is read.
func (p *Pool) Do(ctx context.Context, request Request) (*Response, error) {
	c, err := p.get(ctx, request.Address, request.Fresh)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	if err := ctx.Err(); err != nil {
		p.put(c)
		return nil, &Error{Cause: err}
	}
	x := &exchange{pool: p, conn: c, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, c.abort)
	x.write(request)
	answer, err := x.read(request)
	if err != nil {
		x.stop()
		c.abort()
		if cause := ctx.Err(); cause != nil {
			err = errors.Wrap(cause, err.Error())
		}
		return nil, &Error{Sent: true, Reused: c.used, Cause: err}
	}
	return x.response(answer), nil
}

func (x *exchange) write(request Request) {
	message := append(request.Head[:len(request.Head):len(request.Head)], request.Body...)
	if len(request.Body) <= inlineBodyBytes {
		_, err := x.conn.Write(message)
		x.written <- err
		return
	}
	go func() {
		_, err := x.conn.Write(message)
		x.written <- err
	}()
}

// read returns the first answer that belongs to the request.
func (x *exchange) read(request Request) (*http.Response, error) {
	for range maxForeignAnswers + 1 {
		answer, err := x.final(request.Method)
		if err != nil {
			return nil, err
		}
		if request.Matches == nil || request.Matches(answer.Header) {
			return answer, nil
		}
		if err := skip(answer); err != nil {
			return nil, err
		}
	}
	return nil, ErrForeignAnswer
}

// final reads an answer and leaves out interim ones.
func (x *exchange) final(method string) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK || answer.StatusCode == http.StatusSwitchingProtocols {
			return answer, nil
		}
	}
}

// skip reads an answer to another request up to its end.
func skip(answer *http.Response) error {
	if answer.Close || answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		return ErrForeignAnswer
	}
	if _, err := io.CopyN(io.Discard, answer.Body, maxForeignBytes); err != io.EOF {
		return ErrForeignAnswer
	}
	return nil
}

func (x *exchange) response(answer *http.Response) *Response {
	x.keep = !answer.Close && (answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0)
	x.conn.idleLimit = idleLimit(answer.Header.Get("Keep-Alive"))
	return &Response{
		Status:   answer.StatusCode,
		Header:   answer.Header,
		Reused:   x.conn.used,
		exchange: x,
		body:     answer.Body,
	}
}

// idleLimit reads the timeout of a Keep-Alive header, in whole seconds; zero if there is none.
func idleLimit(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// Read implements io.Reader. It returns io.EOF only at the proper end of the body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.ended = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the whole answer was read, the whole request was written and nothing
// else arrived.
func (r *Response) Close() {
	x := r.exchange
	if x == nil {
		return
	}
	r.exchange = nil
	alive := x.stop()
	if alive && r.ended && x.keep && x.wroteAll() && x.conn.reader.Buffered() == 0 {
		x.pool.put(x.conn)
		return
	}
	if !r.ended {
		x.conn.abort()
		return
	}
	_ = x.conn.Close()
}

func (x *exchange) wroteAll() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}
