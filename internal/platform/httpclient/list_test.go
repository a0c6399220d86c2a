package httpclient

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	standin "github.com/cicadawall/cicadawall/internal/standin/platform"
)

// Guards against a poll that transfers the full list although it has not changed, and against a cached copy that is still
// returned after a change.
func TestUnchangedListIsNotTransferred(t *testing.T) {
	listener := httptest.NewServer(standin.New(1))
	defer listener.Close()
	var received atomic.Int64
	client, err := New(Options{BaseURL: listener.URL, Timeout: time.Second, Traffic: func(_, read int) { received.Add(int64(read)) }})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	addEntries := func(from, to int) {
		for i := from; i < to; i++ {
			id := fmt.Sprintf("server-%d", i)
			body := fmt.Sprintf(`{"id":%q,"kind":"engine","ip":"127.0.0.1","port":1,"availabilityZone":"a","state":"live"}`, id)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, listener.URL+"/standin/v1/list/"+id, strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
		}
	}
	bytesOfList := func(want int) int64 {
		before := received.Load()
		entries, err := client.Services().Instances.List(t.Context())
		if err != nil || len(entries) != want {
			t.Fatalf("%d entries, %v, want %d", len(entries), err, want)
		}
		return received.Load() - before
	}
	addEntries(0, 500)
	fullBytes := bytesOfList(500)
	if unchangedBytes := bytesOfList(500); unchangedBytes > fullBytes/20 {
		t.Errorf("reading an unchanged list took %d bytes, reading the full list %d", unchangedBytes, fullBytes)
	}
	addEntries(500, 501)
	bytesOfList(501)
}

// Guards against an odd entry of another writer that stops the whole list from being followed.
func TestOddEntryStopsNothing(t *testing.T) {
	const good = `{"id":"a","kind":"engine","ip":"127.0.0.1","port":1,"availabilityZone":"z","state":"live"}`
	for _, odd := range []string{
		`{"id":"b","port":70000}`, `{"id":"b","port":1e400}`, `{"id":"b","port":"x"}`, `{"id":7,"port":1}`, `[]`, `null`,
		`{"id":"b","port":1,"versions":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
	} {
		listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"entries":[%s,%s]}`, odd, good)
		}))
		invalid := 0
		client, err := New(Options{BaseURL: listener.URL, InvalidEntry: func([]byte, error) { invalid++ }})
		if err != nil {
			t.Fatal(err)
		}
		entries, err := client.Services().Instances.List(t.Context())
		if err != nil || len(entries) != 1 || entries[0].Id != "a" || invalid != 1 {
			t.Errorf("%.40s: %+v, %v, %d reported as invalid", odd, entries, err, invalid)
		}
		client.Close()
		listener.Close()
	}
}
