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

func (c *cluster) drain(i *instance) {
	c.t.Helper()
	startedAt := time.Now()
	i.Signal(syscall.SIGTERM)
	if status := i.WaitForExit(drainTimeout); status != 0 {
		c.t.Errorf("%s exited with status %d", i.name, status)
	}
	c.t.Logf("%s stopped within %s", i.name, time.Since(startedAt).Round(time.Millisecond))
}

// Guards against a graceful shutdown that interrupts a request, loses a bill or exits with a failure while the store is available.
func TestDrainUnderLoad(t *testing.T) {
	c := newCluster(t)
	c.startEngine("zone-0", 40, 20)
	c.startEngine("zone-1", 40, 20)
	c.startInstances(2, nil)
	l := c.load(6, c.readyFirst())
	l.waitForAnswers(20)
	c.drain(c.instances[0])
	l.waitForAnswers(20)
	l.stopAndCheck()
	l.checkAllBilled(5 * time.Second)
}

// Guards against a graceful shutdown that loses bills, interrupts requests or never ends while the store is unavailable.
func TestDrainWithoutStore(t *testing.T) {
	c := newCluster(t)
	c.startEngine("zone-0", 40, 20)
	c.startEngine("zone-1", 40, 20)
	c.startInstances(3, nil)
	l := c.load(6, c.readyFirst())
	l.waitForAnswers(20)
	c.setFaults(api.PlatformFaults{Outage: true})
	l.waitForAnswers(20)
	c.drain(c.instances[0])
	l.waitForAnswers(20)
	l.stopAndCheck()
	c.setFaults(api.PlatformFaults{})
	// The peers that hold bill copies of the stopped instance write them to the store 10 s after its last message.
	l.checkAllBilled(25 * time.Second)
}

// Guards against a failed request while all instances are replaced one after the other.
func TestRollingReplacement(t *testing.T) {
	c := newCluster(t)
	c.startEngine("zone-0", 40, 20)
	c.startEngine("zone-1", 40, 20)
	c.startInstances(3, nil)
	l := c.load(6, c.readyFirst())
	for _, i := range c.instances {
		l.waitForAnswers(10)
		c.drain(i)
		c.restartInstance(i)
	}
	l.waitForAnswers(20)
	l.stopAndCheck()
	l.checkAllBilled(5 * time.Second)
}
