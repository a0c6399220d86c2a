package configsync

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Numbers of instances in the measurement; docs/measurements/configuration.md contains the command.
var (
	measuredInstances     = flag.Int("measure-instances", 7, "number of instances of TestMeasureChange")
	measuredDeadInstances = flag.Int("measure-dead", 0, "number of them that die just before the change")
)

const (
	// maxTimeToInForce is the time within which a change must be in force at all instances.
	maxTimeToInForce = 18 * time.Second
	// maxCallsPerSecond is the number of peer calls that an instance may start in a second.
	maxCallsPerSecond = 2.0
	// warmUp is the time before each measurement, and steadyPeriod the duration of the measurement without changes.
	warmUp       = 30 * time.Second
	steadyPeriod = 20 * time.Second
)

// Guards against a change that takes longer than the target to be in force at all instances, and against more than two peer
// calls a second per instance. It prints the figures of docs/measurements/configuration.md; times are virtual.
func TestMeasureChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, *measuredInstances)
		defer c.stop()
		c.sleep(warmUp)
		if got := c.nodes[0].apply(0, "first", document(1)); got.State != api.ApplyAccepted {
			t.Fatalf("first change: %+v", got)
		}
		c.sleep(warmUp)
		n := float64(len(c.nodes))
		calls, bytes, reads := c.measureSteady()
		rate := calls / n / steadyPeriod.Seconds()
		t.Logf("instances %d: digest %.0f bytes, calls %.2f/s and %.1f KB/s received per instance, store reads %.0f/s in all",
			len(c.nodes), bytes/calls, rate, bytes/n/steadyPeriod.Seconds()/1000, reads/steadyPeriod.Seconds())
		if rate > maxCallsPerSecond {
			t.Errorf("%.2f calls a second per instance", rate)
		}
		for _, n := range c.nodes[len(c.nodes)-*measuredDeadInstances:] {
			n.kill()
		}
		inForce, accepted := c.measureChange(t)
		t.Logf("instances %d, %d dead: in force at all others after %v, accepted after %v, largest digest %d bytes, %.1f KB received per instance until then",
			len(c.nodes), *measuredDeadInstances, inForce, accepted, c.largestDigest.Load(), float64(c.receivedBytes.Load())/n/1000)
		if inForce > maxTimeToInForce {
			t.Errorf("in force after %v", inForce)
		}
	})
}

// measureSteady counts the peer calls, the received bytes and the store reads of all instances during steadyPeriod.
func (c *cluster) measureSteady() (calls, bytes, reads float64) {
	_, before := c.table.Counts()
	c.peerCalls.Store(0)
	c.receivedBytes.Store(0)
	c.sleep(steadyPeriod)
	_, after := c.table.Counts()
	return float64(c.peerCalls.Load()), float64(c.receivedBytes.Load()), float64(after - before)
}

// measureChange applies a change and returns the times until it was in force at all live instances and until it was accepted.
func (c *cluster) measureChange(t *testing.T) (inForce, accepted time.Duration) {
	c.largestDigest.Store(0)
	c.receivedBytes.Store(0)
	start := time.Now()
	done := make(chan api.ApplyResponse, 1)
	go func() { done <- c.nodes[0].apply(1, "second", document(2)) }()
	for inForce == 0 && time.Since(start) < time.Minute {
		c.sleep(50 * time.Millisecond)
		if c.inForceEverywhere(2) {
			inForce = time.Since(start)
		}
	}
	response := <-done
	if response.State != api.ApplyAccepted {
		t.Errorf("second change: %+v", response)
	}
	return inForce, time.Duration(response.ElapsedMillis) * time.Millisecond
}

func (c *cluster) inForceEverywhere(revision int64) bool {
	for _, n := range c.nodes {
		if !n.dead.Load() && n.config.Revision() < revision {
			return false
		}
	}
	return true
}
