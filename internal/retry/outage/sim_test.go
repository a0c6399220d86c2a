package outage

import (
	"os"
	"testing"
	"time"
)

// Guards against retries that add more than a tenth to the load or keep a pool overloaded after an outage has ended. The run
// without a budget checks that the model can become overloaded. Run with -v for the figures in docs/measurements/limits.md.
func TestOutageOfHalfAPool(t *testing.T) {
	base := Config{
		Servers: 10, Slots: 4, ServiceTime: 100 * time.Millisecond, Load: 0.7,
		AttemptTimeout: time.Second, Deadline: 5 * time.Second,
		OutageStart: 10 * time.Second, OutageEnd: 70 * time.Second, Length: 150 * time.Second,
	}
	// One seed takes half a minute with the race detector and the lock-order check enabled.
	seeds := uint64(1)
	if os.Getenv("CICADAWALL_MEASURE") != "" {
		seeds = 5
	}
	for seed := range seeds {
		for _, budget := range []bool{true, false} {
			c := base
			c.Seed, c.UseBudget = seed, budget
			got := Run(c)
			t.Logf("| %d | %t | %.3f | %.3f | %.1f%% | %.1f%% | %s |", seed, budget, got.Amplification, got.HighestAmplification,
				100*got.AnsweredDuringOutage, 100*got.AnsweredAfterOutage, got.RecoveryTime)
			if budget && (got.HighestAmplification > 1.1 || got.AnsweredAfterOutage < recoveredFraction || got.RecoveryTime < 0 || got.RecoveryTime > time.Minute) {
				t.Errorf("with the budget, seed %d: %+v; want at most 1.1 times the requests and recovery within a minute", seed, got)
			}
			if !budget && got.HighestAmplification < 1.5 {
				t.Errorf("without the budget, seed %d: %+v; the model does not amplify the load", seed, got)
			}
		}
	}
}

// Guards against ejections that leave failing backend servers in use. The healthy half of the pool can carry a load of 40%.
func TestOutageWithinCapacity(t *testing.T) {
	got := Run(Config{
		Servers: 10, Slots: 4, ServiceTime: 100 * time.Millisecond, Load: 0.4, UseBudget: true,
		AttemptTimeout: time.Second, Deadline: 5 * time.Second,
		OutageStart: 30 * time.Second, OutageEnd: 90 * time.Second, Length: 160 * time.Second, Seed: 1,
	})
	t.Logf("%+v", got)
	if got.AnsweredDuringOutage < 0.95 || got.HighestAmplification > 1.1 || got.RecoveryTime < 0 || got.RecoveryTime > time.Minute {
		t.Errorf("%+v, want at least 95%% of the requests answered during the outage", got)
	}
}
