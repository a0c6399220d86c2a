package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/coldstart"
	"github.com/cicadawall/cicadawall/internal/evacuation"
	"github.com/cicadawall/cicadawall/internal/routing"
	"github.com/cicadawall/cicadawall/internal/storepos"
)

const (
	testColdDuration = 3 * time.Second
	// testColdShare is what the only instance of a fleet may send in a second to a cold server that sustains testColdRate.
	testColdRate  = 7.8
	testColdShare = 3
)

// newColdGateway returns a gateway whose service bounds the requests to cold servers, in a process that has run for long. Its servers answer
// each request but those whose actions say otherwise.
func newColdGateway(backends Backends, servers ...backend.Entry) *Gateway {
	g := newGateway(0, backends, discardLog)
	configuration := testConfiguration()
	configuration.Version = 2
	configuration.Services[0].ColdStart = coldstart.Bound{Duration: testColdDuration, PerSecond: testColdRate}
	g.Configurations.Adopt(configuration.Compile())
	g.Evacuations = evacuation.NewTable(evacuation.Options{Started: time.Now().Add(-time.Minute), Log: discardLog})
	for _, server := range servers {
		server.Service, server.Slots = "desk", 4
		g.Directory.Put(server, time.Now())
	}
	return g
}

// serveMany serves requests one after the other and returns by server how many it got, and the last refusal.
func serveMany(t *testing.T, g *Gateway, backends *scriptedBackends, requests int) (map[string]int, *recordingCaller) {
	t.Helper()
	before, got := len(backends.attempts), map[string]int{}
	last := &recordingCaller{}
	for range requests {
		backends.actions = append(backends.actions, serverAction{body: "x"})
		caller := &recordingCaller{}
		g.Serve(t.Context(), &Request{ID: "r", Host: "h", Path: "/buy/x", Key: "key", Arrived: time.Now()}, caller)
		if caller.refusal != nil {
			last = caller
			backends.actions = backends.actions[:len(backends.actions)-1]
		}
	}
	for _, attempt := range backends.attempts[before:] {
		got[attempt.Server.ID]++
	}
	return got, last
}

// Guards against a cold server that gets more requests than it sustains, and against requests that are refused although a warm server could
// serve them.
func TestColdServerGetsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends := &scriptedBackends{}
		g := newColdGateway(backends, backend.Entry{ID: "cold", ColdDuration: testColdDuration}, backend.Entry{ID: "warm"})
		defer g.Stop()
		got, last := serveMany(t, g, backends, 40)
		if got["cold"] > testColdShare || got["cold"]+got["warm"] != 40 || last.refusal != nil {
			t.Errorf("requests by server %v, refusal %+v", got, last.refusal)
		}
	})
}

// Guards against a refusal that does not say that the request was not run, or lets the caller return too late or in vain.
func TestOnlyColdServersRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends := &scriptedBackends{}
		g := newColdGateway(backends, backend.Entry{ID: "cold", ColdDuration: testColdDuration})
		defer g.Stop()
		got, last := serveMany(t, g, backends, testColdShare+1)
		if got["cold"] != testColdShare || last.refusal == nil || last.refusal.Outcome != api.OutcomeNotRun ||
			last.refusal.RetryAfter <= 0 || last.refusal.RetryAfter > 1100*time.Millisecond {
			t.Fatalf("requests by server %v, refusal %+v", got, last.refusal)
		}
		<-time.After(last.refusal.RetryAfter)
		if got, last := serveMany(t, g, backends, 1); got["cold"] != 1 {
			t.Errorf("after the wait the request is refused: %+v", last.refusal)
		}
		<-time.After(testColdDuration)
		if got, _ := serveMany(t, g, backends, 20); got["cold"] != 20 {
			t.Errorf("a warm server got %d of 20 requests", got["cold"])
		}
	})
}

// Guards against a server that gets all requests although it may be cold without its entry saying so: it has probably restarted since a
// connection failed, its zone was evacuated until now, or the process started just now and knows neither.
func TestServersThatMayBeCold(t *testing.T) {
	for name, prepare := range map[string]func(*Gateway){
		"connection failed": func(g *Gateway) {
			attempt, _ := g.Directory.Begin("s", backend.Query{}, time.Now())
			attempt.End(backend.ResultUnreachable, time.Now())
		},
		"evacuation ended": func(g *Gateway) {
			g.Evacuations.Begin("zone", storepos.At(0, 1))
			g.Evacuations.End("zone", storepos.At(0, 2), time.Now())
		},
		"process started": func(g *Gateway) {
			g.Evacuations = evacuation.NewTable(evacuation.Options{Started: time.Now(), Log: discardLog})
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			backends := &scriptedBackends{}
			g := newColdGateway(backends, backend.Entry{ID: "s", AvailabilityZone: "zone"})
			defer g.Stop()
			prepare(g)
			if got, _ := serveMany(t, g, backends, 20); got["s"] != testColdShare {
				t.Errorf("%s: %d requests", name, got["s"])
			}
			<-time.After(testColdDuration)
			if got, _ := serveMany(t, g, backends, 20); got["s"] != 20 {
				t.Errorf("%s: %d of 20 requests after the cold time", name, got["s"])
			}
		})
	}
}

// Guards against two workers that choose a cold server at the same time and both use the last unit of its allowance: another server is
// chosen.
func TestLastUnitIsUsedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newColdGateway(&scriptedBackends{}, backend.Entry{ID: "cold", ColdDuration: testColdDuration}, backend.Entry{ID: "warm"})
		defer g.Stop()
		now := time.Now()
		job := newTestJob(g, &Request{ID: "r", Host: "h", Path: "/buy/x", Key: "key", Arrived: now})
		refusal := g.admit(job)
		if refusal != nil {
			t.Fatal(refusal)
		}
		candidates := job.candidates(backend.Query{Service: "desk"}, now)
		for range testColdShare {
			g.ColdStarts.Take("cold", job.service.ColdStart, testColdDuration, now)
		}
		for i := range candidates {
			// The cold server looks best, so that it is chosen first.
			candidates[i].ResponseTime = time.Second
			if candidates[i].ID == "cold" {
				candidates[i].ResponseTime = time.Millisecond
			}
		}
		if choice := job.chooseAllowedServer(candidates, now); choice.Server != "warm" {
			t.Errorf("server %q was chosen", choice.Server)
		}
		if !routing.PlainPolicy().AnyEligible(candidates, routing.Request{}, now) {
			t.Error("the warm server is not eligible")
		}
	})
}

// Guards against a service without a bound that pays for one, or whose servers count as cold.
func TestNoBoundWithoutColdRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends := &scriptedBackends{actions: []serverAction{{err: &SendError{Cause: errors.New("refused")}}}}
		g := newGateway(0, backends, discardLog)
		defer g.Stop()
		g.Directory.Put(backend.Entry{ID: "s", Service: "desk", Slots: 4, ColdDuration: testColdDuration}, time.Now())
		serveMany(t, g, backends, 1)
		if got, last := serveMany(t, g, backends, 50); got["s"] != 50 || last.refusal != nil {
			t.Errorf("%d of 50 requests, refusal %+v", got["s"], last.refusal)
		}
	})
}
