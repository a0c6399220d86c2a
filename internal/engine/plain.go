package engine

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/httpsend"
)

const (
	plainStep = "service call"
	fencePath = "/fence"
	// maxServiceBytes bounds the response of a plain service.
	maxServiceBytes = 4 << 20
	// defaultServiceConns bounds the connections to one server of plain services.
	defaultServiceConns = 64
)

// Plain speaks to plain services. Servers are named by IP:port.
type Plain struct {
	reads  *httpsend.Sender
	writes *httpsend.Sender
}

// NewPlain returns a client for any number of servers. Reads share connections. Every other call has a connection of its
// own: on a shared one the server may be closing it at this moment, and the call would end as "may have run".
func NewPlain(options Options) *Plain {
	if options.MaxConnsPerEngine == 0 {
		options.MaxConnsPerEngine = defaultServiceConns
	}
	shared := httpsend.Options{DialTimeout: options.DialTimeout, MaxConnsPerHost: options.MaxConnsPerEngine}
	fresh := shared
	fresh.NewConnectionPerRequest = true
	return &Plain{reads: httpsend.New(shared), writes: httpsend.New(fresh)}
}

// Close closes idle connections.
func (p *Plain) Close() {
	p.reads.Close()
	p.writes.Close()
}

// PlainRequest is one attempt of a service call.
type PlainRequest struct {
	Method string
	// Path starts with a slash; Path and Query are escaped as in a URL.
	Path        string
	Query       string
	ContentType string
	Accept      string
	Body        []byte
	// IdempotencyKey names an order; it may be empty for look-ups.
	IdempotencyKey string
	// Fence is the fencing number of the order's claim; 0 means none.
	Fence int64
}

// PlainResponse is the definite answer of a service, whatever its status.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// RetryAfter is the wait that the service asked for; zero means none.
	RetryAfter time.Duration
	// FenceRefused means that the server did not run the order because its fencing number is old.
	FenceRefused bool
}

// Call makes one attempt. Any status is a response; the error is an *Error for calls without a complete one.
func (p *Plain) Call(ctx context.Context, peer string, call PlainRequest) (PlainResponse, error) {
	target, err := call.target()
	if err != nil {
		return PlainResponse{}, &Error{Kind: KindNotSent, Step: plainStep, Peer: peer, Cause: err}
	}
	request, err := newRequest(ctx, call.Method, peer, target, call.Body)
	if err != nil {
		return PlainResponse{}, &Error{Kind: KindNotSent, Step: plainStep, Peer: peer, Cause: err}
	}
	call.setHeaders(request.Header)
	response, err := p.sender(call.Method).Do(request)
	if err != nil {
		return PlainResponse{}, sendError(plainStep, peer, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response.Body, maxServiceBytes)
	if err != nil {
		return PlainResponse{}, bodyError(plainStep, peer, response, err)
	}
	result := PlainResponse{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}
	result.FenceRefused = response.Header.Get(HeaderFenceRefused) != ""
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	return result, nil
}

// target joins path and query. A path that could change the host or start the query is an error.
func (r PlainRequest) target() (string, error) {
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, "?#") {
		return "", errors.Errorf("%q is not an escaped absolute path", r.Path)
	}
	if r.Query == "" {
		return r.Path, nil
	}
	return r.Path + "?" + r.Query, nil
}

func (p *Plain) sender(method string) *httpsend.Sender {
	if method == http.MethodGet || method == http.MethodHead {
		return p.reads
	}
	return p.writes
}

func (r PlainRequest) setHeaders(header http.Header) {
	optional := func(name, value string) {
		if value != "" {
			header.Set(name, value)
		}
	}
	optional("Content-Type", r.ContentType)
	optional("Accept", r.Accept)
	optional(HeaderIdempotencyKey, r.IdempotencyKey)
	if r.Fence > 0 {
		header.Set(HeaderFence, strconv.FormatInt(r.Fence, 10))
	}
}

// Fence raises the fence of an order key at a server that checks fencing numbers. After success no order of the key with a
// lower fence runs any more. It fails with KindOldFence if the server knows a higher one, and with KindRefused if the
// server does not check fencing numbers.
func (p *Plain) Fence(ctx context.Context, peer string, fence api.FenceRequest) (api.FenceResponse, error) {
	call := exchange{step: "raise fence", peer: peer, method: http.MethodPost, path: fencePath}
	var response api.FenceResponse
	err := call.json(ctx, p.writes, fence, &response)
	var failed *Error
	if errors.As(err, &failed) && failed.Status == http.StatusNotImplemented {
		failed.Kind = KindRefused
	}
	return response, err
}
