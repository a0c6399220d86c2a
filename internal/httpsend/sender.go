// Package httpsend sends an HTTP request exactly once and reports on failure whether any byte of it may have left this process.
// It never follows redirects and never retries a request.
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

	"github.com/cicadawall/cicadawall/internal/tcpconn"
)

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 30 * time.Second
	// maxResponseHeaderBytes bounds the memory that a server can make this process use before the response body starts.
	maxResponseHeaderBytes = 64 << 10
	// maxCauseBytes bounds the text of an Error. The errors of net/http quote a line of up to the length of a head.
	maxCauseBytes = 300
)

// Options configures a Sender. Zero values take the defaults.
type Options struct {
	// DialTimeout bounds the TCP connection set-up, and separately the TLS handshake; default 1 s.
	DialTimeout time.Duration
	// MaxConnsPerHost bounds the connections to one address; 0 means no limit.
	MaxConnsPerHost int
	// IdleTimeout is the time after which an idle connection is closed; default 30 s.
	IdleTimeout time.Duration
	// NewConnectionPerRequest opens a new connection for each request, so that no request is sent on a pooled connection that
	// the server is about to close.
	NewConnectionPerRequest bool
	// OnTraffic is called with the number of bytes written to and read from the connections, including TLS overhead. It may be
	// nil and must not block.
	OnTraffic func(written, read int)
	// TLS configures https; nil means the default configuration with the system's root CAs.
	TLS *tls.Config
}

// Error describes a request that got no response.
type Error struct {
	// Sent is false if no byte of the request left this process. If it is true, the server may have run the request.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("request may have been sent: %.*s", maxCauseBytes, e.Cause.Error())
	}
	return fmt.Sprintf("request not sent: %.*s", maxCauseBytes, e.Cause.Error())
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Cause }

// Sender sends each request once, over pooled connections unless Options.NewConnectionPerRequest is set. It is safe for
// concurrent use.
type Sender struct{ transport checkedTransport }

// New returns a Sender with its own connection pool.
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
		return &trackedConn{Conn: tcpconn.New(conn), onTraffic: options.OnTraffic}, nil
	}
	return &Sender{transport: checkedTransport{&http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        options.MaxConnsPerHost,
		MaxIdleConnsPerHost:    options.MaxConnsPerHost,
		IdleConnTimeout:        options.IdleTimeout,
		DisableKeepAlives:      options.NewConnectionPerRequest,
		TLSClientConfig:        options.TLS,
		TLSHandshakeTimeout:    options.DialTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}}
}

// Close closes idle connections.
func (s *Sender) Close() { s.transport.CloseIdleConnections() }

// Do sends the request once. The error is always an *Error; a response whose status is not final or that has an invalid field is one. The request's
// context bounds the call and the reading of the response body.
func (s *Sender) Do(request *http.Request) (*http.Response, error) {
	attempt := &attempt{}
	trace := &httptrace.ClientTrace{GotConn: attempt.gotConn}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	preventReplay(request)
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		return nil, &Error{Sent: attempt.sealAndCheckSent(), Cause: err}
	}
	return response, nil
}

// RoundTrip implements http.RoundTripper; it is the same as Do.
func (s *Sender) RoundTrip(request *http.Request) (*http.Response, error) { return s.Do(request) }

// preventReplay makes the request impossible for net/http to retry: it removes GetBody and replaces an absent body. net/http
// retries a request on its own if the body is empty or can be rewound, and the method is idempotent or an Idempotency-Key
// header is set.
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
