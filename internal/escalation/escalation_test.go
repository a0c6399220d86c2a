package escalation

import (
	"testing"
	"time"
)

// Guards against answers that are dropped for a larger model whose answer would be late, and against answers that are accepted although the
// larger model would be in time.
func TestThresholdFollowsTheAverageDelay(t *testing.T) {
	for _, c := range []struct {
		name               string
		expected, timeLeft time.Duration
		want               int
	}{
		{"no delay is known", 0, time.Second, MinConfidence},
		{"the largest model is in time", 600 * time.Millisecond, time.Second, MinConfidence},
		{"it is as likely late as not", 1050 * time.Millisecond, time.Second, (MinConfidence + minLateConfidence) / 2},
		{"it is late", 2 * time.Second, time.Second, minLateConfidence},
		{"the target has passed", time.Millisecond, 0, minLateConfidence},
	} {
		if got := Threshold(State{ExpectedDelay: c.expected, TimeLeft: c.timeLeft}); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against less urgent classes that take the largest model from more urgent ones when it is short.
func TestThresholdFollowsTheLoadOfTheFleet(t *testing.T) {
	threshold := func(delay time.Duration, priority int) int {
		return Threshold(State{ExpectedDelay: delay, TimeLeft: time.Second, FleetLoad: true, Priority: priority})
	}
	if got := threshold(100*time.Millisecond, 0); got != MinConfidence {
		t.Errorf("threshold with idle servers: %d", got)
	}
	if got := threshold(3*time.Second, 0); got != minLateConfidence {
		t.Errorf("threshold with late servers: %d", got)
	}
	for delay := time.Duration(0); delay < 2*time.Second; delay += 50 * time.Millisecond {
		for priority := range 3 {
			if threshold(delay, priority) < threshold(delay, priority+1) || threshold(delay, priority) < threshold(delay+50*time.Millisecond, priority) {
				t.Errorf("at a delay of %s and priority %d a less urgent request or a longer delay has a higher threshold", delay, priority)
			}
		}
	}
}
