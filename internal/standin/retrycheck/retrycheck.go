// Package retrycheck compares the repeats at backend servers with the retry budget of the users' platform, as the users count both. It is
// meant for tests.
package retrycheck

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// Budget bounds the repeats that a fleet may send to the servers of a service.
type Budget struct {
	// Ratio is the number of repeats allowed for each request, Slack the number allowed in addition in each window.
	Ratio, Slack float64
	// Window is the length of the window, which may begin at any time.
	Window time.Duration
}

// Arrival is a request that reached a server of the service.
type Arrival struct {
	ID string
	At time.Time
}

// Span is a window in which repeats are compared with requests.
type Span struct {
	Start             time.Time
	Repeats, Requests int
	// Excess is the number of repeats beyond what the budget allows; negative if it allows more.
	Excess float64
}

// String implements fmt.Stringer.
func (s Span) String() string {
	return fmt.Sprintf("%d repeats, %.0f allowed for %d requests, from %s", s.Repeats, float64(s.Repeats)-s.Excess, s.Requests,
		s.Start.Format("15:04:05.000"))
}

// Repeats returns the times of the arrivals beyond the first one of each request.
func Repeats(arrivals []Arrival) []time.Time {
	arrivals = slices.Clone(arrivals)
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
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

// Worst returns the window with repeats that exceeds the budget by most or comes closest to it. The requests, which are given by the times at which callers
// sent them, are counted in the window, in the one before it or in the one half a window before it, whichever has most.
func (b Budget) Worst(repeats, sent []time.Time) Span {
	repeats, sent = slices.Clone(repeats), slices.Clone(sent)
	slices.SortFunc(repeats, time.Time.Compare)
	slices.SortFunc(sent, time.Time.Compare)
	worst := Span{Excess: math.Inf(-1)}
	consider := func(start time.Time) {
		if span := b.span(start, repeats, sent); span.Repeats > 0 && span.Excess > worst.Excess {
			worst = span
		}
	}
	// The excess changes only where a repeat enters or leaves the window, or a request leaves one of its three windows.
	for _, at := range repeats {
		consider(at)
		consider(at.Add(time.Nanosecond - b.Window))
	}
	for _, at := range sent {
		consider(at.Add(time.Nanosecond))
	}
	return worst
}

func (b Budget) span(start time.Time, repeats, sent []time.Time) Span {
	span := Span{Start: start, Repeats: b.count(repeats, start)}
	for _, earlier := range []time.Duration{0, b.Window / 2, b.Window} {
		span.Requests = max(span.Requests, b.count(sent, start.Add(-earlier)))
	}
	span.Excess = float64(span.Repeats) - b.Ratio*float64(span.Requests) - b.Slack
	return span
}

// count returns the number of sorted times in the window that begins at start.
func (b Budget) count(times []time.Time, start time.Time) int {
	end := start.Add(b.Window)
	from := sort.Search(len(times), func(i int) bool { return !times[i].Before(start) })
	to := sort.Search(len(times), func(i int) bool { return !times[i].Before(end) })
	return to - from
}
