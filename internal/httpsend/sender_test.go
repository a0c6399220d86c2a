package httpsend

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func post(t *testing.T, ctx context.Context, url string, body io.Reader) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Idempotency-Key", "k1")
	return request
}

func maybeSent(t *testing.T, err error) bool {
	t.Helper()
	var failure *Error
	if !errors.As(err, &failure) {
		t.Fatalf("error %v is not an *Error", err)
	}
	return failure.Sent
}

// Guards against reporting a request as possibly sent when the connection was refused.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = New(Options{}).Do(post(t, t.Context(), "http://"+address, strings.NewReader("x")))
	if maybeSent(t, err) {
		t.Fatalf("refused connection reported as sent: %v", err)
	}
}

// Guards against net/http retrying a request on its own after the server has read it and closed a reused connection. net/http
// does this only for requests with an idempotency key and an empty or rewindable body.
func TestRequestIsNeverRepeated(t *testing.T) {
	for name, body := range map[string]io.Reader{"empty body": nil, "rewindable body": strings.NewReader("print")} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if requests.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			sender := New(Options{MaxConnsPerHost: 1})
			response, err := sender.Do(post(t, t.Context(), server.URL, nil))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			_, err = sender.Do(post(t, t.Context(), server.URL, body))
			if !maybeSent(t, err) {
				t.Fatalf("request that the server read is reported as not sent: %v", err)
			}
			if got := requests.Load(); got != 2 {
				t.Fatalf("server saw %d requests, want 2", got)
			}
		})
	}
}

// Guards against following a redirect, which would run an order at a second address.
func TestRedirectIsNotFollowed(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	response, err := New(Options{}).Do(post(t, t.Context(), server.URL, strings.NewReader("x")))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusTemporaryRedirect || requests.Load() != 1 {
		t.Fatalf("status %d after %d requests, want 307 after 1", response.StatusCode, requests.Load())
	}
}

// Guards against a switch of protocols that nobody asked for being returned as an answer, whose body never ends.
func TestSwitchOfProtocolsIsNoAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusSwitchingProtocols)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	response, err := New(Options{}).Do(post(t, t.Context(), server.URL, strings.NewReader("x")))
	if err == nil {
		_ = response.Body.Close()
		t.Fatalf("response with status %d", response.StatusCode)
	}
	if !maybeSent(t, err) {
		t.Errorf("reported as not sent: %v", err)
	}
}

// Guards against reporting a request as possibly sent when its deadline passed while it waited for a free connection.
func TestWaitForConnectionIsNotSent(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	}))
	defer server.Close()
	defer close(release)
	sender := New(Options{MaxConnsPerHost: 1})
	go func() { _, _ = sender.Do(post(t, t.Context(), server.URL, nil)) }()
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := sender.Do(post(t, ctx, server.URL, nil))
	if maybeSent(t, err) {
		t.Fatalf("request without a connection reported as sent: %v", err)
	}
}

// Guards against a transport that still writes the request after it was reported as not sent.
func TestSealedConnectionWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn := &trackedConn{Conn: near}
	attempt := &attempt{connUses: []connUse{{conn: conn}}}
	if attempt.sealAndCheckSent() {
		t.Fatal("connection without a write reported as sent")
	}
	if _, err := conn.Write([]byte("POST")); !errors.Is(err, net.ErrClosed) {
		t.Fatalf("write on a sealed connection returned %v, want net.ErrClosed", err)
	}
}

// Guards against counting the writes of a TLS handshake as part of the request, and against not counting a request that was
// sent over TLS.
func TestTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	if _, err := New(Options{}).Do(post(t, t.Context(), server.URL, nil)); maybeSent(t, err) {
		t.Errorf("request to a server with an unknown certificate reported as sent: %v", err)
	}
	if _, ok := unwrapTracked(tls.Client(&trackedConn{}, &tls.Config{})); !ok {
		t.Error("the tracked connection below TLS was not found")
	}
	trusting := New(Options{TLS: server.Client().Transport.(*http.Transport).TLSClientConfig})
	if _, err := trusting.Do(post(t, t.Context(), server.URL, nil)); !maybeSent(t, err) {
		t.Errorf("request that the server read is reported as not sent: %v", err)
	}
}
