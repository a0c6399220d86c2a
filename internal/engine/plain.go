package engine

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/buffer"
	"github.com/cicadawall/cicadawall/internal/httpsend"
)

const (
	plainOperation = "service call"
	fencePath      = "/fence"
	// maxServiceResponseBytes bounds the response body of a plain service.
	maxServiceResponseBytes = 4 << 20
	// defaultMaxServiceConns is the default bound on the connections to one server of a plain service.
	defaultMaxServiceConns = 64
)

// PlainClient calls plain services, whose servers are addressed by IP:port.
type PlainClient struct {
	readSender  *httpsend.Sender
	writeSender *httpsend.Sender
	buffers     *buffer.Budget
}

// NewPlainClient returns a client that can call any number of servers. GET and HEAD calls use pooled connections. Every other
// call opens a new connection: the server may be closing a pooled connection while the request is sent, and then it would be
// unknown whether the request ran.
func NewPlainClient(options Options) *PlainClient {
	if options.MaxConnsPerServer == 0 {
		options.MaxConnsPerServer = defaultMaxServiceConns
	}
	pooled := httpsend.Options{DialTimeout: options.DialTimeout, MaxConnsPerHost: options.MaxConnsPerServer}
	unpooled := pooled
	unpooled.NewConnectionPerRequest = true
	return &PlainClient{
		readSender: httpsend.New(pooled), writeSender: httpsend.New(unpooled),
		buffers: buffer.NewBudget(cmp.Or(options.BufferBytes, defaultBufferBytes)),
	}
}

// Close closes idle connections.
func (p *PlainClient) Close() {
	p.readSender.Close()
	p.writeSender.Close()
}

// PlainRequest describes one attempt of a service call.
type PlainRequest struct {
	Method string
	// Path starts with a slash. Path and Query are already escaped as in a URL.
	Path        string
	Query       string
	ContentType string
	Accept      string
	Body        []byte
	// IdempotencyKey identifies an order. It may be empty for calls that can be repeated.
	IdempotencyKey string
	// Fence is the fencing token of the claim on the order; 0 means none.
	Fence int64
}

// PlainResponse is the complete response of a service, with any status.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// RetryAfter is the delay that the service requested in the Retry-After header; zero means none.
	RetryAfter time.Duration
	// FenceRefused means that the server did not run the order because its fencing token is stale.
	FenceRefused bool
}

// Call makes one attempt. A complete response is returned whatever its status; without one the error is an *Error.
func (p *PlainClient) Call(ctx context.Context, address string, call PlainRequest) (PlainResponse, error) {
	target, err := call.target()
	if err != nil {
		return PlainResponse{}, &Error{Kind: KindNotSent, Operation: plainOperation, Address: address, Cause: err}
	}
	request, err := newRequest(ctx, call.Method, address, target, call.Body)
	if err != nil {
		return PlainResponse{}, &Error{Kind: KindNotSent, Operation: plainOperation, Address: address, Cause: err}
	}
	call.setHeaders(request.Header)
	response, err := p.sender(call.Method).Do(request)
	if err != nil {
		return PlainResponse{}, sendError(plainOperation, address, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readAnswer(p.buffers, response.Body, maxServiceResponseBytes)
	if err != nil {
		return PlainResponse{}, bodyError(plainOperation, address, response, err)
	}
	result := PlainResponse{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}
	result.FenceRefused = response.Header.Get(HeaderFenceRefused) != ""
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	return result, nil
}

// target joins path and query. It rejects a path that could change the host or that holds a query or fragment.
func (r PlainRequest) target() (string, error) {
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, "?#") {
		return "", errors.Errorf("%q is not an escaped absolute path", r.Path)
	}
	if r.Query == "" {
		return r.Path, nil
	}
	return r.Path + "?" + r.Query, nil
}

func (p *PlainClient) sender(method string) *httpsend.Sender {
	if method == http.MethodGet || method == http.MethodHead {
		return p.readSender
	}
	return p.writeSender
}

func (r PlainRequest) setHeaders(header http.Header) {
	setIfPresent := func(name, value string) {
		if value != "" {
			header.Set(name, value)
		}
	}
	setIfPresent("Content-Type", r.ContentType)
	setIfPresent("Accept", r.Accept)
	setIfPresent(HeaderIdempotencyKey, r.IdempotencyKey)
	if r.Fence > 0 {
		header.Set(HeaderFence, strconv.FormatInt(r.Fence, 10))
	}
}

// RaiseFence raises the fencing token of an order key at a server that checks fencing tokens. Once it succeeds, the server runs
// no order of this key with a lower token. It fails with KindStaleFence if the server knows a higher token, and with
// KindRefused if the server does not check fencing tokens.
func (p *PlainClient) RaiseFence(ctx context.Context, address string, fence api.FenceRequest) (api.FenceResponse, error) {
	call := exchange{operation: "raise fence", address: address, method: http.MethodPost, path: fencePath}
	var response api.FenceResponse
	err := call.doJSON(ctx, p.writeSender, fence, &response)
	var failure *Error
	if errors.As(err, &failure) && failure.Status == http.StatusNotImplemented {
		failure.Kind = KindRefused
	}
	return response, err
}
