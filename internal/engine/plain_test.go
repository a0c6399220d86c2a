package engine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/standin/order"
)

func startOrders(t *testing.T, checksFence bool) (*order.Server, string) {
	t.Helper()
	server := order.New(checksFence)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, strings.TrimPrefix(listener.URL, "http://")
}

func printRun(fence int64) PlainRequest {
	return PlainRequest{Method: http.MethodPost, Path: "/prints/tour%2Fleg", Body: []byte("{}"), IdempotencyKey: "k1", Fence: fence}
}

// Guards against a second execution of an order and against a wrong statement about the first.
func TestOrderRunsOnce(t *testing.T) {
	tests := []struct {
		name   string
		faults api.OrderStandinFaults
		kind   Kind
		ran    bool
	}{
		{name: "reply lost", faults: api.OrderStandinFaults{LoseReplyNext: 1}, kind: KindNoReply, ran: true},
		{name: "closed before the order ran", faults: api.OrderStandinFaults{CloseBeforeNext: 1}, kind: KindNoReply},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, peer := startOrders(t, true)
			server.SetFaults(test.faults)
			client := NewPlain(Options{})
			defer client.Close()
			_, err := client.Call(t.Context(), peer, printRun(1))
			if failed := kindOf(t, err); failed.Kind != test.kind || failed.NotRun() {
				t.Fatalf("error %v, want %v", failed, test.kind)
			}
			response, err := client.Fence(t.Context(), peer, api.FenceRequest{Key: "k1", Fence: 2})
			if err != nil || response.Ran != test.ran {
				t.Fatalf("fence response %+v, %v, want ran %t", response, err, test.ran)
			}
			late, err := client.Call(t.Context(), peer, printRun(1))
			if err != nil || !late.FenceRefused || late.Status != http.StatusConflict {
				t.Fatalf("order with an old fencing number: %+v, %v", late, err)
			}
			if got := server.Executions().Orders[0].Count; (got == 1) != test.ran {
				t.Fatalf("order ran %d times", got)
			}
			if _, err := client.Fence(t.Context(), peer, api.FenceRequest{Key: "k1", Fence: 1}); kindOf(t, err).Kind != KindOldFence {
				t.Fatalf("lower fence: %v", err)
			}
		})
	}
}

// Guards against a server without fencing that seems to promise that an order never ran.
func TestFenceUnsupported(t *testing.T) {
	_, peer := startOrders(t, false)
	client := NewPlain(Options{})
	defer client.Close()
	if _, err := client.Fence(t.Context(), peer, api.FenceRequest{Key: "k1", Fence: 1}); kindOf(t, err).Kind != KindRefused {
		t.Fatalf("fence at a server that does not check: %v", err)
	}
}

// Guards against a path that changes the host to which an order goes.
func TestPathCannotChangeTheHost(t *testing.T) {
	client := NewPlain(Options{})
	defer client.Close()
	for _, path := range []string{"", "@127.0.0.1:1/x", "x", "/a?b", "/a#b"} {
		_, err := client.Call(t.Context(), "127.0.0.1:1", PlainRequest{Method: http.MethodPost, Path: path})
		if failed := kindOf(t, err); failed.Kind != KindNotSent || !strings.Contains(failed.Error(), "escaped absolute path") {
			t.Errorf("path %q: %v", path, err)
		}
	}
}
