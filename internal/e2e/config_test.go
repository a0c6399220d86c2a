package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// started returns the completions of a version that the engines have started.
func started(engines []*backend, version string) int {
	total := 0
	for _, engine := range engines {
		for _, execution := range engine.counts().Executions {
			if execution.Version == version {
				total += execution.Count
			}
		}
	}
	return total
}

// Guards against new work on a withdrawn version after the operator was told that the withdrawal is accepted.
func TestWithdrawalUnderLoad(t *testing.T) {
	w := newWorld(t)
	engines := []*backend{w.engine("zone-0", 8, 2), w.engine("zone-1", 8, 2)}
	w.start(3, nil)
	l := w.load(6, w.balanced())
	l.more(50)
	versions := []string{"v1", "v2"}
	withdrawn := versions[0]
	if started(engines, "v2") > started(engines, "v1") {
		withdrawn = versions[1]
	}
	before := started(engines, withdrawn)
	if before == 0 {
		t.Fatal("the version had no work before its withdrawal; the test shows nothing")
	}
	state := w.apply(w.instances[1], declaration(withdrawn))
	atAccepted := started(engines, withdrawn)
	if state != api.ApplyAccepted {
		t.Fatalf("the withdrawal ended as %q", state)
	}
	l.more(200)
	if after := started(engines, withdrawn); after != atAccepted {
		t.Errorf("engines started %d requests for %s after the withdrawal was accepted", after-atAccepted, withdrawn)
	}
	t.Logf("%s: %d requests before the change, %d at acceptance", withdrawn, before, atAccepted)
	l.end()
}

// Guards against a service that stops with the store, and against an order that runs without a claim.
func TestStoreOutage(t *testing.T) {
	w := newWorld(t)
	w.engine("zone-0", 8, 2)
	server := w.orderServer(true)
	w.list(api.InstanceEntry{Id: server.id, Kind: api.KindService, AvailabilityZone: "zone-0", Service: "checked", ChecksFencing: true}, server.base[len("http://"):])
	w.start(3, timing{"freshnessBoundMillis": 2000})
	w.faults(api.PlatformFaults{Outage: true})
	l := w.load(4, w.balanced())
	elapse(5 * time.Second) // More than twice the freshness bound.
	l.more(20)
	for n, i := range w.instances {
		refused := i.order("checked", "outage")
		if refused.problem.Outcome != api.OutcomeNotRun || refused.problem.Code != "order_store_unavailable" {
			t.Errorf("order at instance %d without a store: %+v", n, refused)
		}
	}
	if ran := server.executions("checked", "outage"); ran != 0 {
		t.Errorf("an order ran %d times without a claim", ran)
	}
	l.end()
	w.faults(api.PlatformFaults{})
	l.allBilled(15 * time.Second)
	eventually(t, 10*time.Second, "the order after the outage", func() bool { return w.instances[2].order("checked", "outage").complete })
	if ran := server.executions("checked", "outage"); ran != 1 {
		t.Errorf("the order ran %d times", ran)
	}
}

// Guards against an instance that goes on with an old configuration although neither the store nor a majority of its peers
// confirms it.
func TestPartitionedInstanceRefuses(t *testing.T) {
	const bound = 2 * time.Second
	w := newWorld(t)
	w.engine("zone-0", 8, 2)
	w.start(3, timing{"freshnessBoundMillis": 2000})
	w.faults(api.PlatformFaults{Partitioned: []string{"entry-0"}})
	alone := w.instances[0]
	// With its peers it goes on, past the bound of its own confirmation.
	elapse(2 * bound)
	if with := alone.chat(chat{text: "with peers"}); !with.complete {
		t.Errorf("partitioned from the store only: %+v", with)
	}
	w.instances[1].signal(syscall.SIGSTOP)
	w.instances[2].signal(syscall.SIGSTOP)
	stopped := time.Now()
	var last answer
	// An answer of the last peer may be under way when it stops; the slack covers it and the test's own calls.
	eventually(t, bound+time.Second, "refusal without a majority", func() bool {
		// A request that is taken just before the bound cannot end, because no place is left for its bill.
		last = alone.chat(chat{text: "alone", limit: 300 * time.Millisecond})
		return last.problem.Code == "configuration_stale"
	})
	t.Logf("refused %s after the peers stopped", time.Since(stopped).Round(time.Millisecond))
	if last.problem.Outcome != api.OutcomeNotRun {
		t.Errorf("refusal: %+v", last)
	}
	w.instances[1].signal(syscall.SIGCONT)
	w.instances[2].signal(syscall.SIGCONT)
	eventually(t, 10*time.Second, "service with the peers back", func() bool { return alone.chat(chat{text: "again"}).complete })
}

// Guards against work for a server that leaves, and against a wrong list that empties the fleet.
func TestLeavingEngineAndWrongLists(t *testing.T) {
	const leavingLimit = 4 * time.Second
	w := newWorld(t)
	engines := []*backend{w.engine("zone-0", 8, 2), w.engine("zone-1", 8, 2), w.engine("zone-1", 8, 2)}
	w.start(2, timing{"listPollMillis": 2000})
	l := w.load(4, w.balanced())
	l.more(60)
	leaving := engines[0]
	if leaving.counts().Started == 0 {
		t.Fatal("the engine had no work before it left; the test shows nothing")
	}
	response, err := callers.Post(w.platform+"/standin/v1/list/"+leaving.id+"/leave", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	elapse(leavingLimit)
	at := leaving.counts().Started
	l.more(100)
	if after := leaving.counts().Started; after != at {
		t.Errorf("the leaving engine got %d requests later than %s after the list showed it", after-at, leavingLimit)
	}
	for _, list := range []api.PlatformFaultsList{api.ListEmpty, api.ListFrozen, api.ListUnreachable} {
		w.faults(api.PlatformFaults{List: list})
		elapse(leavingLimit + time.Second) // At least two polls of the list.
		l.more(40)
	}
	l.end()
}
