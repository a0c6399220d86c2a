package access

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// Guards against keys that authenticate the wrong organisation or none, and against headers without a valid key that are
// accepted.
func TestCallerKeys(t *testing.T) {
	doc := &api.Declaration{Organisations: []api.Organisation{
		{Name: "guild", KeyHashes: []string{strings.ToUpper(HashKey("g1")), HashKey("g2")}},
		{Name: "parabole", KeyHashes: []string{HashKey("p1")}},
	}}
	snapshot := declaration.Compile(1, doc)
	cases := map[string]string{
		"Bearer g1": "guild", "bearer g2": "guild", "Bearer p1": "parabole", "Bearer  p1": "parabole",
		"Bearer x": "", "Bearer ": "", "": "", "p1": "", "Basic p1": "", "Bearer " + HashKey("p1"): "", "Bearer p1 p1": "",
	}
	for header, want := range cases {
		organisation, refused := AuthenticateCaller(snapshot, header)
		if want == "" {
			if refused == nil || refused.Code != fault.CodeUnauthenticated || refused.Outcome != api.OutcomeNotRun {
				t.Errorf("%q: %v, want unauthenticated", header, refused)
			}
			continue
		}
		if refused != nil || organisation.Name != want {
			t.Errorf("%q: %v, want %s", header, refused, want)
		}
	}
}

// Guards against operator keys that are not checked, and against malformed key hashes in the settings that are accepted.
func TestOperatorKeys(t *testing.T) {
	keys, err := NewOperatorKeys([]string{HashKey("a"), HashKey("b"), HashKey("b")})
	if err != nil {
		t.Fatal(err)
	}
	for header, want := range map[string]bool{"Bearer a": true, "Bearer c": false, "": false} {
		if got := keys.Authenticate(header) == nil; got != want {
			t.Errorf("%q accepted: %t, want %t", header, got, want)
		}
	}
	if (OperatorKeys{}).Authenticate("Bearer a") == nil {
		t.Error("a key was accepted although no keys are configured")
	}
	for _, broken := range []string{"zz", "abcd", ""} {
		if _, err := NewOperatorKeys([]string{broken}); err == nil {
			t.Errorf("hash %q accepted", broken)
		}
	}
}

// Guards against panics and against keys with spaces or line breaks, which could be injected into other headers or logs.
func FuzzBearerKey(f *testing.F) {
	for _, seed := range []string{"", "Bearer k", "bearer  k ", "Bearer", "Basic x", "Bearer \x00", "Bearer a\tb"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, header string) {
		key, ok := BearerKey(header)
		if ok && (key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\r\n")) {
			t.Errorf("header %q was parsed as the invalid key %q", header, key)
		}
		if !ok && key != "" {
			t.Errorf("header %q was rejected but returned the key %q", header, key)
		}
	})
}

// pipeListener is a net.Listener that accepts one in-memory connection, so that a server can run in a synctest bubble.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// sendToHardenedServer starts a hardened server, writes the raw request to it and returns the client's connection.
func sendToHardenedServer(t *testing.T, handler http.Handler, rawRequest string) net.Conn {
	client, server := net.Pipe()
	listener := &pipeListener{connections: make(chan net.Conn, 1), closed: make(chan struct{})}
	listener.connections <- server
	s := &http.Server{Handler: handler}
	Harden(s, Bounds{MaxBodyBytes: 10})
	go s.Serve(listener)
	t.Cleanup(func() {
		client.Close()
		s.Close()
	})
	if _, err := io.WriteString(client, rawRequest); err != nil {
		t.Fatal(err)
	}
	return client
}

// Guards against a body timeout that also interrupts a long streamed response, and against a body that may take any time.
func TestBodyTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result := make(chan error, 2)
		handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err != nil {
				result <- err
				return
			}
			select {
			case <-r.Context().Done():
				result <- context.Cause(r.Context())
			case <-time.After(10 * bodyTimeout):
				result <- nil
			}
		})
		sendToHardenedServer(t, handler, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
		if err := <-result; err != nil {
			t.Errorf("a response that streams for %s after a complete body ended with %v", 10*bodyTimeout, err)
		}
		start := time.Now()
		sendToHardenedServer(t, handler, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
		if err := <-result; err == nil || time.Since(start) != bodyTimeout {
			t.Errorf("reading an incomplete body ended after %s with %v, want %s", time.Since(start), err, bodyTimeout)
		}
	})
}

// Guards against a server that waits for an incomplete header without a time limit.
func TestHeaderTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := sendToHardenedServer(t, http.NotFoundHandler(), "GET / HTTP/1.1\r\nHost")
		start := time.Now()
		io.Copy(io.Discard, client)
		if got := time.Since(start); got > readHeaderTimeout {
			t.Errorf("the server waited %s for an incomplete header", got)
		}
	})
}

// Guards against accepting bodies and header fields beyond the size limits.
func TestSizeBounds(t *testing.T) {
	var got error
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, got = io.ReadAll(r.Body)
	})}
	Harden(server, Bounds{MaxBodyBytes: 10})
	for size, want := range map[int]bool{10: true, 11: false} {
		body := bytes.NewReader(make([]byte, size))
		server.Handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", body))
		if (got == nil) != want {
			t.Errorf("body of %d bytes: %v", size, got)
		}
	}
	header := http.Header{"A": make([]string, maxHeaderFields)}
	if refused := CheckHeader(header); refused != nil {
		t.Errorf("%d fields refused", maxHeaderFields)
	}
	header.Add("B", "")
	if CheckHeader(header) == nil {
		t.Errorf("%d fields accepted", maxHeaderFields+1)
	}
	if server.MaxHeaderBytes != defaultMaxHeaderBytes || server.IdleTimeout == 0 {
		t.Error("header size or idle time is not limited")
	}
}
