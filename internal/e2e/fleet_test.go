package e2e

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/standin/modelserver"
	"github.com/cicadawall/cicadawall/internal/standin/retrycheck"
	"github.com/cicadawall/cicadawall/internal/standin/rowstore"
)

// Guards against a request path that alters requests or responses, forwards the caller's API key to a backend server, or rejects
// an allowed request.
func TestFleetCarriesRequests(t *testing.T) {
	f := newFleet(t, 2)
	for n, i := range f.instances {
		id := string(rune('a'+n)) + "-1"
		if got := f.send(i, http.MethodPost, "/buy/%2Fx//y?q=1%20", id); got.status != http.StatusOK || got.body != "answer to "+id {
			t.Errorf("order: %+v", got)
		}
		runs := f.runsOf(id)
		if len(runs) != 1 || runs[0].Target != "/buy/%2Fx//y?q=1%20" || runs[0].Body != "body of "+id {
			t.Fatalf("runs of the order: %+v", runs)
		}
		header := runs[0].Header
		if header.Get("Authorization") != "" || header.Get("Cicadawall-Tenant") != "arena-north" {
			t.Errorf("headers of the request at the backend server: %v", header)
		}
		if got := f.send(i, http.MethodPost, "/chat/x", id+"s"); got.status != http.StatusOK || !isCompleteStream(got.body, id+"s") {
			t.Errorf("stream: %+v", got)
		}
		if got := f.send(i, http.MethodGet, "/nowhere/x", id+"n"); got.status != http.StatusNotFound {
			t.Errorf("unknown route: %+v", got)
		}
	}
}

// Guards against an order that runs twice, or that is reported as not run although it ran, when the backend server fails in any
// of these ways.
func TestFleetRunsOrdersOnce(t *testing.T) {
	f := newFleet(t, 1)
	for fault, status := range map[modelserver.Fault]int{
		modelserver.FaultFull: http.StatusServiceUnavailable, modelserver.FaultError: http.StatusInternalServerError,
		modelserver.FaultLost: http.StatusBadGateway, modelserver.FaultBreak: http.StatusBadGateway,
		modelserver.FaultForeign: http.StatusGatewayTimeout, modelserver.FaultUnsealed: http.StatusBadGateway,
		modelserver.FaultSwitch: http.StatusBadGateway,
	} {
		for _, server := range f.servers {
			server.SetFault(fault, -1)
		}
		id := "order-" + string(fault)
		got := f.send(f.instances[0], http.MethodPost, "/buy/x", id)
		ran := len(f.runsOf(id))
		if got.status != status || ran > 1 || ran == 1 == (fault == modelserver.FaultFull) {
			t.Errorf("fault %s: status %d, %d runs", fault, got.status, ran)
		}
	}
}

// Guards against a stream with missing or duplicated events, or with a premature end that looks like a normal one, after its
// backend server broke the connection in the middle of an event.
func TestFleetResumesStreams(t *testing.T) { checkResumedStream(t, newFleet(t, 1)) }

// Guards against the same at an instance that has run for long enough to use its slack of the retry budget.
func TestFleetResumesStreamsWithSlack(t *testing.T) {
	// An instance uses its slack of the retry budget, which allows the two repeats of a first request, two windows after its start.
	budget := retrycheck.Budget{Ratio: 0.9, Slack: 50, Window: 500 * time.Millisecond}
	f := newFleetWithOptions(t, 1, fleetOptions{retryBudget: budget})
	sleep(2 * budget.Window)
	checkResumedStream(t, f)
}

// checkResumedStream sends a stream that breaks at each server.
func checkResumedStream(t *testing.T, f *fleet) {
	t.Helper()
	for _, server := range f.servers {
		server.SetFault(modelserver.FaultBreak, 1)
	}
	got := f.send(f.instances[0], http.MethodPost, "/chat/x", "resumed")
	if !isCompleteStream(got.body, "resumed") && got.err == nil {
		t.Errorf("a stream with missing events ended without an error: %+v", got)
	}
	// The order in which servers are chosen is not fixed, but each run must resume after the last event of the previous run.
	after := map[string]int{}
	for _, run := range f.runsOf("resumed") {
		after[run.Header.Get("Last-Event-Id")]++
	}
	if after[""] != 1 || after["1"] != 1 || after["2"] != 1 || len(after) != 3 {
		t.Errorf("number of runs by Last-Event-Id: %v", after)
	}
}

