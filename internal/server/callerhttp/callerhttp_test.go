package callerhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cicadawall/cicadawall/internal/access"
	"github.com/cicadawall/cicadawall/internal/buffer"
	"github.com/cicadawall/cicadawall/internal/callerconn"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/dispatch"
	"github.com/cicadawall/cicadawall/internal/fault"
)

const (
	maxBodyBytes  = 1 << 20
	answerTimeout = 20 * time.Second
)

// fakeRouter knows the key "k" and refuses all requests as it would without a backend server.
type fakeRouter struct{}

func (fakeRouter) Authenticate(header string) (string, *fault.Error) {
	if header != "Bearer k" {
		return "", fault.NotRun(fault.StepAuthenticate, fault.CodeUnauthenticated, "the key is unknown")
	}
	return "guild", nil
}

func (fakeRouter) SubmitModel(context.Context, dispatch.ModelRequest) (*dispatch.Reply, *fault.Error) {
	return nil, fault.NotRun(fault.StepChoose, fault.CodeNoBackendServer, "read")
}

func (fakeRouter) SubmitPlain(_ context.Context, request dispatch.PlainRequest) (*dispatch.Reply, *fault.Error) {
	return nil, fault.NotRun(fault.StepChoose, fault.CodeNoBackendServer, fmt.Sprintf("read %d bytes", len(request.Body)))
}

func (fakeRouter) AllowedVersions(string) ([]declaration.VersionID, *fault.Error) { return nil, nil }
func (fakeRouter) MaxBodyBytes() int64                                            { return maxBodyBytes }

// serve starts the caller API with a memory for bodies, whose bodies and connections have no grace period, and returns its address.
func serve(t *testing.T, connections int, memory int64) string {
	t.Helper()
	e := echo.New()
	Register(e, fakeRouter{}, buffer.NewBodies(memory, time.Millisecond, func(string) {}))
	table := callerconn.NewTable(callerconn.Options{Limit: connections, Grace: time.Millisecond, OnEvict: func(string) {}})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: table.Handler(e), ConnContext: table.ConnContext, ConnState: table.ConnState}
	access.Harden(server, access.Bounds{MaxBodyBytes: maxBodyBytes})
	served := make(chan error)
	go func() { served <- server.Serve(table.Listener(listener)) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	return listener.Addr().String()
}

// begin sends the head of a service call and a part of its body.
func begin(t *testing.T, address, key, framing, part string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(conn, "POST /services/s/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n%s", key, framing, part); err != nil {
		t.Fatal(err)
	}
	return conn
}

// answer reads an answer and its body.
func answer(reader *bufio.Reader) (*http.Response, string, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// Guards against refusals that wait for the rest of a body, and against their connections staying open without end.
func TestRefusedBeforeTheEndOfTheBody(t *testing.T) {
	address := serve(t, 100, 4*maxBodyBytes)
	for name, c := range map[string]struct {
		key, framing, part string
		status             int
	}{
		"unknown key":               {"other", "Content-Length: 600", "x", http.StatusUnauthorized},
		"announced above the limit": {"k", "Content-Length: 1048577", "x", http.StatusRequestEntityTooLarge},
		"chunks above the limit":    {"k", "Transfer-Encoding: chunked", "100001\r\n" + strings.Repeat("x", maxBodyBytes+1), http.StatusRequestEntityTooLarge},
		"invalid chunk":             {"k", "Transfer-Encoding: chunked", "zz\r\n", http.StatusBadRequest},
	} {
		conn := begin(t, address, c.key, c.framing, c.part)
		reader := bufio.NewReader(conn)
		response, _, err := answer(reader)
		if err != nil || response.StatusCode != c.status || !response.Close {
			t.Errorf("%s: %+v, %v", name, response, err)
			continue
		}
		if _, err := reader.ReadByte(); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Errorf("%s: the connection stays open: %v", name, err)
		}
	}
}

// Guards against stalled bodies that shut out ordinary ones, and against a refusal of theirs that does not say that the request has not run.
func TestStalledBodiesGiveWay(t *testing.T) {
	const length, memory = 30_000, 3 << 20
	address := serve(t, 1000, memory)
	refused := make(chan string, 2*memory/length)
	for range 2 * memory / length {
		conn := begin(t, address, "k", fmt.Sprintf("Content-Length: %d", length), strings.Repeat("x", length-1))
		go func() {
			response, text, err := answer(bufio.NewReader(conn))
			if err != nil {
				return
			}
			if response.StatusCode != http.StatusTooManyRequests || response.Header.Get("Retry-After") == "" || !response.Close {
				text = fmt.Sprintf("status %d, %v, %s", response.StatusCode, response.Header, text)
			}
			refused <- text
		}()
	}
	for range memory / length {
		select {
		case text := <-refused:
			if !strings.Contains(text, `"queue_full"`) || !strings.Contains(text, `"not_run"`) || strings.HasPrefix(text, "status") {
				t.Fatal(text)
			}
		case <-time.After(answerTimeout):
			t.Fatal("bodies that do not fit in the memory are not refused")
		}
	}
	ordinary := begin(t, address, "k", "Content-Length: 600", strings.Repeat("x", 600))
	reader := bufio.NewReader(ordinary)
	for range 2 {
		response, text, err := answer(reader)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || !strings.Contains(text, "read 600 bytes") || response.Close {
			t.Fatalf("an ordinary request: %+v, %s, %v", response, text, err)
		}
		// The connection is kept for the next request.
		_, _ = fmt.Fprintf(ordinary, "POST /services/s/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\nContent-Length: 600\r\n\r\n%s", strings.Repeat("x", 600))
	}
}

// Guards against silent connections that take all places.
func TestSilentConnectionsGiveWay(t *testing.T) {
	address := serve(t, 20, 4*maxBodyBytes)
	for range 100 {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	response, text, err := answer(bufio.NewReader(begin(t, address, "k", "Content-Length: 600", strings.Repeat("x", 600))))
	if err != nil || !strings.Contains(text, "read 600 bytes") {
		t.Errorf("an ordinary request: %+v, %s, %v", response, text, err)
	}
}
