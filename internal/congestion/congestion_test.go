package congestion

import (
	"math/rand/v2"
	"testing"
	"time"
)

var testNow = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// congested returns a table whose last answers took the given part of the target.
func congested(level float64) *Table {
	table := NewTable()
	for range sampleCount {
		table.Observe("ledger", level, testNow)
	}
	return table
}

// admittedOf returns the fraction of 2,000 equal requests that is admitted.
func admittedOf(table *Table, request Request, now time.Time) float64 {
	rng, admitted := rand.New(rand.NewPCG(1, 1)), 0
	for range 2000 {
		if table.Decide(request, rng, now).Admitted {
			admitted++
		}
	}
	return float64(admitted) / 2000
}

// Guards against less urgent requests that are served at the cost of more urgent ones, callers who return before new ones, and refusals by old or
// few answers or because of one slow answer.
func TestWhoIsAdmitted(t *testing.T) {
	request := Request{Service: "ledger", Route: "post", TimeLeft: 3 * time.Second}
	lessUrgent := request
	lessUrgent.PriorityGap = 2
	returned := request
	returned.TimeLeft = 2 * time.Second
	table := congested(0.6)
	if all, less, back := admittedOf(table, request, testNow), admittedOf(table, lessUrgent, testNow), admittedOf(table, returned, testNow); all < 0.6 || all > 0.8 || less >= all || back >= all || back < 0.3 {
		t.Errorf("admitted of new requests %.2f, of less urgent ones %.2f, of returned ones %.2f", all, less, back)
	}
	if got := admittedOf(congested(5), request, testNow); got < 0.05 || got > 0.2 {
		t.Errorf("admitted under the highest congestion: %.2f", got)
	}
	oneFast := congested(2)
	oneFast.Observe("ledger", 0.2, testNow)
	for name, got := range map[string]float64{
		"old answers":   admittedOf(congested(2), lessUrgent, testNow.Add(sampleAge+time.Second)),
		"a fast answer": admittedOf(oneFast, lessUrgent, testNow),
		"no answers":    admittedOf(NewTable(), lessUrgent, testNow),
		"other service": admittedOf(congested(2), Request{Service: "other"}, testNow),
	} {
		if got != 1 {
			t.Errorf("%s: %.2f admitted", name, got)
		}
	}
}

// Guards against refused callers who return together, or later than they wait.
func TestRefusedCallersReturnSpreadInTime(t *testing.T) {
	table, rng := congested(5), rand.New(rand.NewPCG(1, 1))
	request := Request{Service: "ledger", Route: "post", TimeLeft: 3 * time.Second}
	shortest, longest := time.Hour, time.Duration(0)
	for range 500 {
		if d := table.Decide(request, rng, testNow); !d.Admitted {
			shortest, longest = min(shortest, d.RetryAfter), max(longest, d.RetryAfter)
		}
	}
	if shortest < 300*time.Millisecond || longest > request.TimeLeft/3 || longest < 2*shortest {
		t.Errorf("callers return after %s to %s", shortest, longest)
	}
}
