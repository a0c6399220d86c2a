package e2e

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/standin/modelserver"
)

// Guards against requests to a server whose answers say that it leaves while its row in the store says that it is ready, at the instance
// that got the answer and at its peer.
func TestFleetLeavesLeavingServerAlone(t *testing.T) {
	f := newFleet(t, 2)
	f.send(f.instances[0], http.MethodGet, "/look/x", "first")
	leaving := f.servers[slices.IndexFunc(f.servers, func(s *fleetServer) bool { return len(s.Arrivals()) > 0 })]
	leaving.Leave()
	sent := 0
	send := func() {
		sent++
		if got := f.send(f.instances[sent%2], http.MethodGet, "/look/x", "leave-"+strconv.Itoa(sent)); got.status != http.StatusOK {
			t.Errorf("request %d: %+v", sent, got)
		}
	}
	eventually(t, recoveryTimeout, "the server gets no requests any more", func() bool {
		before := len(leaving.Arrivals())
		for range 20 {
			send()
		}
		return len(leaving.Arrivals()) == before
	})
	f.writeServerRow(leaving, "ready")
	before := len(leaving.Arrivals())
	for range 20 {
		send()
	}
	if got := len(leaving.Arrivals()); got != before {
		t.Errorf("%d requests reached the server after its row said again that it is ready", got-before)
	}
}

// Guards against requests to servers that asked for a backoff, and against a caller that is not told when to return.
func TestFleetKeepsBackoffOfServers(t *testing.T) {
	f := newFleet(t, 1)
	for _, server := range f.servers {
		if strings.HasPrefix(server.id, "order-") {
			server.SetFault(modelserver.FaultBackoff, -1)
		}
	}
	arrivals := func() int {
		total := 0
		for _, server := range f.servers {
			total += len(server.Arrivals())
		}
		return total
	}
	for n := range 3 {
		f.send(f.instances[0], http.MethodGet, "/look/x", "backoff-"+strconv.Itoa(n))
	}
	before := arrivals()
	for n := range 20 {
		start := time.Now()
		if got := f.send(f.instances[0], http.MethodGet, "/look/x", "later-"+strconv.Itoa(n)); got.status != http.StatusServiceUnavailable {
			t.Errorf("request %d: %+v", n, got)
		} else if took := time.Since(start); took > time.Second {
			t.Errorf("request %d was refused after %s", n, took)
		}
	}
	if got := arrivals(); got != before {
		t.Errorf("%d requests reached servers that asked for a backoff", got-before)
	}
}

// Guards against a part of a prompt that crashes one server after the other, with instances as processes that each see some of the
// crashes, and against sound requests that are refused with it.
func TestFleetHoldsCrashingPrompts(t *testing.T) {
	f := newFleet(t, 2)
	send := func(n int, parts string) reply {
		return f.sendPrompt(f.instances[n%2], "crash-"+strconv.Itoa(n), parts+",own-"+strconv.Itoa(n)+":20")
	}
	runs := func() int {
		total := 0
		for _, server := range f.servers {
			for _, run := range server.Executions() {
				if strings.Contains(run.Header.Get("Cicadawall-Prompt-Prefix"), crashingPart+":") {
					total++
				}
			}
		}
		return total
	}
	n := 0
	for _, instance := range f.instances {
		eventually(t, recoveryTimeout, instance.name+" holds the prompt", func() bool {
			n += 2
			f.sendPrompt(instance, "held-"+strconv.Itoa(n), "shared:80,"+crashingPart+":40,own-"+strconv.Itoa(n)+":20")
			got := f.sendPrompt(instance, "again-"+strconv.Itoa(n), "shared:80,"+crashingPart+":40,other-"+strconv.Itoa(n)+":20")
			return got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "prompt_held")
		})
	}
	eventually(t, recoveryTimeout, "the servers are back", func() bool {
		n++
		return send(1000+n, "shared:80").status == http.StatusOK && send(1001+n, "shared:80").status == http.StatusOK
	})
	before := runs()
	for n := range 20 {
		if got := send(n, "shared:80,"+crashingPart+":40"); got.status != http.StatusServiceUnavailable {
			t.Errorf("held request %d: %+v", n, got)
		}
		if got := send(100+n, "shared:80"); got.status != http.StatusOK {
			t.Errorf("sound request %d: %+v", n, got)
		}
	}
	if got := runs(); got != before || before > maxCrashesBeforeHold {
		t.Errorf("servers crashed %d times, and %d times after the prompt was held", before, got-before)
	}
}
