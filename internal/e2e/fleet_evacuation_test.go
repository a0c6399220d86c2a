package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/standin/modelserver"
	"github.com/cicadawall/cicadawall/internal/standin/rowstore"
)

const (
	// evacuationTime is the time from the row of an evacuation on after which no request may reach the zone (Bounds.EvacuationMs).
	evacuationTime = 5 * time.Second
	// evacuationRequests is the number of concurrent requests to each instance that show whether a server is used: more than one server runs.
	evacuationRequests = 24
)

// evacuations is a fleet whose order servers are in three availability zones.
type evacuations struct {
	*fleet
	requests int
}

func newEvacuations(t *testing.T, instances int) *evacuations {
	t.Helper()
	e := &evacuations{fleet: newFleetWithOptions(t, instances, fleetOptions{orderZones: true})}
	e.expectUsed("at the start", "order-0", "order-1", "order-2")
	return e
}

func (e *evacuations) evacuate(id string) { e.store.Put("op", "evacuate/zone-of-"+id, []byte("{}")) }

func (e *evacuations) takeBack(id string) { e.store.Remove("op", "evacuate/zone-of-"+id) }

// usedServers sends requests to each instance and returns the order servers that they reached.
func (e *evacuations) usedServers() []string {
	before := map[string]int{}
	for _, server := range e.servers {
		before[server.id] = len(server.Arrivals())
	}
	var callers sync.WaitGroup
	for _, instance := range e.instances {
		for range evacuationRequests {
			e.requests++
			id := fmt.Sprintf("look-%d", e.requests)
			callers.Go(func() {
				if got := e.send(instance, http.MethodGet, "/look/x", id); got.status != http.StatusOK {
					e.t.Errorf("request at %s: %+v", instance.name, got)
				}
			})
		}
	}
	callers.Wait()
	var used []string
	for _, server := range e.servers {
		if len(server.Arrivals()) > before[server.id] {
			used = append(used, server.id)
		}
	}
	return used
}

// expectUsed waits until the requests reach exactly the given servers.
func (e *evacuations) expectUsed(when string, servers ...string) {
	e.t.Helper()
	eventually(e.t, recoveryTimeout, "requests reach "+fmt.Sprint(servers)+" "+when, func() bool { return slices.Equal(e.usedServers(), servers) })
}

// requireUsed fails the test unless the requests reach exactly the given servers now.
func (e *evacuations) requireUsed(when string, servers ...string) {
	e.t.Helper()
	if used := e.usedServers(); !slices.Equal(used, servers) {
		e.t.Errorf("requests %s reach %v, want %v", when, used, servers)
	}
}

// Guards against an instance that starts while the store is unavailable and sends requests to an evacuated zone, because it has the manifest
// and the servers from a peer but not the evacuation.
func TestFleetRestartedInstanceKnowsEvacuation(t *testing.T) {
	e := newEvacuations(t, 2)
	e.evacuate("order-0")
	sleep(evacuationTime)
	e.requireUsed("during the evacuation", "order-1", "order-2")
	e.store.SetFault(rowstore.FaultSilent)
	e.instances[0].process.Signal(syscall.SIGKILL)
	e.instances[0].process.WaitForExit(startTimeout)
	e.startInstanceProcess(e.instances[0])
	e.awaitReady(e.instances[0])
	e.requireUsed("after a restart without the store", "order-1", "order-2")
}

// Guards against an evacuation that stays in force after the operator has taken it back, or a second one that is taken for the first, at
// instances with a connection to the store and at one that hears of them only from peers.
func TestFleetEvacuationTakenBackTwice(t *testing.T) {
	e := newEvacuations(t, 2)
	e.instances[0].storeProxy.setState(linkReset)
	for n := range 2 {
		e.evacuate("order-1")
		sleep(evacuationTime)
		e.requireUsed(fmt.Sprintf("during evacuation %d", n), "order-0", "order-2")
		e.takeBack("order-1")
		e.expectUsed(fmt.Sprintf("after evacuation %d", n), "order-0", "order-1", "order-2")
	}
}

// Guards against the evacuation of a second zone that replaces the first one, and against an end that is taken for that of another zone.
func TestFleetEvacuatesTwoZones(t *testing.T) {
	e := newEvacuations(t, 2)
	e.evacuate("order-0")
	sleep(evacuationTime)
	e.requireUsed("during the first evacuation", "order-1", "order-2")
	e.evacuate("order-1")
	sleep(evacuationTime)
	e.requireUsed("during both evacuations", "order-2")
	e.takeBack("order-0")
	e.expectUsed("after the end of the first", "order-0", "order-2")
	e.takeBack("order-1")
	e.expectUsed("after the end of both", "order-0", "order-1", "order-2")
}

// mostInASecond returns the largest number of requests that reached a server in a second.
func mostInASecond(server *modelserver.Server) int {
	arrivals, most := server.Arrivals(), 0
	for i, first := range arrivals {
		end := i
		for end < len(arrivals) && arrivals[end].At.Sub(first.At) < time.Second {
			end++
		}
		most = max(most, end-i)
	}
	return most
}

// Guards against instances that restart while a server is cold and each use the whole allowance again, which together is more than the
// server survives, and against a cold server that gets no requests at all.
func TestFleetKeepsColdBoundWhileInstancesRestart(t *testing.T) {
	const sustained, overshoot, slack = 10, 1.5, 5
	f := newFleetWithOptions(t, 2, fleetOptions{coldPerSecond: sustained})
	var cold *fleetServer
	for _, server := range f.servers {
		switch {
		case server.id == "order-0":
			cold = server
			cold.coldMillis = int(time.Minute.Milliseconds())
			f.writeServerRow(cold, "ready")
		case server.service == "orders":
			f.writeServerRow(server, "draining")
		}
	}
	sleep(recoveryTimeout / 4)
	before := len(cold.Arrivals())
	b := startBudgetRun(f, 240)
	b.restartInTurn(6*time.Second, restartPause/2)
	restarted := len(cold.Arrivals())
	sleep(4 * time.Second)
	b.end()
	used := float64(len(cold.Arrivals())-restarted) / 4
	if most := mostInASecond(cold.Server); most > sustained*overshoot+slack {
		t.Errorf("the cold server got %d requests in a second", most)
	}
	t.Logf("%d requests at the cold server while instances restarted, %.1f per second afterwards", restarted-before, used)
	if used < sustained/2 {
		t.Errorf("the cold server got %.1f requests per second of %d that it sustains", used, sustained)
	}
}
