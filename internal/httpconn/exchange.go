package httpconn

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/httpanswer"
)

const (
	// inlineBodyBytes is the largest request body that is written before the answer is read. A longer body is written by a
	// goroutine of its own while the answer is read, because a peer may answer early and stop reading.
	inlineBodyBytes = 16 << 10
	// maxMismatchedAnswers is how many answers to earlier requests an exchange skips before it fails.
	maxMismatchedAnswers = 2
	// maxMismatchedBodyBytes bounds the body of a skipped answer.
	maxMismatchedBodyBytes = 1 << 20
)

// ErrMismatchedAnswer means that the connection delivered answers to other requests only, or one that could not be skipped.
var ErrMismatchedAnswer = errors.New("answer belongs to another request")

// Request is an encoded HTTP request.
type Request struct {
	Address string
	Method  string
	// Head is the request line and the headers, including the empty line at the end.
	Head []byte
	Body []byte
	// NewConnection sends the request on a new connection instead of an idle one.
	NewConnection bool
	// Matches reports from the headers of an answer whether it belongs to the request; nil accepts every answer.
	Matches func(http.Header) bool
}

// Error reports that a request got no answer.
type Error struct {
	// Sent is false only if certainly no byte of the request was written. Otherwise the peer may have executed it.
	Sent bool
	// ReusedConnection is true if the connection had served another request before.
	ReusedConnection bool
	Cause            error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent && e.ReusedConnection {
		return "request may have been received on a reused connection: " + e.Cause.Error()
	}
	if e.Sent {
		return "request may have been received: " + e.Cause.Error()
	}
	return "request not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// PeerClosed reports whether the peer closed or reset the connection before its answer.
func (e *Error) PeerClosed() bool {
	return errors.Is(e.Cause, io.EOF) || errors.Is(e.Cause, io.ErrUnexpectedEOF) || errors.Is(e.Cause, syscall.ECONNRESET)
}

// Malformed reports whether the peer sent bytes that are no answer in HTTP.
func (e *Error) Malformed() bool {
	var malformed *httpanswer.MalformedError
	return errors.As(e.Cause, &malformed)
}

// Response is an answer whose body has not been read yet. The reader must call Close, which returns the connection to the pool
// only if the body was read to its end.
type Response struct {
	Status int
	Header http.Header
	// ReusedConnection is true if the connection had served another request before.
	ReusedConnection bool

	exchange *exchange
	conn     *conn
	answer   *http.Response
	// bodyEnded is true once the body and its trailer have been read to their end.
	bodyEnded bool
}

// exchange sends one request on a connection and reads its answer.
type exchange struct {
	pool *Pool
	conn *conn
	// stopAbort detaches the connection from the context. It returns false if the end of the context has already aborted it.
	stopAbort func() bool
	// writeResult receives the result of writing the request.
	writeResult chan error
	// reusable is true if the answer allows another request on the connection.
	reusable bool
}

// Do sends the request and returns its answer. When the context ends, the connection is closed, so that the peer notices at
// once. The context must stay valid until the body has been read. All errors are of type *Error.
func (p *Pool) Do(ctx context.Context, request Request) (*Response, error) {
	c, err := p.acquire(ctx, request.Address, request.NewConnection)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	if err := ctx.Err(); err != nil {
		p.release(c)
		return nil, &Error{Cause: err}
	}
	x := &exchange{pool: p, conn: c, writeResult: make(chan error, 1)}
	x.stopAbort = context.AfterFunc(ctx, c.abort)
	x.write(request)
	answer, err := x.readAnswer(request)
	if err != nil {
		x.stopAbort()
		c.abort()
		if cause := ctx.Err(); cause != nil {
			err = errors.Wrap(cause, err.Error())
		}
		return nil, &Error{Sent: true, ReusedConnection: c.reused, Cause: err}
	}
	return x.newResponse(answer), nil
}

// write sends the request, a long one in the background. Its result goes to writeResult.
func (x *exchange) write(request Request) {
	message := append(request.Head[:len(request.Head):len(request.Head)], request.Body...)
	if len(request.Body) <= inlineBodyBytes {
		_, err := x.conn.Write(message)
		x.writeResult <- err
		return
	}
	go func() {
		_, err := x.conn.Write(message)
		x.writeResult <- err
	}()
}

// readAnswer returns the first answer that belongs to the request. It skips late answers to earlier requests.
func (x *exchange) readAnswer(request Request) (*http.Response, error) {
	for range maxMismatchedAnswers + 1 {
		answer, err := x.readFinalAnswer(request.Method)
		if err != nil {
			return nil, err
		}
		if request.Matches == nil || request.Matches(answer.Header) {
			return answer, nil
		}
		if err := discardAnswer(answer); err != nil {
			return nil, err
		}
	}
	return nil, ErrMismatchedAnswer
}

// readFinalAnswer reads the head of the next answer, of at most maxHeadBytes, and skips interim responses. A status that is not final or a field that is
// invalid is an error: the bytes after it belong to no protocol that was asked for.
func (x *exchange) readFinalAnswer(method string) (*http.Response, error) {
	x.conn.limiter.start()
	defer x.conn.limiter.stop()
	for {
		answer, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, x.conn.readError(err)
		}
		if err := httpanswer.CheckFields(answer.Header); err != nil {
			return nil, err
		}
		if httpanswer.IsInterim(answer.StatusCode) {
			continue
		}
		if err := httpanswer.CheckFinal(answer.StatusCode); err != nil {
			return nil, err
		}
		return answer, nil
	}
}

