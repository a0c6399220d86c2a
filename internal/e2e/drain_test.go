package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// drainLimit bounds the planned stop of one instance: the wait for the balancer of 0.5 s, the running requests of under a
// second, and the bills.
const drainLimit = 20 * time.Second

func (w *world) drain(i *instance) {
	w.t.Helper()
	began := time.Now()
	i.signal(syscall.SIGTERM)
	if status := i.exit(drainLimit); status != 0 {
		w.t.Errorf("%s ended with status %d", i.name, status)
	}
	w.t.Logf("%s stopped within %s", i.name, time.Since(began).Round(time.Millisecond))
}

// Guards against a planned stop that cuts a request, loses a bill or ends with a failure while the store works.
func TestDrainUnderLoad(t *testing.T) {
	w := newWorld(t)
	w.engine("zone-0", 40, 20)
	w.engine("zone-1", 40, 20)
	w.start(2, nil)
	l := w.load(6, w.balanced())
	l.more(20)
	w.drain(w.instances[0])
	l.more(20)
	l.end()
	l.allBilled(5 * time.Second)
}

// Guards against a planned stop that loses bills, cuts requests or never ends while the store is down.
func TestDrainWithoutStore(t *testing.T) {
	w := newWorld(t)
	w.engine("zone-0", 40, 20)
	w.engine("zone-1", 40, 20)
	w.start(3, nil)
	l := w.load(6, w.balanced())
	l.more(20)
	w.faults(api.PlatformFaults{Outage: true})
	l.more(20)
	w.drain(w.instances[0])
	l.more(20)
	l.end()
	w.faults(api.PlatformFaults{})
	// The holders write the copies of the stopped instance 10 s after its last message.
	l.allBilled(25 * time.Second)
}

// Guards against a failed request while all instances are replaced one after the other.
func TestRollingReplacement(t *testing.T) {
	w := newWorld(t)
	w.engine("zone-0", 40, 20)
	w.engine("zone-1", 40, 20)
	w.start(3, nil)
	l := w.load(6, w.balanced())
	for _, i := range w.instances {
		l.more(10)
		w.drain(i)
		w.replace(i)
	}
	l.more(20)
	l.end()
	l.allBilled(5 * time.Second)
}
