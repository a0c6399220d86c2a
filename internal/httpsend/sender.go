// Package httpsend makes exactly one attempt of an HTTP request and reports whether any byte of it may have left this
// process. It never follows redirects and never repeats a request.
package httpsend

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 30 * time.Second
	// maxResponseHeaderBytes bounds what a peer can make this process hold before a body starts.
	maxResponseHeaderBytes = 64 << 10
)

// Options of a Sender. Zero values take the defaults.
type Options struct {
	// DialTimeout bounds the connection set-up; default 1 s.
	DialTimeout time.Duration
	// MaxConnsPerHost bounds the connections to one address; 0 means no bound.
	MaxConnsPerHost int
	// IdleTimeout closes idle connections; default 30 s.
	IdleTimeout time.Duration
	// FreshConnections uses a new connection for each request, so that no request meets a connection that the server is
	// about to close.
	FreshConnections bool
	// Traffic is told the bytes written to and read from each connection, TLS included; nil counts nothing. It must not
	// block.
	Traffic func(written, read int)
	// TLS configures https; nil means the system's roots.
	TLS *tls.Config
}

// Error is a request that got no response.
type Error struct {
	// Sent is false if certainly no byte of the request left this process. If it is true the peer may have run it.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("request may have been sent: %v", e.Cause)
	}
	return fmt.Sprintf("request not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Sender makes single attempts over pooled connections.
type Sender struct{ transport *http.Transport }

// New returns a Sender.
func New(options Options) *Sender {
	if options.DialTimeout == 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	dialer := &net.Dialer{Timeout: options.DialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn, traffic: options.Traffic}, nil
	}
	return &Sender{transport: &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        options.MaxConnsPerHost,
		MaxIdleConnsPerHost:    options.MaxConnsPerHost,
		IdleConnTimeout:        options.IdleTimeout,
		DisableKeepAlives:      options.FreshConnections,
		TLSClientConfig:        options.TLS,
		TLSHandshakeTimeout:    options.DialTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// Close closes idle connections.
func (s *Sender) Close() { s.transport.CloseIdleConnections() }

// Do sends the request once. The error is always an *Error. The request's context bounds the call and the body.
func (s *Sender) Do(request *http.Request) (*http.Response, error) {
	attempt := &attempt{}
	trace := &httptrace.ClientTrace{GotConn: attempt.gotConn}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	preventReplay(request)
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		return nil, &Error{Sent: attempt.sealAndReport(), Cause: err}
	}
	return response, nil
}

// RoundTrip implements http.RoundTripper as Do.
func (s *Sender) RoundTrip(request *http.Request) (*http.Response, error) { return s.Do(request) }

// preventReplay gives the request a body without GetBody. net/http repeats a request on its own when the body is empty or
// can be rewound and the method is idempotent or an Idempotency-Key header is set.
func preventReplay(request *http.Request) {
	request.GetBody = nil
	if request.Body == nil || request.Body == http.NoBody {
		request.Body = emptyBody{}
		request.ContentLength = 0
	}
}

// emptyBody is an empty body that net/http does not recognise as empty.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
