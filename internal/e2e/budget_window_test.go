package e2e

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/standin/modelserver"
)

// Bounds of the retry budget in the settings of the instances.
const (
	retryBudgetRatio  = 0.9
	retryBudgetSlack  = 50
	retryBudgetWindow = 10 * time.Second
)

// budgetWindow is a window in which the repeats at the servers of a service are compared with the requests for it.
type budgetWindow struct {
	start             time.Time
	repeats, requests int
}

// allowed is RetryBudgetRatio times the requests plus RetryBudgetSlack.
func (w budgetWindow) allowed() float64 {
	return retryBudgetRatio*float64(w.requests) + retryBudgetSlack
}

func (w budgetWindow) excess() float64 { return float64(w.repeats) - w.allowed() }

func (w budgetWindow) String() string {
	return fmt.Sprintf("%d repeats, %.0f allowed for %d requests, from %s", w.repeats, w.allowed(), w.requests, w.start.Format("15:04:05.000"))
}

// repeatsAt returns the times of the arrivals at the servers of a service beyond the first arrival of each request.
func repeatsAt(servers []*fleetServer, service string) []time.Time {
	var arrivals []modelserver.Arrival
	for _, server := range servers {
		if server.service == service {
			arrivals = append(arrivals, server.Arrivals()...)
		}
	}
	slices.SortFunc(arrivals, func(a, b modelserver.Arrival) int { return a.At.Compare(b.At) })
	var repeats []time.Time
	seen := map[string]bool{}
	for _, arrival := range arrivals {
		if seen[arrival.ID] {
			repeats = append(repeats, arrival.At)
		}
		seen[arrival.ID] = true
	}
	return repeats
}

// worstBudgetWindow returns the window that exceeds the retry budget by most or comes closest to it. The requests are counted in the window,
// in the one before it or in the one half a window before it, whichever has most.
func worstBudgetWindow(repeats, sent []time.Time) budgetWindow {
	slices.SortFunc(sent, time.Time.Compare)
	worst := budgetWindow{requests: len(sent)}
	consider := func(start time.Time) {
		w := budgetWindow{start: start, repeats: countIn(repeats, start)}
		for _, shift := range []time.Duration{0, retryBudgetWindow / 2, retryBudgetWindow} {
			w.requests = max(w.requests, countIn(sent, start.Add(-shift)))
		}
		if w.excess() > worst.excess() {
			worst = w
		}
	}
	for _, at := range repeats {
		consider(at)
		consider(at.Add(time.Nanosecond - retryBudgetWindow))
	}
	for _, at := range sent {
		consider(at.Add(time.Nanosecond))
	}
	return worst
}

// countIn returns the number of sorted times in the window that begins at start.
func countIn(times []time.Time, start time.Time) int {
	end := start.Add(retryBudgetWindow)
	from := sort.Search(len(times), func(i int) bool { return !times[i].Before(start) })
	to := sort.Search(len(times), func(i int) bool { return !times[i].Before(end) })
	return to - from
}
