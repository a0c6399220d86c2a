package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/standin/order"
)

func startOrderServer(t *testing.T, checksFence bool) (*order.Server, string) {
	t.Helper()
	server := order.New(checksFence)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, strings.TrimPrefix(listener.URL, "http://")
}

func orderRequest(fence int64) PlainRequest {
	return PlainRequest{Method: http.MethodPost, Path: "/prints/tour%2Fleg", Body: []byte("{}"), IdempotencyKey: "k1", Fence: fence}
}

// Guards against a second execution of an order after its fencing token was raised, and against a fence response that states
// wrongly whether the order ran.
func TestOrderRunsOnce(t *testing.T) {
	tests := []struct {
		name   string
		faults api.OrderStandinFaults
		kind   Kind
		ran    bool
	}{
		{name: "reply lost", faults: api.OrderStandinFaults{LoseReplyNext: 1}, kind: KindNoResponse, ran: true},
		{name: "closed before the order ran", faults: api.OrderStandinFaults{CloseBeforeNext: 1}, kind: KindNoResponse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, address := startOrderServer(t, true)
			server.SetFaults(test.faults)
			client := NewPlainClient(Options{})
			defer client.Close()
			_, err := client.Call(t.Context(), address, orderRequest(1))
			if failure := asEngineError(t, err); failure.Kind != test.kind || failure.NotRun() {
				t.Fatalf("error %v, want %v", failure, test.kind)
			}
			response, err := client.RaiseFence(t.Context(), address, api.FenceRequest{Key: "k1", Fence: 2})
			if err != nil || response.Ran != test.ran {
				t.Fatalf("fence response %+v, %v, want ran %t", response, err, test.ran)
			}
			late, err := client.Call(t.Context(), address, orderRequest(1))
			if err != nil || !late.FenceRefused || late.Status != http.StatusConflict {
				t.Fatalf("order with a stale fencing token: %+v, %v", late, err)
			}
			if got := server.Executions().Orders[0].Count; (got == 1) != test.ran {
				t.Fatalf("order ran %d times", got)
			}
			if _, err := client.RaiseFence(t.Context(), address, api.FenceRequest{Key: "k1", Fence: 1}); asEngineError(t, err).Kind != KindStaleFence {
				t.Fatalf("lower fence: %v", err)
			}
		})
	}
}

// Guards against treating the response of a server that does not check fencing tokens as proof that an order never ran.
func TestFenceUnsupported(t *testing.T) {
	_, address := startOrderServer(t, false)
	client := NewPlainClient(Options{})
	defer client.Close()
	if _, err := client.RaiseFence(t.Context(), address, api.FenceRequest{Key: "k1", Fence: 1}); asEngineError(t, err).Kind != KindRefused {
		t.Fatalf("fence at a server that does not check fencing tokens: %v", err)
	}
}

// Guards against a path that changes the host to which an order is sent.
func TestPathCannotChangeTheHost(t *testing.T) {
	client := NewPlainClient(Options{})
	defer client.Close()
	for _, path := range []string{"", "@127.0.0.1:1/x", "x", "/a?b", "/a#b"} {
		_, err := client.Call(t.Context(), "127.0.0.1:1", PlainRequest{Method: http.MethodPost, Path: path})
		if failure := asEngineError(t, err); failure.Kind != KindNotSent || !strings.Contains(failure.Error(), "escaped absolute path") {
			t.Errorf("path %q: %v", path, err)
		}
	}
}

// Guards against a faulty server whose bytes without end fill the memory although each response is bounded, and against a bound that is
// charged for ever.
func TestEndlessResponsesShareMemory(t *testing.T) {
	const bufferBytes, rounds = 1 << 20, 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		block := []byte(strings.Repeat("x", 64<<10))
		for r.URL.Path == "/endless" {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
		_, _ = w.Write([]byte("short"))
	}))
	defer server.Close()
	client := NewPlainClient(Options{BufferBytes: bufferBytes})
	defer client.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for range rounds {
		_, err := client.Call(t.Context(), address, PlainRequest{Method: http.MethodGet, Path: "/endless"})
		if failure := asEngineError(t, err); failure.Kind != KindMalformed {
			t.Fatalf("error %v, want %v", failure, KindMalformed)
		}
		if used := client.buffers.Used(); used != 0 {
			t.Fatalf("%d bytes are still reserved", used)
		}
	}
	if response, err := client.Call(t.Context(), address, PlainRequest{Method: http.MethodGet, Path: "/short"}); err != nil || string(response.Body) != "short" {
		t.Errorf("short response afterwards: %+v, %v", response, err)
	}
}

// Guards against a service that stops in the middle of its answer and closes the connection, whose answer is taken for a whole one.
func TestPlainAnswerCutAtEveryByte(t *testing.T) {
	const body = "printed"
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 7\r\n\r\n" + body,
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\npri\r\n4;extension=1\r\nnted\r\n0\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n7\r\nprinted\r\n0\r\nT: x\r\n\r\n",
	} {
		for cut := range len(answer) + 1 {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, answer[:cut])
				}
			}()
			client := NewPlainClient(Options{})
			response, err := client.Call(t.Context(), listener.Addr().String(), orderRequest(1))
			if whole := err == nil; whole != (cut == len(answer)) || whole && string(response.Body) != body {
				t.Errorf("%s, cut after %d of %d bytes: %+v, error %v", name, cut, len(answer), response, err)
			}
			if err != nil && asEngineError(t, err).NotRun() {
				t.Errorf("%s, cut after %d of %d bytes: %v says that the call did not run", name, cut, len(answer), err)
			}
			client.Close()
			_ = listener.Close()
		}
	}
}
