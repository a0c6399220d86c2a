package httpclient

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
	standin "github.com/cicadawall/cicadawall/internal/standin/platform"
)

func startPlatform(t *testing.T) (platform.Services, *standin.Server) {
	t.Helper()
	server := standin.New(1)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	client, err := New(Options{BaseURL: listener.URL, Timeout: 300 * time.Millisecond, Instance: "one"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client.Services(), server
}

// Guards against reporting a write that may have taken effect as unavailable, or a write that certainly had no effect as
// ambiguous.
func TestWriteResults(t *testing.T) {
	tests := []struct {
		name   string
		faults api.PlatformFaults
		want   error
		// written tells whether the row exists afterwards.
		written bool
	}{
		{name: "normal", written: true},
		{name: "outage", faults: api.PlatformFaults{Outage: true}, want: platform.ErrUnavailable},
		{name: "reply lost", faults: api.PlatformFaults{LoseReplies: 1}, want: platform.ErrAmbiguous, written: true},
		{name: "request lost", faults: api.PlatformFaults{LoseRequests: 1}, want: platform.ErrAmbiguous},
		{name: "no answer before the deadline", faults: api.PlatformFaults{Hang: true}, want: platform.ErrAmbiguous},
		{name: "partitioned", faults: api.PlatformFaults{Partitioned: []string{"one"}}, want: platform.ErrAmbiguous},
		{name: "other client partitioned", faults: api.PlatformFaults{Partitioned: []string{"two"}}, written: true},
		{name: "fault on other keys", faults: api.PlatformFaults{Outage: true, KeyPrefix: "bill/"}, written: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			services, server := startPlatform(t)
			server.SetFaults(test.faults)
			_, err := services.Table.Put(t.Context(), "order/a/b%2Fc d", []byte("v"), platform.IfAbsent())
			if !errors.Is(err, test.want) {
				t.Fatalf("put returned %v, want %v", err, test.want)
			}
			server.SetFaults(api.PlatformFaults{})
			row, err := services.Table.Get(t.Context(), "order/a/b%2Fc d")
			if test.written != (err == nil && string(row.Value) == "v") {
				t.Fatalf("row %v, error %v, want written %t", row, err, test.written)
			}
		})
	}
}

// Guards against reporting a read that got no reply as "not found" or as ambiguous.
func TestReadResults(t *testing.T) {
	services, server := startPlatform(t)
	for name, faults := range map[string]api.PlatformFaults{
		"outage": {Outage: true}, "hang": {Hang: true}, "partitioned": {Partitioned: []string{"one"}},
	} {
		server.SetFaults(faults)
		if _, err := services.Table.Get(t.Context(), "k"); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("%s: get returned %v, want unavailable", name, err)
		}
		if _, err := services.Table.Range(t.Context(), "k", "", 10); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("%s: range returned %v, want unavailable", name, err)
		}
		if _, err := services.Instances.List(t.Context()); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("%s: list returned %v, want unavailable", name, err)
		}
	}
	server.SetFaults(api.PlatformFaults{})
	if _, err := services.Table.Get(t.Context(), "k"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("get of an absent row returned %v, want not found", err)
	}
}

// Guards against writes whose condition does not reach the service.
func TestConditionalWrites(t *testing.T) {
	services, _ := startPlatform(t)
	firstVersion, err := services.Table.Put(t.Context(), "lease/p", []byte("1"), platform.IfAbsent())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := services.Table.Put(t.Context(), "lease/p", []byte("2"), platform.IfAbsent()); !errors.Is(err, platform.ErrConditionFailed) {
		t.Fatalf("second insert returned %v, want condition failed", err)
	}
	if _, err := services.Table.Put(t.Context(), "lease/p", []byte("2"), platform.IfVersion(firstVersion)); err != nil {
		t.Fatal(err)
	}
	if _, err := services.Table.Put(t.Context(), "lease/p", []byte("3"), platform.IfVersion(firstVersion)); !errors.Is(err, platform.ErrConditionFailed) {
		t.Fatalf("write with an outdated version returned %v, want condition failed", err)
	}
	rows, err := services.Table.Range(t.Context(), "lease/", "", 10)
	if err != nil || len(rows) != 1 || string(rows[0].Value) != "2" {
		t.Fatalf("range returned %v, %v", rows, err)
	}
}

// Guards against reporting the weight store's rate limit as an outage, and against lost objects and scores.
func TestWeightsObjectsAndRatings(t *testing.T) {
	services, server := startPlatform(t)
	server.SetFaults(api.PlatformFaults{WeightBytes: 100, WeightBytesPerSecond: 1})
	granted, err := services.Weights.RequestGrant(t.Context(), "small", "1")
	if err != nil || granted.GrantedBytes != 100 {
		t.Fatalf("first load: %+v, %v", granted, err)
	}
	refused, err := services.Weights.RequestGrant(t.Context(), "small", "2")
	if err != nil || refused.GrantedBytes != 0 || refused.RetryAfterMillis == 0 {
		t.Fatalf("second load: %+v, %v, want a wait", refused, err)
	}
	if err := services.Objects.PutIfAbsent(t.Context(), "sha256/ab", []byte("doc")); err != nil {
		t.Fatal(err)
	}
	if value, err := services.Objects.Get(t.Context(), "sha256/ab"); err != nil || string(value) != "doc" {
		t.Fatalf("object %q, %v", value, err)
	}
	request := api.RatingRequest{Id: "r1", Instance: "one", Class: "c", Model: "small", Version: "1", Answer: "[q=0.9000] ok"}
	if err := services.Ratings.Submit(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	results, err := services.Ratings.Results(t.Context(), "one", "")
	if err != nil || len(results.Ratings) != 1 || results.Ratings[0].Score < 0.7 {
		t.Fatalf("ratings %+v, %v", results, err)
	}
	nextPage, err := services.Ratings.Results(t.Context(), "one", results.Next)
	if err != nil || !cmp.Equal(nextPage, api.RatingResults{Ratings: []api.Rating{}, Next: results.Next}) {
		t.Fatalf("ratings after the cursor %+v, %v", nextPage, err)
	}
}

// Guards against reporting a write that the rate limit rejected as ambiguous.
func TestRateLimit(t *testing.T) {
	services, server := startPlatform(t)
	server.SetFaults(api.PlatformFaults{WritesPerSecond: 1})
	if _, err := services.Table.Put(t.Context(), "a", nil, platform.Condition{}); err != nil {
		t.Fatal(err)
	}
	if _, err := services.Table.Put(t.Context(), "a", nil, platform.Condition{}); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("second write in a second returned %v, want unavailable", err)
	}
	if counts := server.Counts(); counts.Throttled != 1 || counts.Writes != 1 {
		t.Fatalf("counts %+v", counts)
	}
}
