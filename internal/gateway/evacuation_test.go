package gateway

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/storepos"
)

var discardLog = slog.New(slog.NewJSONHandler(io.Discard, nil))

// Guards against a request that reaches a server of an evacuated zone because a fallback step considers all servers: those that were tried
// before, are ejected, or run another version.
func TestNoFallbackReachesAnEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unreachable := serverAction{err: &SendError{Cause: errors.New("refused")}}
		backends, caller := &scriptedBackends{actions: []serverAction{unreachable, unreachable, unreachable}}, &recordingCaller{}
		g := newGateway(1, backends, discardLog)
		defer g.Stop()
		for _, id := range []string{"evacuated-1", "evacuated-2"} {
			g.Directory.Put(backend.Entry{ID: id, Service: "desk", AvailabilityZone: "gone", Slots: 4}, time.Now())
		}
		g.Evacuations.Begin("gone", storepos.At(0, 1))
		g.Serve(t.Context(), &Request{ID: "r", Host: "h", Path: "/look/x", Key: "key", Arrived: time.Now()}, caller)
		for _, attempt := range backends.attempts {
			if attempt.Server.AvailabilityZone == "gone" {
				t.Errorf("attempt at %s", attempt.Server.ID)
			}
		}
		if len(backends.attempts) < 3 || caller.refusal == nil || caller.refusal.Outcome != api.OutcomeNotRun {
			t.Errorf("%d attempts, refusal %+v", len(backends.attempts), caller.refusal)
		}
	})
}

// evacuatingBackends evacuates the zone of the first server as soon as that gets a request.
type evacuatingBackends struct {
	*scriptedBackends
	gateway *Gateway
}

func (e *evacuatingBackends) Send(ctx context.Context, attempt Attempt) (*Reply, error) {
	if len(e.attempts) == 0 {
		e.gateway.Evacuations.Begin(attempt.Server.AvailabilityZone, storepos.At(0, 1))
	}
	return e.scriptedBackends.Send(ctx, attempt)
}

// Guards against a stream that breaks off during an evacuation and resumes at another server of the evacuated zone, where its prompt is in
// the cache.
func TestStreamLeavesAnEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends := &evacuatingBackends{scriptedBackends: &scriptedBackends{actions: []serverAction{
			{confidence: 90, events: []int{1, 2}, truncated: true}, {confidence: 90, events: []int{3}},
		}}}
		g := newGateway(0, backends, discardLog)
		defer g.Stop()
		backends.gateway = g
		prompt := []backend.PromptPart{{ID: "session", Tokens: 4000}, {ID: "own", Tokens: 1}}
		for n := range 20 {
			id := strconv.Itoa(n)
			entry := backend.Entry{ID: id, Service: "desk", AvailabilityZone: []string{"a", "b"}[n%2], Slots: 4}
			g.Directory.Put(entry, time.Now())
			if n%2 == 0 {
				attempt, _ := g.Directory.Begin(id, backend.Query{Model: "small", Prompt: prompt}, time.Now())
				attempt.RecordPrefill(time.Now())
				attempt.End(backend.ResultSuccess, time.Now())
			}
		}
		caller := &recordingCaller{}
		g.Serve(t.Context(), &Request{
			ID: "r", Host: "h", Path: "/chat/x", Key: "key", AnyModel: true, Model: "*", Prompt: prompt, Arrived: time.Now(),
		}, caller)
		if len(backends.attempts) != 2 || caller.text != "1 2 3 " {
			t.Fatalf("%d attempts, stream %q", len(backends.attempts), caller.text)
		}
		if first, second := backends.attempts[0].Server.AvailabilityZone, backends.attempts[1].Server.AvailabilityZone; first != "a" || second != "b" {
			t.Errorf("the stream began in zone %s and resumed in zone %s", first, second)
		}
	})
}

// Guards against an answer that is dropped for a larger model which only servers of an evacuated zone could run.
func TestNoEscalationIntoAnEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGateway(0, &scriptedBackends{}, discardLog)
		defer g.Stop()
		g.Directory.Put(backend.Entry{ID: "s", Service: "desk", AvailabilityZone: "gone", Slots: 4}, time.Now())
		job := newTestJob(g, &Request{ID: "r", Host: "h", Path: "/chat/x", Key: "key", Arrived: time.Now()})
		refusal := g.admit(job)
		if refusal != nil || !job.serverAccepts(time.Now()) {
			t.Fatal("the server does not accept the request before the evacuation")
		}
		g.Evacuations.Begin("gone", storepos.At(0, 1))
		if job.serverAccepts(time.Now()) {
			t.Error("a server of an evacuated zone accepts the request")
		}
	})
}

// newTestJob returns the job of a request with a fixed random source.
func newTestJob(g *Gateway, request *Request) *requestJob {
	return g.newJob(request, &recordingCaller{}, rand.New(rand.NewPCG(1, 2)))
}
