package gateway

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/backend"
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
		g.Evacuations.Begin("gone", 1)
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
		g.Evacuations.Begin("gone", 1)
		if job.serverAccepts(time.Now()) {
			t.Error("a server of an evacuated zone accepts the request")
		}
	})
}

// newTestJob returns the job of a request with a fixed random source.
func newTestJob(g *Gateway, request *Request) *requestJob {
	return g.newJob(request, &recordingCaller{}, rand.New(rand.NewPCG(1, 2)))
}