// discardAnswer reads an answer to another request to its end. It fails if the end of the body is not marked or too far away.
func discardAnswer(answer *http.Response) error {
	if answer.Close || answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		return ErrMismatchedAnswer
	}
	if _, err := io.CopyN(io.Discard, answer.Body, maxMismatchedBodyBytes); err != io.EOF {
		return ErrMismatchedAnswer
	}
	return httpanswer.CheckFields(answer.Trailer)
}

// newResponse returns the response for an answer and records whether and how long its connection may be reused.
func (x *exchange) newResponse(answer *http.Response) *Response {
	x.reusable = !answer.Close && (answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0)
	x.conn.keepAliveTimeout = parseKeepAliveTimeout(answer.Header.Get("Keep-Alive"))
	return &Response{
		Status:           answer.StatusCode,
		Header:           answer.Header,
		ReusedConnection: x.conn.reused,
		exchange:         x,
		conn:             x.conn,
		answer:           answer,
	}
}

// parseKeepAliveTimeout returns the timeout parameter of a Keep-Alive header, which is in whole seconds; zero if there is none.
func parseKeepAliveTimeout(header string) time.Duration {
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

// Read implements io.Reader. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.answer.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err != io.EOF:
		return n, r.conn.readError(err)
	}
	if err := httpanswer.CheckFields(r.answer.Trailer); err != nil {
		return n, err
	}
	r.bodyEnded = true
	return n, io.EOF
}

// Close ends the exchange. The connection returns to the pool if the whole answer was read, the whole request was written, the
// peer allows reuse and no further data arrived. Further calls have no effect.
func (r *Response) Close() {
	x := r.exchange
	if x == nil {
		return
	}
	r.exchange = nil
	notAborted := x.stopAbort()
	if notAborted && r.bodyEnded && x.reusable && x.requestWritten() && x.conn.reader.Buffered() == 0 {
		x.pool.release(x.conn)
		return
	}
	if !r.bodyEnded {
		x.conn.abort()
		return
	}
	_ = x.conn.Close()
}

// requestWritten reports whether the whole request has been written without an error.
func (x *exchange) requestWritten() bool {
	select {
	case err := <-x.writeResult:
		return err == nil
	default:
		return false
	}
}
