package e2e

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/oapi-codegen/nullable"

	"github.com/cicadawall/cicadawall/internal/standin/modelserver"
	"github.com/cicadawall/cicadawall/internal/standin/retrycheck"
	"github.com/cicadawall/cicadawall/internal/standin/rowstore"
	"github.com/cicadawall/cicadawall/platform/wire"
)

const (
	// soakSeedsVariable is the environment variable for the number of additional random seeds of a manual run, for example 50.
	soakSeedsVariable = "CICADAWALL_SOAK_SEEDS"
	// soakInstancesVariable is the environment variable for the number of instances of a manual run, for example 60.
	soakInstancesVariable = "CICADAWALL_SOAK_INSTANCES"
	soakInstances         = 3
	// callersPerInstance and faultsPerInstance make larger runs as dense as small ones.
	callersPerInstance = 2
	faultsPerInstance  = 4
	// soakPace is the pause of a caller between two requests. Without it, requests that are refused at once would be so many that they allow any
	// number of repeats.
	soakPace = 40 * time.Millisecond
	// maxFaultInterval is the longest pause between the starts of two faults. Most faults last longer, so they overlap.
	maxFaultInterval = 400 * time.Millisecond
)

// forgedPrefix begins the identifiers of requests with a key that no organisation has. One of forgedInterval requests is such a one.
const (
	forgedPrefix   = "forged-"
	forgedInterval = 6
)

// soakBudget is a retry budget that a service which refuses its requests uses up within the time of a fault.
var soakBudget = retrycheck.Budget{Ratio: 0.2, Slack: 30, Window: 3 * time.Second}

// soakRegression lists the seeds that every run uses, in CI too: seeds that once failed, each with its cause, and fixed ones.
var soakRegression = []uint64{1, 2}

// soak is one run that injects faults into a fleet under load.
type soak struct {
	*fleet
	random        *rand.Rand
	stopCallers   chan struct{}
	callers       sync.WaitGroup
	activeFaults  sync.WaitGroup
	lastRequest   atomic.Int64
	instanceLocks []sync.Mutex
	mu            sync.Mutex
	replies       map[string]reply
	// sent holds the times at which requests for a service were sent.
	sent map[string][]time.Time
}

// TestSoak injects faults from outside the processes and checks what callers and backend servers observe. A seed determines the
// faults and their order, but not the interleaving of the processes.
func TestSoak(t *testing.T) {
	seeds := soakRegression
	if count, err := strconv.Atoi(os.Getenv(soakSeedsVariable)); err == nil {
		for range count {
			seeds = append(seeds, rand.Uint64())
		}
	}
	instances := soakInstances
	if count, err := strconv.Atoi(os.Getenv(soakInstancesVariable)); err == nil {
		instances = count
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSoak(t, seed, instances) })
	}
}

func runSoak(t *testing.T, seed uint64, instances int) {
	s := &soak{
		fleet: newFleetWithOptions(t, instances, fleetOptions{retryBudget: soakBudget}), random: rand.New(rand.NewPCG(seed, 0)), stopCallers: make(chan struct{}),
		instanceLocks: make([]sync.Mutex, instances), replies: map[string]reply{}, sent: map[string][]time.Time{},
	}
	// Instances use no slack of the retry budget before; without it, the budget would be far from its bound.
	sleep(2 * soakBudget.Window)
	for caller := range callersPerInstance * instances {
		s.callers.Go(func() { s.runCaller(caller) })
	}
	// The returns of the store have draws of their own, so that the other faults of a seed stay the same.
	s.activeFaults.Add(1)
	go s.returnFromCopies(rand.New(rand.NewPCG(seed, 1)))
	for range faultsPerInstance * instances {
		s.inject()
		sleep(time.Duration(s.random.Int64N(int64(maxFaultInterval))))
	}
	s.activeFaults.Wait()
	s.waitForRecovery()
	s.waitForLastManifest(rand.New(rand.NewPCG(seed, 2)))
	close(s.stopCallers)
	s.callers.Wait()
	s.check()
}

