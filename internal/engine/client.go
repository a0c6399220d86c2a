// Package engine is the router's side of the conversation with backend servers: chat completions and the admin adapter of
// model engines, and calls of plain services. It holds no policy: each call is one attempt, and its error says what is
// certain about it.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/httpsend"
)

// Headers between router and backend servers.
const (
	HeaderLoad           = "X-Engine-Load"
	HeaderCompletionID   = "X-Cicadawall-Completion-Id"
	HeaderResumeFrom     = "X-Cicadawall-Resume-From"
	HeaderPriority       = "X-Cicadawall-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderFence          = "X-Cicadawall-Fence"
	// HeaderFenceRefused is set on a response that refuses an old fencing number.
	HeaderFenceRefused = "X-Cicadawall-Fence-Refused"
)

const (
	completionsPath = "/v1/chat/completions"
	// defaultStreams bounds the connections to one engine that carry completions.
	defaultStreams = 256
	// adminConns bounds the connections to one engine that carry admin calls. They are apart from the completions, so that
	// a busy engine can still be asked for its load and told to cancel.
	adminConns = 4
	// maxErrorBytes bounds an error body.
	maxErrorBytes = 16 << 10
	// maxAnswerBytes bounds a whole answer.
	maxAnswerBytes = 8 << 20
)

// Options of a Client. Zero values take the defaults.
type Options struct {
	// MaxConnsPerEngine bounds the completions that run at one engine; default 256.
	MaxConnsPerEngine int
	// DialTimeout bounds the connection set-up; default 1 s.
	DialTimeout time.Duration
}

// Client speaks to model engines. Engines are named by IP:port.
type Client struct {
	completions *httpsend.Sender
	admin       *httpsend.Sender
}

// NewClient returns a client for any number of engines.
func NewClient(options Options) *Client {
	if options.MaxConnsPerEngine == 0 {
		options.MaxConnsPerEngine = defaultStreams
	}
	return &Client{
		completions: httpsend.New(httpsend.Options{DialTimeout: options.DialTimeout, MaxConnsPerHost: options.MaxConnsPerEngine}),
		admin:       httpsend.New(httpsend.Options{DialTimeout: options.DialTimeout, MaxConnsPerHost: adminConns}),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.completions.Close()
	c.admin.Close()
}

// Request is one attempt of a chat completion.
type Request struct {
	// Body is sent as it is; its model is model@version.
	Body api.ChatCompletionRequest
	// CompletionID is the id that the chunks carry and that Cancel names. It is chosen by the router, so that a resumed
	// answer keeps it.
	CompletionID string
	// ResumeFrom is the sequence number of the last chunk received; 0 starts from the beginning.
	ResumeFrom int64
	// Priority is higher for work that is served first, 0 to 9.
	Priority int
	// StallTimeout is the longest silence between two reads of a stream; 0 means that only the context bounds it.
	StallTimeout time.Duration
}

// Answer is a whole answer.
type Answer struct {
	Completion api.ChatCompletion
	// Load is the load report that came with the answer, if any.
	Load *LoadReport
}

// Whole asks for an answer in one piece. The error is an *Error.
func (c *Client) Whole(ctx context.Context, peer string, request Request) (Answer, error) {
	const step = "chat completion"
	request.Body.Stream = false
	request.Body.StreamOptions = nil
	response, err := c.send(ctx, step, peer, request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{Load: readLoad(response.Header, time.Now())}
	body, err := readBody(response.Body, maxAnswerBytes)
	if err != nil {
		return Answer{}, bodyError(step, peer, response, err)
	}
	if err := json.Unmarshal(body, &answer.Completion); err != nil {
		return Answer{}, &Error{Kind: KindMalformed, Step: step, Peer: peer, Status: response.StatusCode, Load: answer.Load, Cause: err}
	}
	return answer, nil
}

// Stream asks for an answer in chunks. It returns when the response starts. The error is an *Error. The caller must close
// the stream; closing it early makes the engine cancel the completion.
func (c *Client) Stream(ctx context.Context, peer string, request Request) (*Stream, error) {
	request.Body.Stream = true
	ctx, cancel := context.WithCancelCause(ctx)
	response, err := c.send(ctx, streamStep, peer, request)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	return newStream(ctx, cancel, peer, request, response), nil
}

// send makes one attempt and returns a response with status 200.
func (c *Client) send(ctx context.Context, step, peer string, request Request) (*http.Response, error) {
	body, err := json.Marshal(request.Body)
	if err != nil {
		return nil, &Error{Kind: KindNotSent, Step: step, Peer: peer, Cause: errors.Wrap(err, "encode request")}
	}
	message, err := newRequest(ctx, http.MethodPost, peer, completionsPath, body)
	if err != nil {
		return nil, &Error{Kind: KindNotSent, Step: step, Peer: peer, Cause: err}
	}
	message.Header.Set(HeaderCompletionID, request.CompletionID)
	message.Header.Set(HeaderPriority, strconv.Itoa(request.Priority))
	if request.ResumeFrom > 0 {
		message.Header.Set(HeaderResumeFrom, strconv.FormatInt(request.ResumeFrom, 10))
	}
	response, err := c.completions.Do(message)
	if err != nil {
		return nil, sendError(step, peer, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(step, peer, response)
	}
	return response, nil
}

// newRequest builds a request with a JSON body.
func newRequest(ctx context.Context, method, peer, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+peer+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

var errTooLarge = errors.New("response is too large")

// readBody reads a body up to the limit in bytes.
func readBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errTooLarge
	}
	return data, nil
}

// bodyError types a body that could not be read.
func bodyError(step, peer string, response *http.Response, err error) *Error {
	kind := KindCut
	if errors.Is(err, errTooLarge) {
		kind = KindMalformed
	}
	return &Error{Kind: kind, Step: step, Peer: peer, Status: response.StatusCode, Cause: err}
}

// statusError reads an error response and closes it.
func statusError(step, peer string, response *http.Response) *Error {
	defer func() { _ = response.Body.Close() }()
	failed := &Error{Kind: statusKind(response.StatusCode), Step: step, Peer: peer, Status: response.StatusCode}
	failed.Load = readLoad(response.Header, time.Now())
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		failed.RetryAfter = time.Duration(seconds) * time.Second
	}
	body, err := readBody(response.Body, maxErrorBytes)
	if err != nil {
		failed.Cause = err
		return failed
	}
	var detail api.ErrorBody
	if json.Unmarshal(body, &detail) == nil {
		failed.Code = detail.Error.Code
		failed.Message = detail.Error.Message
	}
	return failed
}
