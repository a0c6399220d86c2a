package e2e

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/cicadawall/cicadawall/internal/standin/modelserver"
	"github.com/cicadawall/cicadawall/internal/standin/rowstore"
)

// Guards against a path that changes requests or answers, lets a key through, or refuses what is allowed.
func TestFleetCarriesRequests(t *testing.T) {
	f := newFleet(t, 2)
	for n, i := range f.instances {
		id := string(rune('a'+n)) + "-1"
		if got := f.ask(i, http.MethodPost, "/buy/%2Fx//y?q=1%20", id); got.status != http.StatusOK || got.body != "answer to "+id {
			t.Errorf("order: %+v", got)
		}
		runs := f.runs(id)
		if len(runs) != 1 || runs[0].Target != "/buy/%2Fx//y?q=1%20" || runs[0].Body != "body of "+id {
			t.Fatalf("runs %+v", runs)
		}
		header := runs[0].Header
		if header.Get("Authorization") != "" || header.Get("Cicadawall-Tenant") != "arena-north" {
			t.Errorf("the server saw %v", header)
		}
		if got := f.ask(i, http.MethodPost, "/chat/x", id+"s"); got.status != http.StatusOK || !wholeStream(got.body, id+"s") {
			t.Errorf("stream: %+v", got)
		}
		if got := f.ask(i, http.MethodGet, "/nowhere/x", id+"n"); got.status != http.StatusNotFound {
			t.Errorf("unknown route: %+v", got)
		}
	}
}

// Guards against an order that runs twice or is refused as not run although it ran, whatever the server does.
func TestFleetRunsOrdersOnce(t *testing.T) {
	f := newFleet(t, 1)
	for fault, status := range map[modelserver.Fault]int{
		modelserver.FaultFull: http.StatusServiceUnavailable, modelserver.FaultError: http.StatusInternalServerError,
		modelserver.FaultLost: http.StatusBadGateway, modelserver.FaultBreak: http.StatusBadGateway,
		modelserver.FaultForeign: http.StatusGatewayTimeout, modelserver.FaultUnsealed: http.StatusBadGateway,
	} {
		for _, server := range f.servers {
			server.SetFault(fault, -1)
		}
		id := "order-" + string(fault)
		got := f.ask(f.instances[0], http.MethodPost, "/buy/x", id)
		ran := len(f.runs(id))
		if got.status != status || ran > 1 || ran == 1 == (fault == modelserver.FaultFull) {
			t.Errorf("%s: status %d, %d runs", fault, got.status, ran)
		}
	}
}

// Guards against a stream with a gap, a repeat or a false end after its server broke off in the middle of an event.
func TestFleetResumesStreams(t *testing.T) {
	f := newFleet(t, 1)
	for _, server := range f.servers {
		server.SetFault(modelserver.FaultBreak, 1)
	}
	got := f.ask(f.instances[0], http.MethodPost, "/chat/x", "resumed")
	if !wholeStream(got.body, "resumed") && got.err == nil {
		t.Errorf("a stream that lacks events looks complete: %+v", got)
	}
	// Servers are chosen in any order; each run must begin after the events of the one before.
	after := map[string]int{}
	for _, run := range f.runs("resumed") {
		after[run.Header.Get("Last-Event-Id")]++
	}
	if after[""] != 1 || after["1"] != 1 || after["2"] != 1 || len(after) != 3 {
		t.Errorf("runs by the event after which they began: %v", after)
	}
}

// Guards against an instance that the store refuses and that keeps a key which others have dropped.
func TestFleetPeerHandsOnManifest(t *testing.T) {
	f := newFleet(t, 2)
	f.instances[0].store.set(linkReset)
	f.declare("another-key")
	eventually(t, servedAgain, "the cut-off instance refuses the key", func() bool {
		return f.ask(f.instances[0], http.MethodGet, "/look/x", "revoked").status == http.StatusUnauthorized
	})
}

// Guards against a connection to the store that went silent for good and leaves an instance with an old manifest.
func TestFleetNoticesSilentStore(t *testing.T) {
	f := newFleet(t, 2)
	for _, i := range f.instances {
		i.store.set(linkDeaf)
	}
	f.declare("another-key")
	eventually(t, 2*servedAgain, "the key is refused", func() bool {
		for _, i := range f.instances {
			if f.ask(i, http.MethodGet, "/look/x", "silent").status != http.StatusUnauthorized {
				f.instances[1].store.set(linkOpen)
				return false
			}
		}
		return true
	})
}

// Guards against a start without a manifest that answers 404 or 401 or counts as ready, and against one that never recovers.
func TestFleetStartWithoutStore(t *testing.T) {
	f := newFleet(t, 1)
	i := f.instances[0]
	f.store.SetFault(rowstore.FaultSilent)
	i.process.signal(syscall.SIGKILL)
	i.process.exit(startLimit)
	f.launch(i)
	eventually(t, startLimit, "the instance answers 503", func() bool {
		return f.ask(i, http.MethodGet, "/look/x", "early").status == http.StatusServiceUnavailable
	})
	if succeeds("http://" + i.ready + "/-/readiness") {
		t.Error("ready without a manifest")
	}
	f.store.SetFault(rowstore.FaultNone)
	f.awaitReady(i)
	if got := f.ask(i, http.MethodGet, "/look/x", "late"); got.status != http.StatusOK {
		t.Errorf("after the store's return: %+v", got)
	}
}

// Guards against a planned stop that cuts requests.
func TestFleetDrainCutsNothing(t *testing.T) {
	f := newFleet(t, 1)
	i := f.instances[0]
	var asking sync.WaitGroup
	answers := make([]reply, 12)
	for n := range answers {
		asking.Go(func() { answers[n] = f.ask(i, http.MethodPost, "/chat/x", "drain-"+string(rune('a'+n))) })
	}
	eventually(t, startLimit, "a stream runs", func() bool { return len(f.runs("drain-a")) > 0 })
	i.process.signal(syscall.SIGTERM)
	asking.Wait()
	for n, got := range answers {
		if id := "drain-" + string(rune('a'+n)); got.status == http.StatusOK && !wholeStream(got.body, id) {
			t.Errorf("%s was cut: %+v", id, got)
		}
	}
	if code := i.process.exit(startLimit); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// Guards against entries of other writers that stop the list of servers, and against a draining server that gets work.
func TestFleetIgnoresBadEntries(t *testing.T) {
	f := newFleet(t, 1)
	f.store.Put("servers", "odd", []byte(`{"Service":"orders","Slots":"many"}`))
	f.store.Put("servers", "broken", []byte(`{`))
	f.store.Put("op", "config", []byte(`{"Version":"next"}`))
	for _, s := range f.servers {
		if s.id != "order-2" {
			f.register(s, "draining")
		}
	}
	eventually(t, servedAgain, "only the server that stays gets work", func() bool {
		before := len(f.servers[5].Executions())
		for n := range 6 {
			got := f.ask(f.instances[0], http.MethodGet, "/look/x", strings.Repeat("l", n+1))
			if got.status != http.StatusOK {
				return false
			}
		}
		return len(f.servers[5].Executions()) == before+6
	})
}