// runCaller sends requests over keep-alive connections, one at a time, to the instances in turn.
func (s *soak) runCaller(caller int) {
	kinds := []struct{ method, path, service string }{
		{http.MethodPost, "/buy/x", "orders"}, {http.MethodGet, "/look/x", "orders"}, {http.MethodPost, "/chat/x", "models"},
	}
	for n := 0; ; n++ {
		select {
		case <-s.stopCallers:
			return
		default:
		}
		kind := kinds[(caller+n)%len(kinds)]
		id, key := fmt.Sprintf("%s-%d", strings.Trim(kind.path, "/x"), s.lastRequest.Add(1)), fleetKey
		if n%forgedInterval == forgedInterval-1 {
			id, key = forgedPrefix+id, "forged"
		}
		sent := time.Now()
		got := s.sendWithKey(s.instances[(caller+n/4)%len(s.instances)], kind.method, kind.path, id, key)
		s.mu.Lock()
		s.replies[id] = got
		if key == fleetKey && !errors.Is(got.err, syscall.ECONNREFUSED) {
			s.sent[kind.service] = append(s.sent[kind.service], sent)
		}
		s.mu.Unlock()
		sleep(soakPace)
	}
}

// inject starts one random fault, which ends without further calls.
func (s *soak) inject() {
	duration := time.Duration(300+s.random.IntN(1500)) * time.Millisecond
	server := s.servers[s.random.IntN(len(s.servers))]
	index := s.random.IntN(len(s.instances))
	instance := s.instances[index]
	states := []linkState{linkStalled, linkResponsesStalled, linkReset}
	state := states[s.random.IntN(len(states))]
	serverFaults := []modelserver.Fault{
		modelserver.FaultFull, modelserver.FaultError, modelserver.FaultLost, modelserver.FaultBreak, modelserver.FaultForeign,
		modelserver.FaultUnsealed, modelserver.FaultMute,
	}
	storeFaults := []rowstore.Fault{
		rowstore.FaultBusy, rowstore.FaultMany, rowstore.FaultReset, rowstore.FaultSilent, rowstore.FaultLost, rowstore.FaultLate,
	}
	serverFault := serverFaults[s.random.IntN(len(serverFaults))]
	storeFault := storeFaults[s.random.IntN(len(storeFaults))]
	times := 1 + s.random.IntN(6)
	s.activeFaults.Add(1)
	endFaultWith := func(undo func()) {
		go func() {
			defer s.activeFaults.Done()
			sleep(duration)
			undo()
		}()
	}
	service := []string{"models", "orders"}[s.random.IntN(2)]
	switch s.random.IntN(11) {
	case 0:
		server.link.setState(state)
		endFaultWith(func() { server.link.setState(linkOpen) })
	case 1:
		instance.storeProxy.setState(state)
		endFaultWith(func() { instance.storeProxy.setState(linkOpen) })
	case 2:
		s.store.SetFault(storeFault)
		endFaultWith(func() { s.store.SetFault(rowstore.FaultNone) })
	case 3:
		server.SetFault(serverFault, times)
		endFaultWith(func() {})
	case 4:
		paused := s.pause(index)
		endFaultWith(func() { paused.Signal(syscall.SIGCONT) })
	case 5:
		go s.restart(index, syscall.SIGKILL)
	case 6:
		go s.restart(index, syscall.SIGTERM)
	case 7:
		s.writeUnusualManifest(fleetKey, "key-"+strconv.Itoa(int(duration)))
		s.store.DropHistory()
		endFaultWith(func() {})
	case 8:
		// The retry budget binds only while a service refuses its requests for some time. Restarts meanwhile must not renew it.
		duration *= 2
		s.activeFaults.Add(1)
		go s.restartInSeries(index, 2+times)
		s.setFaultOfService(service, modelserver.FaultFull, -1)
		endFaultWith(func() { s.setFaultOfService(service, modelserver.FaultNone, 0) })
	case 9:
		go s.restartInSeries(index, 2+times)
	case 10:
		s.reload(index, times)
		endFaultWith(func() {})
	}
}

// writeUnusualManifest writes a manifest with the keys, in which orders need no key and a further route is of a kind that no instance knows.
func (s *soak) writeUnusualManifest(keys ...string) {
	manifest := s.nextManifest()
	manifest.Organisations = nullable.NewNullableWithValue([]wire.ManifestTenant{{Name: "arena-north", ApiKeys: keys}})
	manifest.Routes[1].AllowAnonymous = true
	unknown := manifest.Routes[2]
	unknown.Name, unknown.PathPrefix, unknown.Kind = "odd", "/odd/", "odd"
	manifest.Routes = append(manifest.Routes, unknown)
	s.store.Put("op", "config", s.encode(manifest))
}

