package gateway

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// serverSignals are what the answers of a signallingBackends say about the server.
type serverSignals struct {
	leaving bool
	backoff time.Duration
}

// Guards against a request that is sent to a server after an answer, of whatever kind, said that the server leaves.
func TestLeavingServerGetsNoRequest(t *testing.T) {
	for name, action := range map[string]serverAction{
		"answer":     {body: "x", signals: serverSignals{leaving: true}},
		"stream":     {events: []int{1, 2}, confidence: 100, signals: serverSignals{leaving: true}},
		"refusal":    {verdict: VerdictNotRun, signals: serverSignals{leaving: true}},
		"failure":    {verdict: VerdictFailure, body: "x", signals: serverSignals{leaving: true}},
		"cut answer": {body: "x", truncated: true, signals: serverSignals{leaving: true}},
	} {
		synctest.Test(t, func(t *testing.T) {
			backends := &scriptedBackends{actions: slices.Repeat([]serverAction{action}, 30)}
			g := newGateway(3, backends, slog.New(slog.NewJSONHandler(io.Discard, nil)))
			defer g.Stop()
			caller := &recordingCaller{}
			for range 6 {
				path := "/look/x"
				if action.events != nil {
					path = "/chat/x"
				}
				caller = &recordingCaller{}
				g.Serve(t.Context(), &Request{ID: "r", Host: "h", Path: path, Key: "key", AnyModel: true, Model: "*", Arrived: time.Now()}, caller)
			}
			if len(backends.attempts) != 3 {
				t.Errorf("%s: %d attempts at three servers that leave", name, len(backends.attempts))
			}
			if caller.refusal == nil || caller.refusal.RetryAfter <= 0 {
				t.Errorf("%s: without a server: %+v", name, caller.refusal)
			}
		})
	}
}

// Guards against requests to servers within the time for which they asked, and against callers that wait for their deadline although no
// server accepts their request before: they are told at once when one does.
func TestBackoffOfServersIsKept(t *testing.T) {
	const backoff = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		refusal := serverAction{verdict: VerdictNotRun, signals: serverSignals{backoff: backoff}}
		backends := &scriptedBackends{actions: []serverAction{refusal, refusal, {body: "served"}}}
		g := newGateway(2, backends, slog.New(slog.NewJSONHandler(io.Discard, nil)))
		defer g.Stop()
		send := func() *recordingCaller {
			caller, start := &recordingCaller{}, time.Now()
			g.Serve(t.Context(), &Request{ID: "r", Host: "h", Path: "/look/x", Key: "key", Arrived: start}, caller)
			if took := time.Since(start); took > 100*time.Millisecond {
				t.Errorf("answered after %s", took)
			}
			return caller
		}
		for range 10 {
			caller := send()
			if caller.refusal == nil || caller.refusal.RetryAfter <= 0 || caller.refusal.RetryAfter > 2*backoff {
				t.Fatalf("refusal: %+v", caller.refusal)
			}
			<-time.After(backoff / 12)
		}
		if len(backends.attempts) != 2 {
			t.Errorf("%d attempts within the backoff", len(backends.attempts))
		}
		<-time.After(2 * backoff)
		if caller := send(); caller.text != "served" {
			t.Errorf("after the backoff: %+v", caller)
		}
	})
}

// Guards against instances that all return to a server at the same moment: of 50 at most a third return within any tenth of the time over
// which they are spread, and none before the server asked for it.
func TestInstancesReturnSpread(t *testing.T) {
	const instances, backoff = 50, 4 * time.Second
	width := time.Duration(backoffSpread * float64(backoff))
	perTenth := map[time.Duration]int{}
	for seed := range uint64(instances) {
		delay := spread(backoff, rand.New(rand.NewPCG(seed, 1)))
		if delay < 0 || delay > width {
			t.Errorf("delay %s", delay)
		}
		perTenth[delay*10/width]++
	}
	for tenth, count := range perTenth {
		if count > instances/3 {
			t.Errorf("%d of %d instances return in tenth %d", count, instances, tenth)
		}
	}
	if got := spread(time.Hour, rand.New(rand.NewPCG(1, 1))); got > maxBackoffSpread {
		t.Errorf("delay %s after an hour", got)
	}
}