// Guards against an instance that cannot connect to the store and goes on accepting an API key that the other instances have
// revoked; it must get the new manifest from a peer.
func TestFleetPeerForwardsManifest(t *testing.T) {
	f := newFleet(t, 2)
	f.instances[0].storeProxy.setState(linkReset)
	f.writeManifest("another-key")
	eventually(t, recoveryTimeout, "the instance without a store connection refuses the revoked key", func() bool {
		return f.send(f.instances[0], http.MethodGet, "/look/x", "revoked").status == http.StatusUnauthorized
	})
}

// Guards against an instance that keeps an old manifest because its open connection to the store has gone silent permanently.
func TestFleetNoticesSilentStore(t *testing.T) {
	f := newFleet(t, 2)
	for _, i := range f.instances {
		i.storeProxy.setState(linkResponsesStalled)
	}
	f.writeManifest("another-key")
	eventually(t, 2*recoveryTimeout, "the revoked key is refused", func() bool {
		for _, i := range f.instances {
			if f.send(i, http.MethodGet, "/look/x", "silent").status != http.StatusUnauthorized {
				f.instances[1].storeProxy.setState(linkOpen)
				return false
			}
		}
		return true
	})
}

// Guards against an instance that starts without a manifest and then answers 404 or 401, reports itself as ready, or does not
// recover when the store is available again.
func TestFleetStartWithoutStore(t *testing.T) {
	f := newFleet(t, 1)
	i := f.instances[0]
	f.store.SetFault(rowstore.FaultSilent)
	i.process.Signal(syscall.SIGKILL)
	i.process.WaitForExit(startTimeout)
	f.startInstanceProcess(i)
	eventually(t, startTimeout, "the instance without a manifest answers 503", func() bool {
		return f.send(i, http.MethodGet, "/look/x", "early").status == http.StatusServiceUnavailable
	})
	if returnsOK("http://" + i.readinessAddress + "/-/readiness") {
		t.Error("the instance is ready without a manifest")
	}
	f.store.SetFault(rowstore.FaultNone)
	f.awaitReady(i)
	if got := f.send(i, http.MethodGet, "/look/x", "late"); got.status != http.StatusOK {
		t.Errorf("request after the store is available again: %+v", got)
	}
}

// Guards against a graceful shutdown that interrupts requests.
func TestFleetDrainInterruptsNoRequest(t *testing.T) {
	f := newFleet(t, 1)
	i := f.instances[0]
	var callers sync.WaitGroup
	answers := make([]reply, 12)
	for n := range answers {
		callers.Go(func() { answers[n] = f.send(i, http.MethodPost, "/chat/x", "drain-"+string(rune('a'+n))) })
	}
	eventually(t, startTimeout, "the first stream is running", func() bool { return len(f.runsOf("drain-a")) > 0 })
	i.process.Signal(syscall.SIGTERM)
	callers.Wait()
	for n, got := range answers {
		if id := "drain-" + string(rune('a'+n)); got.status == http.StatusOK && !isCompleteStream(got.body, id) {
			t.Errorf("stream %s was interrupted: %+v", id, got)
		}
	}
	if code := i.process.WaitForExit(startTimeout); code != 0 {
		t.Errorf("the drained instance exited with status %d", code)
	}
}

// Guards against malformed rows of other writers that stop updates of the server list, and against requests to a draining
// backend server.
func TestFleetIgnoresBadEntries(t *testing.T) {
	f := newFleet(t, 1)
	f.store.Put("servers", "odd", []byte(`{"Service":"orders","Slots":"many"}`))
	f.store.Put("servers", "broken", []byte(`{`))
	f.store.Put("op", "config", []byte(`{"Version":"next"}`))
	for _, s := range f.servers {
		if s.id != "order-2" {
			f.writeServerRow(s, "draining")
		}
	}
	eventually(t, recoveryTimeout, "only the server that is not draining gets requests", func() bool {
		before := len(f.servers[5].Executions())
		for n := range 6 {
			got := f.send(f.instances[0], http.MethodGet, "/look/x", strings.Repeat("l", n+1))
			if got.status != http.StatusOK {
				return false
			}
		}
		return len(f.servers[5].Executions()) == before+6
	})
}