func (s *soak) setFaultOfService(service string, fault modelserver.Fault, times int) {
	for _, server := range s.servers {
		if server.service == service {
			server.SetFault(fault, times)
		}
	}
}

// restartInSeries kills an instance's process several times, each time while it starts or has just started.
func (s *soak) restartInSeries(index, times int) {
	for range times - 1 {
		s.activeFaults.Add(1)
		s.restart(index, syscall.SIGKILL)
		sleep(maxFaultInterval / 2)
	}
	s.restart(index, syscall.SIGKILL)
}

// reload makes the instance read its settings again, several times in a row. A process that has not set up its signal handlers is left alone.
func (s *soak) reload(index, times int) {
	s.instanceLocks[index].Lock()
	defer s.instanceLocks[index].Unlock()
	if !returnsOK("http://" + s.instances[index].readinessAddress + "/-/readiness") {
		return
	}
	for range times {
		s.instances[index].process.Signal(syscall.SIGHUP)
	}
}

// pause suspends the instance's current process with SIGSTOP.
func (s *soak) pause(index int) *process {
	s.instanceLocks[index].Lock()
	defer s.instanceLocks[index].Unlock()
	paused := s.instances[index].process
	paused.Signal(syscall.SIGSTOP)
	return paused
}

// restart stops an instance's process with the signal and starts it again. Restarts and pauses of one instance are serialised
// by its lock.
func (s *soak) restart(index int, signal syscall.Signal) {
	defer s.activeFaults.Done()
	s.instanceLocks[index].Lock()
	defer s.instanceLocks[index].Unlock()
	instance := s.instances[index]
	instance.process.Signal(syscall.SIGCONT)
	instance.process.Signal(signal)
	instance.process.WaitForExit(startTimeout)
	s.startInstanceProcess(instance)
}

// waitForRecovery waits until each instance serves each kind of request again.
func (s *soak) waitForRecovery() {
	for _, instance := range s.instances {
		s.awaitReady(instance)
		for _, path := range []string{"/buy/x", "/look/x", "/chat/x"} {
			eventually(s.t, recoveryTimeout, instance.name+" serves "+path, func() bool {
				id := fmt.Sprintf("again-%d", s.lastRequest.Add(1))
				return s.send(instance, http.MethodPost, path, id).status == http.StatusOK
			})
		}
	}
}

// check compares the replies to the callers with the executions at the backend servers.
func (s *soak) check() {
	runs := map[string]int{}
	for _, server := range s.servers {
		for _, run := range server.Executions() {
			runs[run.ID]++
		}
	}
	served := 0
	for id, got := range s.replies {
		if strings.HasPrefix(id, forgedPrefix) {
			if runs[id] > 0 || got.status >= 200 && got.status < 300 {
				s.t.Errorf("%s, with an unknown key, ran %d times and got status %d", id, runs[id], got.status)
			}
			continue
		}
		if strings.HasPrefix(id, "buy-") {
			s.checkOrder(id, got, runs[id])
		}
		if got.status == http.StatusUnauthorized || got.status == http.StatusNotFound {
			s.t.Errorf("%s was refused with status %d although it is allowed", id, got.status)
		}
		if got.status == http.StatusOK && got.err == nil {
			served++
			s.checkAnswer(id, got)
		}
	}
	if served == 0 {
		s.t.Error("no request was served")
	}
	for service, sent := range s.sent {
		repeats := retrycheck.Repeats(s.arrivalsAt(service))
		worst := s.options.retryBudget.Worst(repeats, sent)
		s.t.Logf("%s: %d requests, %d repeats; worst window: %s", service, len(sent), len(repeats), worst)
		if worst.Excess > 0 {
			s.t.Errorf("repeats at %s exceed the retry budget: %s", service, worst)
		}
	}
}

func (s *soak) checkOrder(id string, got reply, runs int) {
	if runs > 1 {
		s.t.Errorf("%s ran %d times", id, runs)
	}
	if runs > 0 && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests) {
		s.t.Errorf("%s was refused with status %d, which means not run, although it ran", id, got.status)
	}
}

func (s *soak) checkAnswer(id string, got reply) {
	complete := got.body == "answer to "+id
	if strings.HasPrefix(id, "chat-") {
		complete = isCompleteStream(got.body, id)
	}
	if !complete || got.seal == "" {
		s.t.Errorf("%s got a wrong or unsealed answer: %q, seal %q", id, got.body, got.seal)
	}
}
