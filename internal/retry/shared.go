package retry

import (
	"log/slog"
	"math"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// slackDelayWindows is the number of windows after its start for which an instance uses no slack. In the first one its earlier process may have
// spent its part. In the second one peers that did not know of it yet may have spent larger parts. When the whole fleet starts for the
// first time there was no earlier process, and firstSlackDelayWindows is the time in which the instances learn of each other.
const (
	slackDelayWindows      = 2
	firstSlackDelayWindows = 1
)

// SharedBudgetOptions configures a budget that all instances share.
type SharedBudgetOptions struct {
	// Ratio is the number of extra arrivals allowed for each request.
	Ratio float64
	// Slack is the number of extra arrivals per window that all instances together are allowed in addition to Ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Instances returns the number of instances that share the slack; 0 means that it is unknown, and no slack is used.
	Instances func() int
	// Started is the start of the process, and FirstStart says that the whole fleet starts then for the first time.
	Started    time.Time
	FirstStart bool
	// Log receives a line when the budget of a service is used up and when it is available again.
	Log *slog.Logger
}

// Usage is what the budget of a service rests on at a moment.
type Usage struct {
	// Requests are the requests of the last window.
	Requests int
	// Repeats are those of the span of up to a window that is closest to its bound, Allowed is that bound.
	Repeats int
	Allowed float64
	// Instances is the number of instances that share the slack.
	Instances int
	// Refusals is the number of repeats that were refused since the budget was last available.
	Refusals int
}

// SharedBudget bounds the extra arrivals at each service. Each instance is limited by its own requests and its part of the
// slack, so the bound holds for the sum over all instances without communication between them. It also holds for the sum over the
// processes of an instance, because a process that has just started uses no slack. It is safe for concurrent use.
type SharedBudget struct {
	options SharedBudgetOptions

	mu *lockorder.Mutex
	// origin is the time from which slots are numbered. Differences to it use the monotonic clock, so they are not affected
	// when the wall clock is set.
	origin time.Time
	rows   map[string]*sharedRow
}

// NewSharedBudget returns the budget of one instance, without any requests counted.
func NewSharedBudget(options SharedBudgetOptions) *SharedBudget {
	return &SharedBudget{options: options, mu: lockorder.New(lockorder.RankRetryBudgets), rows: map[string]*sharedRow{}}
}

// SetRatioAndSlack replaces the ratio and the slack. The length of the window does not change, because the counts are stored
// in slots of that length.
func (b *SharedBudget) SetRatioAndSlack(options SharedBudgetOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options.Ratio, b.options.Slack = options.Ratio, options.Slack
}

// CountRequest counts a request for the service that arrived at the time. One that arrived more than a window ago, because its body took
// that long, is not counted.
func (b *SharedBudget) CountRequest(service string, arrived time.Time) {
	ended := b.countRequest(service, arrived)
	if ended.refusals > 0 {
		b.options.Log.Info("retry budget is available again", "service", service, "refusals", ended.refusals,
			"used_up_ms", ended.last.Sub(ended.since).Milliseconds())
	}
}

func (b *SharedBudget) countRequest(service string, arrived time.Time) (ended shortfall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.row(service)
	if slot := row.slot(b.slotNumber(arrived)); slot != nil {
		slot.requests++
	}
	return row.shortfall.endIfOver(arrived)
}

// Spend grants one repeat of a request for the service. It returns false if the budget is used up. The fraction, from 0 to 1, is the part of the
// budget up to which this kind of attempt may spend, so that optional attempts leave budget for necessary ones. A granted repeat counts until
// it is released, or until a window after the time given to Arrived.
func (b *SharedBudget) Spend(service string, fraction float64, now time.Time) bool {
	granted, first, usage := b.spend(service, fraction, now)
	if first {
		b.options.Log.Warn("retry budget is used up", "service", service, "requests", usage.Requests, "repeats", usage.Repeats,
			"allowed", usage.Allowed, "instances", usage.Instances)
	}
	return granted
}

// spend implements Spend. It also reports whether this is the first refusal since the budget was available.
func (b *SharedBudget) spend(service string, fraction float64, now time.Time) (granted, first bool, usage Usage) {
	instances := b.options.Instances()
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.row(service)
	usage = b.usage(service, instances, fraction, now)
	if b.slotNumber(now) < 0 || float64(usage.Repeats+1) > usage.Allowed {
		return false, row.shortfall.record(now), usage
	}
	row.pending++
	return true, false, usage
}

// Arrived records that a granted repeat has reached its server by now. An abandoned one, or one of a request of which an earlier attempt was
// abandoned, may still reach it later and counts longer.
func (b *SharedBudget) Arrived(service string, abandoned bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.row(service)
	row.pending--
	number := b.slotNumber(now)
	if abandoned {
		number += heldSlotCount
	}
	if slot := row.slot(number); slot != nil {
		slot.repeats++
	}
}

// Release returns a granted repeat that reached no server.
func (b *SharedBudget) Release(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.row(service).pending--
}

// Usage returns what the budget of the service rests on now.
func (b *SharedBudget) Usage(service string, now time.Time) Usage {
	instances := b.options.Instances()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(service, instances, 1, now)
}

// usage returns the usage of a fraction of the budget.
func (b *SharedBudget) usage(service string, instances int, fraction float64, now time.Time) Usage {
	row, slackPart, current := b.row(service), b.slackPart(instances, now), b.slotNumber(now)
	usage := Usage{
		Requests: row.requestsOfWindow(current), Instances: instances, Refusals: row.shortfall.refusals, Allowed: math.Inf(1),
	}
	row.eachSpan(current, func(s span) {
		allowed := fraction * (b.options.Ratio*s.requests + slackPart)
		if allowed-float64(s.repeats) < usage.Allowed-float64(usage.Repeats) {
			usage.Repeats, usage.Allowed = s.repeats, allowed
		}
	})
	return usage
}

// slackPart returns the part of the slack that this instance may use.
func (b *SharedBudget) slackPart(instances int, now time.Time) float64 {
	delayWindows := slackDelayWindows
	if b.options.FirstStart {
		delayWindows = firstSlackDelayWindows
	}
	if instances < 1 || now.Sub(b.options.Started) < time.Duration(delayWindows)*b.options.Window {
		return 0
	}
	return b.options.Slack / float64(instances)
}

// row returns the state of a service.
func (b *SharedBudget) row(service string) *sharedRow {
	row, ok := b.rows[service]
	if !ok {
		row = &sharedRow{}
		b.rows[service] = row
	}
	return row
}

// slotNumber returns the number of the slot of a time. It is negative for a time of more than a window before the first one counted.
func (b *SharedBudget) slotNumber(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now.Add(-b.options.Window)
	}
	return int64(now.Sub(b.origin) / max(1, b.options.Window/sharedSlotCount))
}
