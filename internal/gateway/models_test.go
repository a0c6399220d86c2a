package gateway

import (
	"testing"
	"time"
)

// Guards against answers that are dropped for the largest model while its servers are overloaded, so that callers get the better
// answer too late or not at all, and against uncertain answers that are accepted while it has room.
func TestAcceptedConfidenceFallsUnderLoad(t *testing.T) {
	for _, c := range []struct {
		name               string
		expected, timeLeft time.Duration
		want               int
	}{
		{"no delay is known", 0, time.Second, minAcceptedConfidence},
		{"the largest model is in time", 600 * time.Millisecond, time.Second, minAcceptedConfidence},
		{"it is as likely late as not", 1050 * time.Millisecond, time.Second, (minAcceptedConfidence + minLateConfidence) / 2},
		{"it is late", 2 * time.Second, time.Second, minLateConfidence},
		{"the target has passed", time.Millisecond, 0, minLateConfidence},
	} {
		if got := acceptedConfidence(c.expected, c.timeLeft); got != c.want {
			t.Errorf("%s: confidence %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against a division of the servers that leaves a model overloaded while the servers of another one are idle.
func TestOverloadedModelGetsMoreServers(t *testing.T) {
	service := &Service{Name: "desk", ModelCosts: map[string]float64{"small": 0.02, "large": 0.28}}
	now := time.Now()
	fraction := func(largeDelay time.Duration) float64 {
		table := newModelTable()
		for _, model := range []string{"small", "large"} {
			table.addWork(service, model, 1000, now)
			table.observeFirstEvent(service, model, 200*time.Millisecond, now)
		}
		for range 100 {
			table.observeFirstEvent(service, "large", largeDelay, now)
		}
		from, to := table.serverRange(service, "large", now)
		return to - from
	}
	idle, busy := fraction(200*time.Millisecond), fraction(2*time.Second)
	if idle < 0.5 || busy < idle+0.05 {
		t.Errorf("share of the large model's servers %.2f, and %.2f while its first events are late", idle, busy)
	}
}
