package retrycheck

import (
	"testing"
	"time"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func timesAt(seconds ...float64) []time.Time {
	times := make([]time.Time, 0, len(seconds))
	for _, s := range seconds {
		times = append(times, origin.Add(time.Duration(s*float64(time.Second))))
	}
	return times
}

// Guards against a check that misses a window between two slots, or counts requests in another window than the users do.
func TestWorstWindow(t *testing.T) {
	budget := Budget{Ratio: 0.5, Slack: 1, Window: 10 * time.Second}
	for name, c := range map[string]struct {
		repeats, sent []time.Time
		excess        float64
	}{
		"two bursts just within a window":        {timesAt(0.1, 0.1, 10.05, 10.05), timesAt(0, 0), 2},
		"two bursts just outside a window":       {timesAt(0.1, 0.1, 10.1, 10.1), timesAt(0.1, 0.1), 0},
		"requests of the window before":          {timesAt(10, 10, 10), timesAt(0, 1, 2, 3), 0},
		"requests of half a window before":       {timesAt(10, 10, 14), timesAt(8, 9, 11, 12), 0},
		"requests of two windows before":         {timesAt(21, 21, 21), timesAt(0, 1, 2, 3), 2},
		"repeats without requests in any window": {timesAt(3, 4), nil, 1},
	} {
		if got := budget.Worst(c.repeats, c.sent); got.Excess != c.excess {
			t.Errorf("%s: excess %g, want %g: %s", name, got.Excess, c.excess, got)
		}
	}
}

// Guards against a check that takes the first arrival of a request, or the order in which the servers are asked, for a repeat.
func TestRepeatsAreArrivalsBeyondTheFirst(t *testing.T) {
	at := timesAt(3, 1, 2, 5)
	repeats := Repeats([]Arrival{{ID: "a", At: at[0]}, {ID: "a", At: at[1]}, {ID: "b", At: at[2]}, {ID: "a", At: at[3]}})
	if len(repeats) != 2 || !repeats[0].Equal(at[0]) || !repeats[1].Equal(at[3]) {
		t.Errorf("repeats at %v", repeats)
	}
}
