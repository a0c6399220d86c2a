// Package engine is the HTTP client of backend servers: it sends chat completions and admin calls to model engines, and calls
// to plain services. It holds no policy: each call is one attempt, and its error states what is known for certain, such as
// whether the request can have run.
package engine

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/buffer"
	"github.com/cicadawall/cicadawall/internal/httpsend"
)

// Headers exchanged with backend servers.
const (
	HeaderLoad           = "X-Engine-Load"
	HeaderCompletionID   = "X-Cicadawall-Completion-Id"
	HeaderResumeFrom     = "X-Cicadawall-Resume-From"
	HeaderPriority       = "X-Cicadawall-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderFence          = "X-Cicadawall-Fence"
	// HeaderFenceRefused is set on a response that refuses a stale fencing token.
	HeaderFenceRefused = "X-Cicadawall-Fence-Refused"
)

const (
	completionsPath = "/v1/chat/completions"
	// defaultMaxStreams is the default bound on the connections to one engine that carry completions.
	defaultMaxStreams = 256
	// maxAdminConns bounds the connections to one engine that carry admin calls. They are separate from the connections for
	// completions, so that the load of a busy engine can still be read and its completions can be cancelled.
	maxAdminConns = 4
	// maxErrorBodyBytes bounds the body of an error response.
	maxErrorBodyBytes = 16 << 10
	// maxAnswerBytes bounds an answer that is not streamed.
	maxAnswerBytes = 8 << 20
	// defaultBufferBytes is the default memory for responses that are being read. A faulty server may send bytes without end to each of the
	// requests that it works on.
	defaultBufferBytes = 64 << 20
)

// Options configures a Client or a PlainClient. Zero values take the defaults.
type Options struct {
	// MaxConnsPerServer bounds the connections to one backend server, and with them the completions that run at one engine;
	// default 256 for engines and 64 for plain services.
	MaxConnsPerServer int
	// DialTimeout bounds the connection set-up; default 1 s.
	DialTimeout time.Duration
	// BufferBytes bounds the memory of all responses that are being read until they are complete; default 64 MB.
	BufferBytes int64
}

// Client sends requests to model engines, which are addressed by IP:port.
type Client struct {
	completions *httpsend.Sender
	admin       *httpsend.Sender
	buffers     *buffer.Budget
}

