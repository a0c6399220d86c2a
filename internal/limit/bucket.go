package limit

import "time"

const (
	// burstWindow is the time for which the bucket of an idle instance fills, at the instance's own rate or at limit/n,
	// whichever is higher. The buckets of all instances together hold at most two seconds of the limit, or minBurstRequests
	// each.
	burstWindow = time.Second
	// minBurstRequests is the smallest capacity of a request bucket. With a smaller one, an instance whose share is below
	// one request per second loses most of its share while it waits for a request.
	minBurstRequests = 2.0
)

// bucket is a token bucket whose level may become negative, because a request's actual number of tokens is known only after
// its answer. A request is admitted when the level covers it or the bucket is full. golang.org/x/time/rate cannot be used:
// it refuses events larger than its burst and does not accept returned tokens.
type bucket struct {
	rate       float64 // per second
	burst      float64
	level      float64
	refilledAt time.Time
}

// setRate changes the rate and the capacity. The current level is kept, up to the new capacity.
func (b *bucket) setRate(rate, minBurst float64, now time.Time) {
	b.refill(now)
	b.rate = rate
	b.burst = max(rate*burstWindow.Seconds(), minBurst)
	b.level = min(b.level, b.burst)
}

func (b *bucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.level = min(b.burst, b.level+b.rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}

// canConsume reports whether the amount can be consumed now.
func (b *bucket) canConsume(amount float64, now time.Time) bool {
	b.refill(now)
	return b.level >= min(amount, b.burst) && b.burst > 0
}

// consume removes the amount; a negative amount is returned to the bucket.
func (b *bucket) consume(amount float64) { b.level = min(b.burst, b.level-amount) }

// waitTime returns the time until the amount can be consumed at the current rate, at most maxRetryAfter.
func (b *bucket) waitTime(amount float64) time.Duration {
	deficit := min(amount, b.burst) - b.level
	if b.rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(min(deficit/b.rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// meter measures the rate between two reports and smooths it exponentially.
type meter struct {
	intervalTotal float64
	rate          float64
	intervalStart time.Time
}

// meterSmoothingWeight is the weight of the latest interval. A single interval contains few requests in large fleets; with a
// weight of a half, the shares follow a change of demand within about two reports.
const meterSmoothingWeight = 0.5

func (m *meter) add(amount float64) { m.intervalTotal += amount }

// minMeterInterval is the shortest interval that is measured. Without it, a report that is sent again to another allocator
// would count as an interval without demand.
const minMeterInterval = 100 * time.Millisecond

// readRate returns the smoothed rate per second and starts a new interval, unless the current interval is too short.
func (m *meter) readRate(now time.Time) float64 {
	elapsed := now.Sub(m.intervalStart)
	if elapsed < minMeterInterval {
		return m.rate
	}
	m.rate += meterSmoothingWeight * (m.intervalTotal/elapsed.Seconds() - m.rate)
	m.intervalTotal, m.intervalStart = 0, now
	return m.rate
}
