package gateway

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Guards against a division of the servers that leaves a model overloaded while the servers of another one are idle.
func TestOverloadedModelGetsMoreServers(t *testing.T) {
	service := &Service{Name: "desk", ModelCosts: map[string]float64{"small": 0.02, "large": 0.28}}
	now := time.Now()
	fraction := func(largeDelay time.Duration) float64 {
		table := newModelTable()
		for _, model := range []string{"small", "large"} {
			table.addWork(service, model, 1000, now)
			table.observeFirstEvent(service, model, 200*time.Millisecond, now)
		}
		for range 100 {
			table.observeFirstEvent(service, "large", largeDelay, now)
		}
		from, to := table.serverRange(service, "large", now)
		return to - from
	}
	idle, busy := fraction(200*time.Millisecond), fraction(2*time.Second)
	if idle < 0.5 || busy < idle+0.05 {
		t.Errorf("share of the large model's servers %.2f, and %.2f while its first events are late", idle, busy)
	}
}

// Guards against a refusal that says "not run" of a request that a server has run and whose answer was dropped for a larger model (review
// case 3, REFUSED), and against a single refusal of the larger model that ends such a request.
func TestRequestWithDroppedAnswerHasRun(t *testing.T) {
	uncertain, refused := serverAction{confidence: 20, events: []int{1}}, serverAction{verdict: VerdictNotRun}
	for _, path := range []string{"/draft/x", "/chat/x"} {
		got, backends, _ := serveRequest(t, path, "key", uncertain, refused, refused, refused, refused)
		if got.refusal == nil || got.refusal.Outcome != api.OutcomeUnknown || len(backends.attempts) != maxSentAttempts {
			t.Errorf("%s: refusal %+v after %d attempts, want outcome unknown after %d", path, got.refusal, len(backends.attempts), maxSentAttempts)
		}
		got, _, _ = serveRequest(t, path, "key", uncertain, refused, serverAction{confidence: 90, events: []int{1, 2}})
		if got.text != "1 2 " || got.refusal != nil {
			t.Errorf("%s: %+v, want the answer of the second server of the larger model", path, got)
		}
	}
	got, backends, _ := serveRequest(t, "/draft/x", "key", uncertain, refused, refused, serverAction{confidence: 20, events: []int{1, 2, 3}})
	if got.text != "1 2 3 " || got.refusal != nil || backends.attempts[3].Model != "small" {
		t.Errorf("larger model refused twice: %+v, attempts %+v, want the answer of the smaller model", got, backends.attempts)
	}
	lost := serverAction{err: &SendError{Sent: true, Cause: errors.New("reset")}}
	if got, backends, _ := serveRequest(t, "/draft/x", "key", uncertain, lost); got.refusal == nil ||
		got.refusal.Outcome != api.OutcomeUnknown || len(backends.attempts) != 2 {
		t.Errorf("refusal %+v after %d attempts, want outcome unknown after 2", got.refusal, len(backends.attempts))
	}
}

// Guards against an answer that is dropped although no server accepts the request for the larger model: the caller gets none.
func TestAnswerIsKeptIfNoServerAcceptsLargerModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends := &scriptedBackends{actions: []serverAction{
			{confidence: 20, events: []int{1, 2}, signals: serverSignals{backoff: time.Second}},
		}}
		g := newGateway(1, backends, slog.New(slog.NewJSONHandler(io.Discard, nil)))
		defer g.Stop()
		caller := &recordingCaller{}
		g.Serve(t.Context(), &Request{ID: "r", Host: "h", Path: "/draft/x", Key: "key", AnyModel: true, Model: "*", Arrived: time.Now()}, caller)
		if caller.text != "1 2 " || caller.refusal != nil {
			t.Errorf("%+v, want the answer of the smaller model", caller)
		}
	})
}
