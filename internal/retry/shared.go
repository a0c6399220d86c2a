package retry

import (
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
)

// SharedBudgetOptions configures a budget that all instances share.
type SharedBudgetOptions struct {
	// Ratio is the number of extra arrivals allowed for each request.
	Ratio float64
	// Slack is the number of extra arrivals per window that all instances together are allowed in addition to Ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Instances returns the number of instances that share the slack.
	Instances func() int
}

type sharedSlot struct {
	number        int64
	requests      int
	extraArrivals int
}

type sharedRow [sharedSlotCount]sharedSlot

// SharedBudget bounds the extra arrivals at each service. Each instance is limited by its own requests and its part of the
// slack, so the bound holds for the sum over all instances without communication between them. It is safe for concurrent
// use.
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
	b.mu.Lock()
	defer b.mu.Unlock()
	if slot := b.slot(service, arrived); slot != nil {
		slot.requests++
	}
}

// Spend takes one extra arrival from the budget of the service. It returns false if the budget is exhausted. The fraction,
// from 0 to 1, is the part of the budget up to which this kind of attempt may spend, so that optional attempts leave budget
// for necessary ones.
func (b *SharedBudget) Spend(service string, fraction float64, now time.Time) bool {
	instances := max(1, b.options.Instances())
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slot(service, now)
	requests, extra := b.windowTotals(service, now)
	allowed := sharedRatioFraction*b.options.Ratio*float64(requests) + b.options.Slack/float64(instances)
	if current == nil || float64(extra+1) > fraction*allowed {
		return false
	}
	current.extraArrivals++
	return true
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
	row, ok := b.rows[service]
	if !ok {
		row = &sharedRow{}
		b.rows[service] = row
	}
	number := b.slotNumber(now)
	if number < 0 {
		return nil
	}
	s := &row[number%sharedSlotCount]
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
	for _, s := range b.rows[service] {
		if s.number > oldest {
			requests += s.requests
			extra += s.extraArrivals
		}
	}
	return requests, extra
}
