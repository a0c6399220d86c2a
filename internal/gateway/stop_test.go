package gateway

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// Guards against a request that is cut off without an answer at the end of a planned stop: a caller that gets none does not know whether
// its order has run, and neither does one that is told that it has not.
func TestCancelledRequestIsAnswered(t *testing.T) {
	for _, path := range []string{"/buy/x", "/look/x", "/chat/x"} {
		synctest.Test(t, func(t *testing.T) {
			silent := serverAction{silent: true}
			g := newGateway(4, &scriptedBackends{actions: []serverAction{silent, silent, silent, silent}}, slog.New(slog.NewJSONHandler(io.Discard, nil)))
			caller := &recordingCaller{}
			start := time.Now()
			time.AfterFunc(100*time.Millisecond, g.Stop)
			g.Serve(t.Context(), &Request{ID: "r", Host: "h", Path: path, Key: "key", AnyModel: true, Model: "*", Arrived: start}, caller)
			if took := time.Since(start); caller.refusal == nil || caller.refusal.Outcome != api.OutcomeUnknown ||
				caller.refusal.Code != fault.CodeDraining || took > 200*time.Millisecond {
				t.Errorf("%s: refusal %+v after %s", path, caller.refusal, took)
			}
		})
	}
}

// Guards against a request that is passed on so late in a planned stop that it is cut off at the server, and against one that is refused
// although there is time for it.
func TestLateRequestIsNotSentDuringStop(t *testing.T) {
	for _, c := range []struct {
		path string
		left time.Duration
		sent bool
	}{
		{"/look/x", 200 * time.Millisecond, false},
		{"/look/x", time.Second, true},
		{"/chat/x", time.Second, false},
		{"/chat/x", 5 * time.Second, true},
		{"/buy/x", 10 * time.Millisecond, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			backends := &scriptedBackends{actions: []serverAction{{confidence: 90, body: "yes"}}}
			g := newGateway(4, backends, slog.New(slog.NewJSONHandler(io.Discard, nil)))
			defer g.Stop()
			caller := &recordingCaller{}
			g.StopAt(time.Now().Add(c.left))
			g.Serve(t.Context(), &Request{ID: "r", Host: "h", Path: c.path, Key: "key", AnyModel: true, Model: "*", Arrived: time.Now()}, caller)
			refused := caller.refusal != nil && caller.refusal.Outcome == api.OutcomeNotRun && caller.refusal.Code == fault.CodeDraining
			if sent := len(backends.attempts) > 0; sent != c.sent || refused == c.sent {
				t.Errorf("%s with %s left: sent %t, refusal %+v", c.path, c.left, sent, caller.refusal)
			}
		})
	}
}
