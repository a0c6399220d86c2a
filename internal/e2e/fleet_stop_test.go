package e2e

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/processtest"
	"github.com/cicadawall/cicadawall/internal/standin/modelserver"
	"github.com/cicadawall/cicadawall/internal/standin/rowstore"
)

const (
	// stopCallers is the number of callers of each kind that send requests without a pause around a planned stop.
	stopCallers = 4
	// stopRepeats is the number of planned stops in a row; a stop is repeated while the callers of the last one still run.
	stopRepeats = 2
)

// stopOutcomes collects the requests that a planned stop cut off.
type stopOutcomes struct {
	mu       sync.Mutex
	answered int
	cut      []string
}

// Guards against a planned stop under load that cuts off requests which had just been accepted, on new connections and on kept ones.
// Each request must be answered, by a server or as not run, unless the instance no longer listens or closed a kept connection
// without sending the request on. A second signal during the stop must not shorten it.
func TestFleetStopUnderLoad(t *testing.T) {
	f := newFleet(t, 1)
	i := f.instances[0]
	for repeat := range stopRepeats {
		var outcomes stopOutcomes
		var stopped atomic.Bool
		var callers sync.WaitGroup
		for n := range stopCallers {
			for _, kept := range []bool{true, false} {
				callers.Go(func() { f.callUntil(i, &stopped, &outcomes, fmt.Sprintf("stop-%d-%d-%t", repeat, n, kept), kept) })
			}
		}
		eventually(t, startTimeout, "requests are answered", func() bool { return outcomes.count() > 10*stopCallers })
		i.process.Signal(syscall.SIGTERM)
		i.process.Signal(syscall.SIGTERM)
		i.process.WaitForExit(startTimeout)
		stopped.Store(true)
		callers.Wait()
		for _, cut := range outcomes.cut {
			t.Error(cut)
		}
		f.startInstanceProcess(i)
		f.awaitReady(i)
	}
}

// Guards against requests that a planned stop cuts off without an answer: an order that a server is still working on at the end of the grace
// period, and one whose body arrives so late that it would be passed on and then cut off.
func TestFleetStopAnswersLateRequests(t *testing.T) {
	f := newFleetWithOptions(t, 1, fleetOptions{gracePeriod: 3 * time.Second})
	i := f.instances[0]
	for _, server := range f.servers {
		server.SetFault(modelserver.FaultMute, -1)
	}
	running := make(chan reply, 1)
	go func() { running <- f.send(i, http.MethodPost, "/buy/x", "running") }()
	eventually(t, startTimeout, "the order runs", func() bool { return len(f.runsOf("running")) > 0 })

	slow, err := net.Dial("tcp4", i.callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slow.Close() }()
	head := "POST /buy/x HTTP/1.1\r\nHost: " + fleetHost + "\r\nCicadawall-Request-Id: slow\r\nCicadawall-Request-Deadline: 5000\r\n" +
		"Authorization: Bearer " + fleetKey + "\r\nContent-Length: 4\r\n\r\n"
	if _, err := io.WriteString(slow, head+"bod"); err != nil {
		t.Fatal(err)
	}
	i.process.Signal(syscall.SIGTERM)
	eventually(t, startTimeout, "the instance takes no new connections", func() bool {
		conn, err := net.Dial("tcp4", i.callerAddress)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	if _, err := io.WriteString(slow, "y"); err != nil {
		t.Error(err)
	}
	if response, err := http.ReadResponse(bufio.NewReader(slow), nil); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("answer to the request whose body came late: %+v, %v", response, err)
	}
	if got := <-running; got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("answer to the order that was cancelled: %+v, want status 502", got)
	}
	if len(f.runsOf("slow")) > 0 {
		t.Error("the request whose body came late was passed on")
	}
	i.process.WaitForExit(startTimeout)
}

// callUntil sends requests of each kind in turn until stopped, on kept connections or on a new one each.
func (f *fleet) callUntil(i *fleetInstance, stopped *atomic.Bool, outcomes *stopOutcomes, prefix string, kept bool) {
	caller := *i
	transport := &http.Transport{DisableKeepAlives: !kept, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	caller.client = &http.Client{Transport: transport, Timeout: 8 * time.Second}
	for n := 0; !stopped.Load(); n++ {
		kind := []struct{ method, path string }{{http.MethodPost, "/buy/x"}, {http.MethodPost, "/chat/x"}, {http.MethodPost, "/look/x"}}[n%3]
		id := fmt.Sprintf("%s-%d", prefix, n)
		got := f.send(&caller, kind.method, kind.path, id)
		ran := len(f.runsOf(id)) > 0
		outcomes.record(id, got, ran, kept)
	}
}

func (o *stopOutcomes) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answered
}

// record counts an answer, or describes a request that was cut off. Kept says that it used a kept connection.
func (o *stopOutcomes) record(id string, got reply, ran, kept bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case got.err == nil && got.status == http.StatusOK:
		o.answered++
	case got.err == nil && got.status == http.StatusServiceUnavailable && !ran:
	case errors.Is(got.err, syscall.ECONNREFUSED):
	case got.err != nil && !ran && kept:
		// The request crossed the close of its connection and was not sent on.
	default:
		o.cut = append(o.cut, fmt.Sprintf("request %s was cut off: ran %t, kept connection %t, error %v, %+v", id, ran, kept, got.err, got))
	}
}

// Guards against a planned stop that is lost because signals to reload the settings came in series before it, while the instance started.
func TestFleetStopsAfterSeriesOfReloads(t *testing.T) {
	const reloads = 12
	f := newFleet(t, 1)
	i := f.instances[0]
	f.store.SetFault(rowstore.FaultSilent)
	i.process.Signal(syscall.SIGKILL)
	i.process.WaitForExit(startTimeout)
	f.startInstanceProcess(i)
	eventually(t, startTimeout, "the instance listens for readiness probes", func() bool {
		conn, err := net.Dial("tcp4", i.readinessAddress)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	for range reloads {
		i.process.Signal(syscall.SIGHUP)
		sleep(processtest.PollInterval / 4)
	}
	i.process.Signal(syscall.SIGTERM)
	i.process.WaitForExit(startTimeout)
}
