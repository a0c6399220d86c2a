package e2e

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/standin/modelserver"
	"github.com/cicadawall/cicadawall/internal/standin/retrycheck"
)

const (
	// budgetInstances is the number of instances of the users' first deployment.
	budgetInstances = 7
	// budgetRunTime is longer than the window of the retry budget.
	budgetRunTime = 14 * time.Second
	// restartPause is the time from the start of one process to the end of the next one.
	restartPause = 300 * time.Millisecond
	// refusalTime is the time for which a server refuses requests, shorter than instances need to avoid it.
	refusalTime = 200 * time.Millisecond
	// minServed is the share of requests that are served although a third of the servers refuses them and instances are killed.
	minServed = 0.9
)

// budgetRun sends idempotent requests to the instances of a fleet whose servers refuse them, so that each request is repeated as often as
// the retry budget allows.
type budgetRun struct {
	*fleet
	requestsPerSecond int
	stopped           atomic.Bool
	callers           sync.WaitGroup
	lastRequest       atomic.Int64
	mu                sync.Mutex
	sent              []time.Time
	served            int
}

func startBudgetRun(f *fleet, requestsPerSecond int) *budgetRun {
	b := &budgetRun{fleet: f, requestsPerSecond: requestsPerSecond}
	for caller := range f.instances {
		b.callers.Go(func() { b.runCaller(caller) })
	}
	return b
}

// runCaller sends requests at a steady rate, to the instances in turn.
func (b *budgetRun) runCaller(caller int) {
	ticker := time.NewTicker(time.Second * time.Duration(len(b.instances)) / time.Duration(b.requestsPerSecond))
	defer ticker.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := caller; !b.stopped.Load(); n++ {
		instance := b.instances[n%len(b.instances)]
		requests.Go(func() { b.sendOne(instance) })
		<-ticker.C
	}
}

func (b *budgetRun) sendOne(instance *fleetInstance) {
	sent := time.Now()
	got := b.send(instance, http.MethodGet, "/look/x", fmt.Sprintf("look-%d", b.lastRequest.Add(1)))
	b.mu.Lock()
	defer b.mu.Unlock()
	if !errors.Is(got.err, syscall.ECONNREFUSED) {
		b.sent = append(b.sent, sent)
	}
	if got.err == nil && got.status == http.StatusOK {
		b.served++
	}
}

// restartInTurn kills one instance after the other and starts it again at once, until the time is over.
func (b *budgetRun) restartInTurn(duration, pause time.Duration) {
	deadline := time.Now().Add(duration)
	for n := 0; time.Now().Before(deadline); n++ {
		b.kill(b.instances[n%len(b.instances)])
		b.startInstanceProcess(b.instances[n%len(b.instances)])
		sleep(pause)
	}
}

// refuseInTurn makes one server of the service after the other refuse all requests, until the callers stop.
func (b *budgetRun) refuseInTurn(service string) {
	b.callers.Go(func() {
		for n := 0; !b.stopped.Load(); n++ {
			server := b.servers[n%len(b.servers)]
			if server.service != service {
				continue
			}
			server.SetFault(modelserver.FaultFull, -1)
			sleep(refusalTime)
			server.SetFault(modelserver.FaultNone, 0)
		}
	})
}

func (b *budgetRun) kill(instance *fleetInstance) {
	instance.process.Signal(syscall.SIGKILL)
	instance.process.WaitForExit(startTimeout)
}

// end stops the callers and checks the arrivals at the servers against the retry budget.
func (b *budgetRun) end() {
	b.stopped.Store(true)
	b.callers.Wait()
	repeats := retrycheck.Repeats(b.arrivalsAt("orders"))
	worst := b.options.retryBudget.Worst(repeats, b.sent)
	b.t.Logf("%d requests, %d served, %d repeats; worst window: %s", len(b.sent), b.served, len(repeats), worst)
	if worst.Excess > 0 {
		b.t.Errorf("repeats exceed the retry budget: %s", worst)
	}
}

// arrivalsAt returns the requests that reached the servers of a service.
func (f *fleet) arrivalsAt(service string) []retrycheck.Arrival {
	var arrivals []retrycheck.Arrival
	for _, server := range f.servers {
		if server.service == service {
			arrivals = append(arrivals, server.Arrivals()...)
		}
	}
	return arrivals
}

func (f *fleet) refuseAll(service string) {
	for _, server := range f.servers {
		if server.service == service {
			server.SetFault(modelserver.FaultFull, -1)
		}
	}
}

func (f *fleet) acceptAll(service string) {
	for _, server := range f.servers {
		if server.service == service {
			server.SetFault(modelserver.FaultNone, 0)
		}
	}
}

// Guards against instances that forget what their earlier processes repeated, or each take the whole slack of the fleet when they start:
// killed and started in series, together they exceed the retry budget.
func TestFleetRetryBudgetHoldsWhileInstancesRestart(t *testing.T) {
	for name, requestsPerSecond := range map[string]int{"few requests": 10, "many requests": 140} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, budgetInstances)
			f.refuseAll("orders")
			b := startBudgetRun(f, requestsPerSecond)
			b.restartInTurn(budgetRunTime, restartPause)
			b.end()
		})
	}
}

// Guards against a retry budget that holds because hardly any request is repeated: one of three servers refuses all requests, and a repeat at
// another one serves them.
func TestFleetServesWhileInstancesRestart(t *testing.T) {
	for name, requestsPerSecond := range map[string]int{"few requests": 10, "many requests": 140} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, budgetInstances)
			b := startBudgetRun(f, requestsPerSecond)
			b.refuseInTurn("orders")
			b.restartInTurn(budgetRunTime, 10*restartPause)
			b.end()
			if served := float64(b.served) / float64(len(b.sent)); served < minServed {
				t.Errorf("%.3f of the requests were served, want %.2f", served, minServed)
			}
		})
	}
}

// Guards against instances that each take the whole slack of the fleet when all of them start at once.
func TestFleetRetryBudgetHoldsWhenAllInstancesStart(t *testing.T) {
	f := newFleet(t, budgetInstances)
	f.refuseAll("orders")
	b := startBudgetRun(f, 70)
	for range 4 {
		sleep(budgetRunTime / 8)
		for _, instance := range f.instances {
			b.kill(instance)
		}
		for _, instance := range f.instances {
			f.startInstanceProcess(instance)
		}
	}
	b.end()
}

// Guards against instances that have run for long enough to use their parts of the slack and exceed the retry budget together: servers refuse
// all requests in bursts at both ends of a window, and then all the while.
func TestFleetRetryBudgetHoldsInBursts(t *testing.T) {
	f := newFleet(t, budgetInstances)
	b := startBudgetRun(f, 70)
	window := f.options.retryBudget.Window
	sleep(2 * window)
	for _, pause := range []time.Duration{window * 86 / 100, window / 2} {
		f.refuseAll("orders")
		sleep(window / 10)
		f.acceptAll("orders")
		sleep(pause)
	}
	f.refuseAll("orders")
	sleep(window)
	b.end()
}
