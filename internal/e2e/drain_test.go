package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// drainTimeout limits the graceful shutdown of one instance: the balancer delay of 0.5 s, the in-flight requests of less than a
// second, and the flush of pending bills.
const drainTimeout = 20 * time.Second

func (w *cluster) drain(i *instance) {
	w.t.Helper()
	startedAt := time.Now()
	i.signal(syscall.SIGTERM)
	if status := i.waitForExit(drainTimeout); status != 0 {
		w.t.Errorf("%s exited with status %d", i.name, status)
	}
	w.t.Logf("%s stopped within %s", i.name, time.Since(startedAt).Round(time.Millisecond))
}

// Guards against a graceful shutdown that interrupts a request, loses a bill or exits with a failure while the store is available.
func TestDrainUnderLoad(t *testing.T) {
	w := newCluster(t)
	w.startEngine("zone-0", 40, 20)
	w.startEngine("zone-1", 40, 20)
	w.startInstances(2, nil)
	l := w.load(6, w.readyFirst())
	l.waitForAnswers(20)
	w.drain(w.instances[0])
	l.waitForAnswers(20)
	l.stopAndCheck()
	l.checkAllBilled(5 * time.Second)
}

// Guards against a graceful shutdown that loses bills, interrupts requests or never ends while the store is unavailable.
func TestDrainWithoutStore(t *testing.T) {
	w := newCluster(t)
	w.startEngine("zone-0", 40, 20)
	w.startEngine("zone-1", 40, 20)
	w.startInstances(3, nil)
	l := w.load(6, w.readyFirst())
	l.waitForAnswers(20)
	w.setFaults(api.PlatformFaults{Outage: true})
	l.waitForAnswers(20)
	w.drain(w.instances[0])
	l.waitForAnswers(20)
	l.stopAndCheck()
	w.setFaults(api.PlatformFaults{})
	// The peers that hold bill copies of the stopped instance write them to the store 10 s after its last message.
	l.checkAllBilled(25 * time.Second)
}

// Guards against a failed request while all instances are replaced one after the other.
func TestRollingReplacement(t *testing.T) {
	w := newCluster(t)
	w.startEngine("zone-0", 40, 20)
	w.startEngine("zone-1", 40, 20)
	w.startInstances(3, nil)
	l := w.load(6, w.readyFirst())
	for _, i := range w.instances {
		l.waitForAnswers(10)
		w.drain(i)
		w.restartInstance(i)
	}
	l.waitForAnswers(20)
	l.stopAndCheck()
	l.checkAllBilled(5 * time.Second)
}
