package retry

import (
	"log/slog"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// sharedSlotCount is the number of slots of the window. A finer division costs memory, and its gain in accuracy is small
	// against sharedRatioFraction.
	sharedSlotCount = 20
	// sharedRatioFraction is the fraction of the ratio that is used. The margin is needed because extra arrivals are counted
	// when they reach a backend server, but requests when they are sent.
	sharedRatioFraction = 0.95
	// slackDelayWindows is the number of windows after its start for which an instance uses no slack. In the first one its earlier process may
	// have spent its part. In the second one peers that did not know of it yet may have spent larger parts.
	slackDelayWindows = 2
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
	// Started is the start of the process.
	Started time.Time
	// Log receives a line when the budget of a service is used up and when it is available again.
	Log *slog.Logger
}

type sharedSlot struct {
	number        int64
	requests      int
	extraArrivals int
}

// sharedRow is the state of one service.
type sharedRow struct {
	slots     [sharedSlotCount]sharedSlot
	shortfall shortfall
}

// Usage is what the budget of a service rests on at a moment.
type Usage struct {
	// Requests and Repeats are those of the last window.
	Requests, Repeats int
	// Allowed is the number of repeats that the window allows.
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
	if slot := b.slot(service, arrived); slot != nil {
		slot.requests++
	}
	return b.row(service).shortfall.endIfOver(arrived)
}

// Spend takes one extra arrival from the budget of the service. It returns false if the budget is exhausted. The fraction,
// from 0 to 1, is the part of the budget up to which this kind of attempt may spend, so that optional attempts leave budget
// for necessary ones.
func (b *SharedBudget) Spend(service string, fraction float64, now time.Time) bool {
	granted, first, usage := b.spend(service, fraction, now)
	if first {
		b.options.Log.Warn("retry budget is used up", "service", service, "requests", usage.Requests, "repeats", usage.Repeats,
			"allowed", fraction*usage.Allowed, "instances", usage.Instances)
	}
	return granted
}

// spend implements Spend. It also reports whether this is the first refusal since the budget was available.
func (b *SharedBudget) spend(service string, fraction float64, now time.Time) (granted, first bool, usage Usage) {
	instances := b.options.Instances()
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slot(service, now)
	usage = b.usage(service, instances, now)
	if current == nil || float64(usage.Repeats+1) > fraction*usage.Allowed {
		return false, b.row(service).shortfall.record(now), usage
	}
	current.extraArrivals++
	return true, false, usage
}

// Usage returns what the budget of the service rests on now.
func (b *SharedBudget) Usage(service string, now time.Time) Usage {
	instances := b.options.Instances()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(service, instances, now)
}

func (b *SharedBudget) usage(service string, instances int, now time.Time) Usage {
	requests, repeats := b.windowTotals(service, now)
	return Usage{
		Requests: requests, Repeats: repeats, Instances: instances, Refusals: b.row(service).shortfall.refusals,
		Allowed: sharedRatioFraction*b.options.Ratio*float64(requests) + b.slackPart(instances, now),
	}
}

// slackPart returns the part of the slack that this instance may use.
func (b *SharedBudget) slackPart(instances int, now time.Time) float64 {
	if instances < 1 || now.Sub(b.options.Started) < slackDelayWindows*b.options.Window {
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

// slot returns the slot of a time, or nil if the time is so old that its slot is not kept any more.
func (b *SharedBudget) slot(service string, now time.Time) *sharedSlot {
	number := b.slotNumber(now)
	if number < 0 {
		return nil
	}
	s := &b.row(service).slots[number%sharedSlotCount]
	if s.number > number {
		return nil
	}
	if s.number != number {
		*s = sharedSlot{number: number}
	}
	return s
}

func (b *SharedBudget) windowTotals(service string, now time.Time) (requests, extra int) {
	oldest := b.slotNumber(now) - sharedSlotCount
	for _, s := range b.row(service).slots {
		if s.number > oldest {
			requests += s.requests
			extra += s.extraArrivals
		}
	}
	return requests, extra
}
