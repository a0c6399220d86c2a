package outage

import (
	"os"
	"testing"
	"time"
)

// Guards against retries that add more than a tenth of load or keep a pool overloaded after an outage has ended. The run
// without a budget shows that the model can be kept overloaded. Run with -v for the figures of docs/measurements/limits.md.
func TestOutageOfHalfAPool(t *testing.T) {
	base := Config{
		Servers: 10, Slots: 4, Service: 100 * time.Millisecond, Load: 0.7,
		AttemptTimeout: time.Second, Deadline: 5 * time.Second,
		From: 10 * time.Second, To: 70 * time.Second, Length: 150 * time.Second,
	}
	// One seed takes half a minute with the race detector and the lock-order check.
	seeds := uint64(1)
	if os.Getenv("CICADAWALL_MEASURE") != "" {
		seeds = 5
	}
	for seed := range seeds {
		for _, budget := range []bool{true, false} {
			c := base
			c.Seed, c.Budget = seed, budget
			got := Run(c)
			t.Logf("| %d | %t | %.3f | %.3f | %.1f%% | %.1f%% | %s |", seed, budget, got.Amplification, got.Highest,
				100*got.During, 100*got.After, got.Recovery)
			if budget && (got.Highest > 1.1 || got.After < normal || got.Recovery < 0 || got.Recovery > time.Minute) {
				t.Errorf("with budget, seed %d: %+v", seed, got)
			}
			if !budget && got.Highest < 1.5 {
				t.Errorf("without budget, seed %d: %+v; the model does not amplify", seed, got)
			}
		}
	}
}

// Guards against an ejection that leaves failing servers in use: the healthy half can carry 40% load alone.
func TestOutageWithinCapacity(t *testing.T) {
	got := Run(Config{
		Servers: 10, Slots: 4, Service: 100 * time.Millisecond, Load: 0.4, Budget: true,
		AttemptTimeout: time.Second, Deadline: 5 * time.Second,
		From: 30 * time.Second, To: 90 * time.Second, Length: 160 * time.Second, Seed: 1,
	})
	t.Logf("%+v", got)
	if got.During < 0.95 || got.Highest > 1.1 || got.Recovery < 0 || got.Recovery > time.Minute {
		t.Errorf("%+v, want at least 95%% answered in the outage", got)
	}
}