// NewClient returns a client that can call any number of engines.
func NewClient(options Options) *Client {
	if options.MaxConnsPerServer == 0 {
		options.MaxConnsPerServer = defaultMaxStreams
	}
	return &Client{
		completions: httpsend.New(httpsend.Options{DialTimeout: options.DialTimeout, MaxConnsPerHost: options.MaxConnsPerServer}),
		admin:       httpsend.New(httpsend.Options{DialTimeout: options.DialTimeout, MaxConnsPerHost: maxAdminConns}),
		buffers:     buffer.NewBudget(cmp.Or(options.BufferBytes, defaultBufferBytes)),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.completions.Close()
	c.admin.Close()
}

// Request describes one attempt of a chat completion.
type Request struct {
	// Body is sent unchanged, except that Complete and Stream set its stream fields. Its model field holds model@version.
	Body api.ChatCompletionRequest
	// CompletionID is the id that the chunks carry and that Cancel takes. The router chooses it, so that an answer that is
	// resumed at another engine keeps its id.
	CompletionID string
	// ResumeFrom is the sequence number of the last chunk received; 0 starts from the beginning.
	ResumeFrom int64
	// Priority is 0 to 9; the engine serves requests with a higher priority first.
	Priority int
	// StallTimeout bounds the wait for the next chunk of a stream; 0 means that only the context bounds it.
	StallTimeout time.Duration
}

// Answer is an answer that was not streamed.
type Answer struct {
	Completion api.ChatCompletion
	// Load is the load report from the response header, or nil.
	Load *LoadReport
}

// Complete requests an answer without streaming. The error is an *Error.
func (c *Client) Complete(ctx context.Context, address string, request Request) (Answer, error) {
	const operation = "chat completion"
	request.Body.Stream = false
	request.Body.StreamOptions = nil
	response, err := c.send(ctx, operation, address, request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{Load: parseLoadHeader(response.Header, time.Now())}
	body, err := readAnswer(c.buffers, response.Body, maxAnswerBytes)
	if err != nil {
		return Answer{}, bodyError(operation, address, response, err)
	}
	if err := json.Unmarshal(body, &answer.Completion); err != nil {
		return Answer{}, &Error{Kind: KindMalformed, Operation: operation, Address: address, Status: response.StatusCode, Load: answer.Load, Cause: err}
	}
	return answer, nil
}

// Stream requests a streamed answer. It returns once the response headers have arrived. The error is an *Error. The stream
// must be closed; closing it before its end makes the engine cancel the completion.
func (c *Client) Stream(ctx context.Context, address string, request Request) (*Stream, error) {
	request.Body.Stream = true
	ctx, cancel := context.WithCancelCause(ctx)
	response, err := c.send(ctx, streamOperation, address, request)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	return newStream(ctx, cancel, address, request, response), nil
}

// send makes one attempt. It returns a response with status 200, whose body must be closed; any other status is an error.
func (c *Client) send(ctx context.Context, operation, address string, request Request) (*http.Response, error) {
	body, err := json.Marshal(request.Body)
	if err != nil {
		return nil, &Error{Kind: KindNotSent, Operation: operation, Address: address, Cause: errors.Wrap(err, "encode request")}
	}
	httpRequest, err := newRequest(ctx, http.MethodPost, address, completionsPath, body)
	if err != nil {
		return nil, &Error{Kind: KindNotSent, Operation: operation, Address: address, Cause: err}
	}
	httpRequest.Header.Set(HeaderCompletionID, request.CompletionID)
	httpRequest.Header.Set(HeaderPriority, strconv.Itoa(request.Priority))
	if request.ResumeFrom > 0 {
		httpRequest.Header.Set(HeaderResumeFrom, strconv.FormatInt(request.ResumeFrom, 10))
	}
	response, err := c.completions.Do(httpRequest)
	if err != nil {
		return nil, sendError(operation, address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(operation, address, response)
	}
	return response, nil
}

// newRequest builds a request whose body, if it is not empty, is declared as JSON.
func newRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

var errResponseTooLarge = errors.New("response is too large")

// readBody reads a whole body. A body longer than maxBytes is errResponseTooLarge.
func readBody(body io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > maxBytes {
		return nil, errResponseTooLarge
	}
	return data, nil
}

// readAnswer reads the whole body of an answer. A body longer than maxBytes, or than the memory for buffers allows now, is
// errResponseTooLarge.
func readAnswer(buffers *buffer.Budget, body io.Reader, maxBytes int) ([]byte, error) {
	memory := buffers.NewReservation()
	defer memory.Release()
	data, err := memory.ReadAll(body, maxBytes)
	if errors.Is(err, buffer.ErrTooLong) || errors.Is(err, buffer.ErrFull) {
		return nil, errResponseTooLarge
	}
	return data, err
}

// bodyError returns the Error for a response whose body could not be read.
func bodyError(operation, address string, response *http.Response, err error) *Error {
	kind := KindInterrupted
	if errors.Is(err, errResponseTooLarge) {
		kind = KindMalformed
	}
	return &Error{Kind: kind, Operation: operation, Address: address, Status: response.StatusCode, Cause: err}
}

// statusError returns the Error for a response with an error status. It reads the error body and closes it.
func statusError(operation, address string, response *http.Response) *Error {
	defer func() { _ = response.Body.Close() }()
	failure := &Error{Kind: statusKind(response.StatusCode), Operation: operation, Address: address, Status: response.StatusCode}
	failure.Load = parseLoadHeader(response.Header, time.Now())
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	body, err := readBody(response.Body, maxErrorBodyBytes)
	if err != nil {
		failure.Cause = err
		return failure
	}
	var detail api.ErrorBody
	if json.Unmarshal(body, &detail) == nil {
		failure.Code = detail.Error.Code
		failure.Message = detail.Error.Message
	}
	return failure
}
