package gatewayhttp

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/serverload"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

// fakeLoads is a LoadSource with a fixed answer.
type fakeLoads struct {
	query     api.GatewayLoadsQuery
	loads     api.GatewayLoads
	err       error
	malformed int
}

func (s *fakeLoads) Answer(query api.GatewayLoadsQuery) (api.GatewayLoads, error) {
	s.query = query
	return s.loads, s.err
}
func (s *fakeLoads) CountMalformed() { s.malformed++ }

// viewOf returns a view of n servers.
func viewOf(n int) api.GatewayLoads {
	loads := api.GatewayLoads{Incarnation: "b", AgeMillis: 120}
	for i := range n {
		loads.Usage.Servers = append(loads.Usage.Servers, fmt.Sprintf("server-%04d", i))
		loads.Usage.Running = append(loads.Usage.Running, i*7%13)
		loads.Usage.Streaming = append(loads.Usage.Streaming, i*7%13/2)
		loads.Usage.PendingWork = append(loads.Usage.PendingWork, int64(i*7919%100_000))
		loads.SlowdownPercent = append(loads.SlowdownPercent, 60+i*31%110)
	}
	return loads
}

// Guards against loads that change on their way, a compressed view that cannot be read, and a refusal that is taken for an empty view.
func TestLoadsRoundTrip(t *testing.T) {
	source := &fakeLoads{}
	server := httptest.NewServer(PeerHandler(&fakeSource{}, source, telemetry.NewMetrics()))
	defer server.Close()
	address := server.Listener.Addr().String()
	client := &LoadClient{Client: NewClient(), Metrics: telemetry.NewMetrics()}
	query := api.GatewayLoadsQuery{Incarnation: "a", Sequence: 7, Usage: viewOf(3).Usage}
	for _, servers := range []int{0, 3, 1100} {
		source.loads = viewOf(servers)
		loads, err := client.Loads(t.Context(), address, query)
		if diff := cmp.Diff(source.loads, loads) + cmp.Diff(query, source.query); diff != "" || err != nil {
			t.Error(err, diff)
		}
	}
	source.err = serverload.ErrNotRelay
	if _, err := client.Loads(t.Context(), address, query); !errors.Is(err, serverload.ErrNotRelay) {
		t.Errorf("a refusal arrives as %v", err)
	}
	source.err = serverload.ErrMalformed
	if _, err := client.Loads(t.Context(), address, query); err == nil || errors.Is(err, serverload.ErrNotRelay) {
		t.Errorf("a dropped report arrives as %v", err)
	}
	for _, body := range []string{"", "[]", `{"incarnation":"a","usage":{"running":[NaN]}}`, `{"usage":{"running":[1e99]}}`} {
		response, err := http.Post("http://"+address+loadsPath, "application/json", bytes.NewBufferString(body))
		if err != nil || response.StatusCode != http.StatusBadRequest {
			t.Errorf("%q: %v", body, err)
		}
		_ = response.Body.Close()
	}
	if source.malformed != 4 {
		t.Errorf("%d malformed messages are counted", source.malformed)
	}
	client.Client.pool.CloseIdle(address)
}

// BenchmarkLoads measures the bytes and the encoding of sums and views without the list of servers, and the whole exchange of a report and
// such a view over loopback.
func BenchmarkLoads(b *testing.B) {
	for _, servers := range []int{140, 1100} {
		source := &fakeLoads{loads: viewOf(servers)}
		source.loads.Usage.Servers = nil
		server := httptest.NewServer(PeerHandler(&fakeSource{}, source, telemetry.NewMetrics()))
		defer server.Close()
		client := &LoadClient{Client: NewClient(), Metrics: telemetry.NewMetrics()}
		for _, sums := range []bool{false, true} {
			b.Run(fmt.Sprintf("encode %d servers, sums %t", servers, sums), func(b *testing.B) {
				size := 0
				for b.Loop() {
					body, _, _ := encodeLoads(source.loads, sums)
					size = len(body)
				}
				b.ReportMetric(float64(size), "sent-B")
			})
		}
		b.Run(fmt.Sprintf("exchange %d servers", servers), func(b *testing.B) {
			query := api.GatewayLoadsQuery{Incarnation: "a", Sequence: 7, Usage: viewOf(25).Usage}
			for b.Loop() {
				if _, err := client.Loads(context.Background(), server.Listener.Addr().String(), query); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
