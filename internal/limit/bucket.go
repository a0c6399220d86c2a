package limit

import "time"

const (
	// burstWindow is the time for which an idle instance saves up, at its own rate or an equal part of the limit, whichever
	// is more. All instances together save up at most two seconds of the limit, or minBurst each.
	burstWindow = time.Second
	// minBurst is the smallest capacity in requests. With less, an instance whose share is below one request per second
	// loses most of its share while it waits for a request.
	minBurst = 2.0
)

// bucket is a token bucket whose level may become negative, because a request's real number of tokens is known only after
// its answer. A request is admitted when the level covers it or the bucket is full; golang.org/x/time/rate refuses events
// larger than its burst and takes nothing back, so it does not fit.
type bucket struct {
	rate  float64 // per second
	burst float64
	level float64
	last  time.Time
}

// set changes the rate. What was earned until now is kept within the new capacity.
func (b *bucket) set(rate, smallest float64, now time.Time) {
	b.fill(now)
	b.rate = rate
	b.burst = max(rate*burstWindow.Seconds(), smallest)
	b.level = min(b.level, b.burst)
}

func (b *bucket) fill(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.level = min(b.burst, b.level+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
}

// has reports whether the amount can be taken now.
func (b *bucket) has(amount float64, now time.Time) bool {
	b.fill(now)
	return b.level >= min(amount, b.burst) && b.burst > 0
}

// take removes the amount; a negative amount gives back.
func (b *bucket) take(amount float64) { b.level = min(b.burst, b.level-amount) }

// wait returns the time until the amount can be taken at the present rate, or the longest advice.
func (b *bucket) wait(amount float64) time.Duration {
	missing := min(amount, b.burst) - b.level
	if b.rate <= 0 {
		return longestRetry
	}
	return time.Duration(min(missing/b.rate, longestRetry.Seconds()) * float64(time.Second))
}

// meter measures a rate between reports and smooths it.
type meter struct {
	sum  float64
	rate float64
	last time.Time
}

// meterWeight is the weight of the latest interval. Single intervals hold few requests at large fleets; with a half, the
// shares follow a change of demand within about two reports.
const meterWeight = 0.5

func (m *meter) add(amount float64) { m.sum += amount }

// minInterval is the shortest interval that is measured. A report that is sent again to another allocator would else be
// taken for an interval without demand.
const minInterval = 100 * time.Millisecond

// read returns the smoothed rate per second and starts a new interval.
func (m *meter) read(now time.Time) float64 {
	elapsed := now.Sub(m.last)
	if elapsed < minInterval {
		return m.rate
	}
	m.rate += meterWeight * (m.sum/elapsed.Seconds() - m.rate)
	m.sum, m.last = 0, now
	return m.rate
}
