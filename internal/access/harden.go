package access

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/fault"
)

const (
	// readHeaderTimeout bounds a client that sends its header slowly.
	readHeaderTimeout = 5 * time.Second
	// bodyTimeout bounds a client that sends its body slowly; 4 MiB take 28 s at 1.2 Mbit/s. http.Server.ReadTimeout is not
	// used, because it counts from the start of the header and stays set while the handler runs.
	bodyTimeout = 30 * time.Second
	// idleTimeout is above the 60 s after which usual load balancers close idle connections, so that the balancer closes
	// first and no request meets a closing connection.
	idleTimeout = 75 * time.Second
	// maxHeaderCount bounds the fields of a request. Clients send about 15, load balancers add about 10.
	maxHeaderCount = 100
	// maxStreams bounds the concurrent HTTP/2 streams of one connection.
	maxStreams = 250
	// Defaults of the settings, used for values that are not positive.
	defaultMaxHeaderBytes = 32 << 10
	defaultMaxBodyBytes   = 4 << 20
)

// Bounds are the limits of one HTTP server that the settings state.
type Bounds struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Harden sets the server's bounds and wraps its handler. There is no write timeout, because a stream may last for minutes;
// the deadline of the request bounds it. Call it after the handler and the TLS configuration were set.
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
	server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
	server.Handler = limitBody(server.Handler, bounds.MaxBodyBytes, bodyTimeout)
}

// limitBody bounds size and time of the body. Reading beyond the size returns *http.MaxBytesError and closes the connection.
func limitBody(next http.Handler, maxBytes int64, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			control := http.NewResponseController(w)
			// A writer without deadlines (a test recorder) reads without a time bound.
			if control.SetReadDeadline(time.Now().Add(timeout)) == nil {
				r.Body = &timedBody{ReadCloser: r.Body, control: control}
			}
			r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody ends the read deadline once the body was read.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if cleared := b.control.SetReadDeadline(time.Time{}); cleared != nil {
		return n, errors.Wrap(cleared, "end the read deadline")
	}
	return n, err
}

// CheckHeader refuses a request with more fields than the bound. The front end calls it first.
func CheckHeader(header http.Header) *fault.Error {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	if count <= maxHeaderCount {
		return nil
	}
	return fault.NotRun(fault.StepDecode, fault.CodeInvalidRequest, "the request has too many header fields")
}
