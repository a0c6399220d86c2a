package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/status"
)

// evacuate puts a configuration in force that evacuates the zones.
func (h *harness) evacuate(revision int64, zones ...string) {
	document := newDeclaration(api.VersionServing)
	document.EvacuatedAvailabilityZones = zones
	h.router.Config.Install(declaration.Compile(revision, document))
}

// Guards against a request, an order that is sent again, or a call of a plain service that reaches a server of an evacuated zone, also when
// all other servers failed or are ejected, and against a zone that gets no requests after the evacuation.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.router.Servers.Sync([]api.InstanceEntry{
			{Id: "e1", Kind: api.KindEngine, AvailabilityZone: "west"}, {Id: "e2", Kind: api.KindEngine, AvailabilityZone: "east"},
			{Id: "p1", Kind: api.KindService, Service: "orders", AvailabilityZone: "west"},
			{Id: "p2", Kind: api.KindService, Service: "orders", AvailabilityZone: "east"},
		})
		plain := PlainServers{Config: h.router.Config, Servers: h.router.Servers}
		h.evacuate(2, "west")
		for range 50 {
			h.router.Retries.Ejections.EndAttempt("e2", true, time.Now(), h.router.newRandom())
		}
		for range 20 {
			for _, tried := range [][]string{nil, {"e2", "p2"}} {
				if server, problem := h.router.chooseServer(smallV1, nil, tried, h.router.newRandom()); problem != nil || server.Entry.Id != "e2" {
					t.Fatalf("chose engine %q; problem %v", server.Entry.Id, problem)
				}
				if server, problem := plain.Choose("orders", tried); problem != nil || server.Entry.Id != "p2" {
					t.Fatalf("chose server %q; problem %v", server.Entry.Id, problem)
				}
			}
		}
		if _, ok := plain.Server("p1"); ok {
			t.Error("an order would be sent again to a server of an evacuated zone")
		}
		h.evacuate(3, "west", "east")
		if _, problem := h.router.chooseServer(smallV1, nil, nil, h.router.newRandom()); problem == nil {
			t.Error("an engine was chosen although all zones are evacuated")
		}
		h.evacuate(4)
		if _, ok := plain.Server("p1"); !ok {
			t.Error("the zone is still evacuated")
		}
	})
}

// Guards against an operator who cannot see why a server gets no requests.
func TestEvacuationIsShown(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.router.Servers.Sync([]api.InstanceEntry{
			{Id: "e1", Kind: api.KindEngine, AvailabilityZone: "west"}, {Id: "e2", Kind: api.KindEngine, AvailabilityZone: "east"},
		})
		h.evacuate(2, "west")
		steps, problem := h.router.Explain(api.ExplainRequest{Organisation: "guild", Class: "check"})
		if problem != nil || !slices.ContainsFunc(steps, func(s api.ExplainStep) bool {
			return s.Subject == "e1" && s.Verdict == verdictDropped && s.Reason == "availability zone evacuated"
		}) {
			t.Errorf("explanation %+v, problem %v", steps, problem)
		}
		collected := status.Collect(status.Sources{
			Config: h.router.Config, Servers: h.router.Servers, Versions: h.qualityTable, Classes: h.router.Classes,
			Draining: func() bool { return false }, Chain: h.router.ClassChain,
		}, time.Now())
		for _, server := range collected.BackendServers {
			if (server.State == "evacuated") != (server.Id == "e1") {
				t.Errorf("state of %s: %s", server.Id, server.State)
			}
		}
	})
}
