package configsync

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Numbers of instances to measure; docs/measurements/configuration.md names the command.
var (
	measured     = flag.Int("measure-instances", 7, "number of instances of TestMeasureChange")
	measuredDead = flag.Int("measure-dead", 0, "number of them that die just before the change")
)

const (
	// inForceTarget is the time within which a change must be in force everywhere.
	inForceTarget = 18 * time.Second
	// messageTarget is the number of peer calls that an instance may start in a second.
	messageTarget = 2.0
	// settle and steady are the times before the measurement and of the measurement without changes.
	settle = 30 * time.Second
	steady = 20 * time.Second
)

// Guards against a change that takes longer than the target to be in force everywhere, and against more than two pulls a
// second per instance. It prints the figures of docs/measurements/configuration.md; times are virtual.
func TestMeasureChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, *measured)
		defer c.stop()
		c.wait(settle)
		if got := c.nodes[0].apply(0, "first", document(1)); got.State != api.ApplyAccepted {
			t.Fatalf("first change: %+v", got)
		}
		c.wait(settle)
		n := float64(len(c.nodes))
		calls, bytes, reads := c.measureSteady()
		rate := calls / n / steady.Seconds()
		t.Logf("instances %d: digest %.0f bytes, calls %.2f/s and %.1f KB/s received per instance, store reads %.0f/s in all",
			len(c.nodes), bytes/calls, rate, bytes/n/steady.Seconds()/1000, reads/steady.Seconds())
		if rate > messageTarget {
			t.Errorf("%.2f calls a second per instance", rate)
		}
		for _, n := range c.nodes[len(c.nodes)-*measuredDead:] {
			n.kill()
		}
		inForce, accepted := c.measureChange(t)
		t.Logf("instances %d, %d dead: in force at all others after %v, accepted after %v, largest digest %d bytes, %.1f KB received per instance until then",
			len(c.nodes), *measuredDead, inForce, accepted, c.largest.Load(), float64(c.bytes.Load())/n/1000)
		if inForce > inForceTarget {
			t.Errorf("in force after %v", inForce)
		}
	})
}

func (c *cluster) measureSteady() (calls, bytes, reads float64) {
	_, before := c.table.Counts()
	c.calls.Store(0)
	c.bytes.Store(0)
	c.wait(steady)
	_, after := c.table.Counts()
	return float64(c.calls.Load()), float64(c.bytes.Load()), float64(after - before)
}

// measureChange applies a change and returns when the last instance had it in force and when it was accepted.
func (c *cluster) measureChange(t *testing.T) (inForce, accepted time.Duration) {
	c.largest.Store(0)
	c.bytes.Store(0)
	start := time.Now()
	done := make(chan api.ApplyResponse, 1)
	go func() { done <- c.nodes[0].apply(1, "second", document(2)) }()
	for inForce == 0 && time.Since(start) < time.Minute {
		c.wait(50 * time.Millisecond)
		if c.everywhere(2) {
			inForce = time.Since(start)
		}
	}
	response := <-done
	if response.State != api.ApplyAccepted {
		t.Errorf("second change: %+v", response)
	}
	return inForce, time.Duration(response.ElapsedMillis) * time.Millisecond
}

func (c *cluster) everywhere(revision int64) bool {
	for _, n := range c.nodes {
		if !n.dead.Load() && n.config.Revision() < revision {
			return false
		}
	}
	return true
}
