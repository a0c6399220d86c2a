package retry

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// sharedSlots divides the window; a finer division costs memory and gains nothing against the margin.
	sharedSlots = 20
	// sharedMargin is the part of the ratio that is used, because arrivals are counted when they reach a server and requests
	// when they were sent.
	sharedMargin = 0.95
)

// SharedOptions are the terms of a budget that all instances share.
type SharedOptions struct {
	// Ratio is the number of extra arrivals allowed for each request.
	Ratio float64
	// Slack is the number of extra arrivals in a window allowed to all instances together.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Instances returns the number of instances that share the slack.
	Instances func() int
}

type sharedSlot struct {
	number   int64
	requests int
	extra    int
}

type sharedRow [sharedSlots]sharedSlot

// SharedBudget bounds the extra arrivals at each service. Every instance spends on its own requests and on its part of the
// slack, so the sum over all instances holds although none hears the others. It is safe for concurrent use.
type SharedBudget struct {
	options SharedOptions

	mu *lockorder.Mutex
	// start is the origin of the slots; differences to it are steady while the time of day steps.
	start time.Time
	rows  map[string]*sharedRow
}

// NewSharedBudget returns a budget without requests for one instance.
func NewSharedBudget(options SharedOptions) *SharedBudget {
	return &SharedBudget{options: options, mu: lockorder.New(lockorder.RankRetryBudgets), rows: map[string]*sharedRow{}}
}

// Change replaces ratio and slack. The window's length stays, because the counts are kept in its slots.
func (b *SharedBudget) Change(options SharedOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options.Ratio, b.options.Slack = options.Ratio, options.Slack
}

// Request counts a new request for the service.
func (b *SharedBudget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(service, now).requests++
}

// Spend takes one extra arrival and returns false if the budget has none left. Use is the part of the budget that this
// caller may reach, from 0 to 1, so that useful but optional attempts leave room for necessary ones.
func (b *SharedBudget) Spend(service string, use float64, now time.Time) bool {
	instances := max(1, b.options.Instances())
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slot(service, now)
	requests, extra := b.sum(service, now)
	allowed := sharedMargin*b.options.Ratio*float64(requests) + b.options.Slack/float64(instances)
	if float64(extra+1) > use*allowed {
		return false
	}
	current.extra++
	return true
}

func (b *SharedBudget) slotNumber(now time.Time) int64 {
	if b.start.IsZero() {
		b.start = now.Add(-b.options.Window)
	}
	return int64(now.Sub(b.start) / max(1, b.options.Window/sharedSlots))
}

func (b *SharedBudget) slot(service string, now time.Time) *sharedSlot {
	row, ok := b.rows[service]
	if !ok {
		row = &sharedRow{}
		b.rows[service] = row
	}
	number := b.slotNumber(now)
	s := &row[number%sharedSlots]
	if s.number != number {
		*s = sharedSlot{number: number}
	}
	return s
}

func (b *SharedBudget) sum(service string, now time.Time) (requests, extra int) {
	oldest := b.slotNumber(now) - sharedSlots
	for _, s := range b.rows[service] {
		if s.number > oldest {
			requests += s.requests
			extra += s.extra
		}
	}
	return requests, extra
}
