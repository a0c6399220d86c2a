package gatewayhttp

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/rowfeed"
	"github.com/cicadawall/cicadawall/internal/storepos"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

// fakeSource is a StateSource with fixed rows.
type fakeSource struct {
	rows api.GatewayRows
	err  error
}

func (s *fakeSource) State(api.GatewayQuery) api.GatewayState { return api.GatewayState{} }
func (s *fakeSource) Document() []byte                        { return nil }
func (s *fakeSource) Rows(context.Context, api.GatewayRowsQuery) (api.GatewayRows, error) {
	return s.rows, s.err
}

// Guards against rows that change on their way through a relay, and against a refusal that is taken for an empty table.
func TestRowsRoundTrip(t *testing.T) {
	source := &fakeSource{rows: api.GatewayRows{Version: 9, Era: 2, ClockMillis: 1500, Rows: []api.GatewayRow{
		{Key: "a", Version: 8, Value: []byte("value")}, {Key: "b", Version: 9, Deleted: true},
	}}}
	server := httptest.NewServer(PeerHandler(source, nil, telemetry.NewMetrics()))
	defer server.Close()
	address := server.Listener.Addr().String()
	client := NewClient()
	want := rowfeed.Page{Position: storepos.At(2, 9), Clock: 1500 * time.Millisecond, Rows: []rowfeed.Row{
		{Key: "a", Position: storepos.At(2, 8), Value: []byte("value")}, {Key: "b", Position: storepos.At(2, 9), Deleted: true},
	}}
	page, err := client.Rows(t.Context(), address, "servers", storepos.At(2, 7), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, page, cmp.AllowUnexported(storepos.Position{})); diff != "" {
		t.Error(diff)
	}
	for _, refused := range []error{rowfeed.ErrHistoryDropped, rowfeed.ErrRelayCutOff, rowfeed.ErrRelayUnavailable} {
		source.err = refused
		if _, err := client.Rows(t.Context(), address, "servers", storepos.At(2, 7), time.Second); !errors.Is(err, refused) {
			t.Errorf("%v arrives as %v", refused, err)
		}
	}
	client.pool.CloseIdle(address)
}

// Guards against memory that grows with the number of readers, and against an old clock of the store in a kept answer.
func TestEncodedRowsAreKeptBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		encoder := newRowsEncoder()
		encode := func(clock int64) []byte {
			rows := api.GatewayRows{Version: 9, ClockMillis: clock, Rows: []api.GatewayRow{{Key: "a", Version: 8}}}
			compressed, err := encoder.encode(rowsAnswer{"op", storepos.At(0, 7), storepos.At(0, rows.Version)}, rows)
			if err != nil {
				t.Fatal(err)
			}
			return compressed
		}
		first := encode(1000)
		if second := encode(1001); &first[0] != &second[0] {
			t.Error("the same rows are encoded twice")
		}
		<-time.After(keptAnswerAge + time.Millisecond)
		if third := encode(2000); &first[0] == &third[0] {
			t.Error("an old answer is used again")
		}
	})
}
