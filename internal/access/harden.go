package access

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/fault"
)

const (
	// readHeaderTimeout bounds the time in which a client must send the request header.
	readHeaderTimeout = 5 * time.Second
	// bodyTimeout bounds the time in which a client must send the request body; 4 MiB take 28 s at 1.2 Mbit/s.
	// http.Server.ReadTimeout is not used, because it includes the header and stays in effect while the handler runs.
	bodyTimeout = 30 * time.Second
	// idleTimeout exceeds the 60 s after which common load balancers close idle connections, so that the balancer closes
	// first and does not send a request on a connection that the server is closing.
	idleTimeout = 75 * time.Second
	// maxHeaderFields bounds the header fields of a request. Clients send about 15, and load balancers add about 10.
	maxHeaderFields = 100
	// maxConcurrentStreams bounds the concurrent HTTP/2 streams of a connection.
	maxConcurrentStreams = 250
	// Defaults for Bounds whose values are not positive.
	defaultMaxHeaderBytes = 32 << 10
	defaultMaxBodyBytes   = 4 << 20
)

// Bounds holds the size limits of one HTTP server, which come from the settings.
type Bounds struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Harden sets the server's timeouts and size limits and wraps its handler, so the handler and the TLS configuration must be set
// before. It sets no write timeout, because a streamed response may last for minutes; the deadline of the request bounds it.
func Harden(server *http.Server, bounds Bounds) {
	if bounds.MaxHeaderBytes <= 0 {
		bounds.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if bounds.MaxBodyBytes <= 0 {
		bounds.MaxBodyBytes = defaultMaxBodyBytes
	}
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = bounds.MaxHeaderBytes
	server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams}
	server.Handler = LimitBody(server.Handler, bounds.MaxBodyBytes, bodyTimeout)
}

// LimitBody bounds the size of request bodies and the time to read them. Reading beyond maxBytes returns *http.MaxBytesError
// and closes the connection.
func LimitBody(next http.Handler, maxBytes int64, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			controller := http.NewResponseController(w)
			// A response writer without read deadlines, such as a test recorder, leaves the time unbounded.
			if controller.SetReadDeadline(time.Now().Add(timeout)) == nil {
				r.Body = &timedBody{ReadCloser: r.Body, controller: controller}
			}
			r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody clears the connection's read deadline at the end of the body, so that the deadline does not interrupt the response.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read implements io.Reader. It clears the read deadline when the body ends.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if clearErr := b.controller.SetReadDeadline(time.Time{}); clearErr != nil {
		return n, errors.Wrap(clearErr, "clear the read deadline")
	}
	return n, err
}

// CheckHeader refuses a request with more than maxHeaderFields header fields. Servers call it before anything else reads the
// request.
func CheckHeader(header http.Header) *fault.Error {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	if count <= maxHeaderFields {
		return nil
	}
	return fault.NotRun(fault.StepDecode, fault.CodeInvalidRequest, "the request has too many header fields")
}
