package limit

import (
	"fmt"
	"math"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 30 * time.Second
	// rowMemory is the time without use after which a row is dropped; longer than a day, because it holds the day's spending.
	rowMemory = 25 * time.Hour
)

// Need is what one request takes of the limits, as estimated before it runs.
type Need struct {
	Tokens float64
	Cost   float64
}

// share is the part of the limit that a grant gives, until it ends.
type share struct {
	rates   Rates
	expires time.Time
	// mayReach is the spending of the day up to which the grant allows more.
	mayReach float64
}

// usage is the state of one organisation at this instance.
type usage struct {
	limit    Limits
	last     time.Time
	requests bucket
	tokens   bucket
	asked    meter
	askedTok meter
	paid     meter
	share    share

	day          int64
	spent        float64
	acknowledged float64
	known        float64
	// reached is the start of the last report that was answered by an allocator that hears at least half of the instances.
	reached time.Time
}

// Local is the table of this instance's part of the limits. It is safe for concurrent use.
type Local struct {
	incarnation string
	started     time.Time

	mu        *lockorder.Mutex
	instances int
	rows      map[string]*usage
}

// NewLocal returns the table of the instance. Until Validity has passed or a grant arrives it admits nothing under a limit,
// because the other instances may use the whole limit until they hear of this one.
func NewLocal(incarnation string, now time.Time) *Local {
	return &Local{
		incarnation: incarnation,
		started:     now,
		mu:          lockorder.New(lockorder.RankLimits),
		instances:   1,
		rows:        map[string]*usage{},
	}
}

// SetInstances sets the number of registered instances, this one included.
func (l *Local) SetInstances(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = max(1, n)
}

// Admit takes one request from the organisation's limits, or returns limit_exceeded.
func (l *Local) Admit(organisation string, limit Limits, need Need, now time.Time) *fault.Error {
	if limit.Unlimited() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.row(organisation, limit, now)
	u.asked.add(1)
	u.askedTok.add(need.Tokens)
	l.refresh(u, now)
	switch {
	case limit.Requests > 0 && !u.requests.has(1, now):
		return exceeded("requests per second", limit.Requests, u.requests.wait(1))
	case limit.Tokens > 0 && !u.tokens.has(need.Tokens, now):
		return exceeded("tokens per second", limit.Tokens, u.tokens.wait(need.Tokens))
	case limit.CostPerDay > 0 && u.spent+need.Cost > l.mayReach(u, now):
		return exceeded("cost per day", limit.CostPerDay, u.costWait(now))
	}
	u.requests.take(1)
	u.tokens.take(need.Tokens)
	u.spend(need.Cost)
	return nil
}

// Settle corrects the estimate of an admitted request once its real use is known. The difference is real use minus estimate.
func (l *Local) Settle(organisation string, difference Need, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.rows[organisation]
	if !ok {
		return
	}
	u.startDay(dayOf(now))
	u.tokens.fill(now)
	u.tokens.take(difference.Tokens)
	u.askedTok.add(difference.Tokens)
	u.spend(difference.Cost)
}

// Report returns the report on the organisations that the allocator owns. Every limited organisation must be included,
// also without demand, because the allocator keeps limit/n back for an instance that it does not hear from.
func (l *Local) Report(organisations []string, limits LimitsOf, now time.Time) api.DemandReport {
	stated := make([]Limits, len(organisations))
	for i, organisation := range organisations {
		stated[i] = limits(organisation)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	report := api.DemandReport{Incarnation: l.incarnation, Demands: make([]api.Demand, 0, len(organisations))}
	for i, organisation := range organisations {
		u := l.row(organisation, stated[i], now)
		l.refresh(u, now)
		report.Demands = append(report.Demands, l.demand(organisation, u, now))
	}
	return report
}

func (l *Local) demand(organisation string, u *usage, now time.Time) api.Demand {
	held := l.held(u, now)
	return api.Demand{
		Organisation:          organisation,
		RequestsPerSecond:     u.asked.read(now),
		TokensPerSecond:       max(0, u.askedTok.read(now)),
		CostPerSecond:         max(0, u.paid.read(now)),
		Holds:                 now.Before(u.share.expires),
		HeldRequestsPerSecond: held.Requests,
		HeldTokensPerSecond:   held.Tokens,
		HeldCost:              max(0, l.mayReach(u, now)-u.spent),
		Day:                   u.day,
		Spent:                 u.spent,
		AcknowledgedSpent:     u.acknowledged,
		KnownSpent:            u.known,
	}
}

// Apply puts grants in force. Sent is the time at which the report that they answer was made.
func (l *Local) Apply(grants api.LimitGrants, sent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range grants.Grants {
		g := &grants.Grants[i]
		u, ok := l.rows[g.Organisation]
		expires := sent.Add(min(time.Duration(g.ValidMillis)*time.Millisecond, Validity))
		if !ok || !now.Before(expires) {
			continue
		}
		u.share.expires = expires
		u.share.rates = Rates{Requests: g.RequestsPerSecond, Tokens: g.TokensPerSecond}
		if !g.Minority {
			u.reached = sent
		}
		u.startDay(dayOf(now))
		if g.Day == u.day {
			u.share.mayReach = g.AcknowledgedSpent + g.Cost
			u.acknowledged = g.AcknowledgedSpent
			u.known = max(u.known, g.TotalSpent)
		}
		l.refresh(u, now)
	}
}

func (l *Local) row(organisation string, limit Limits, now time.Time) *usage {
	u, ok := l.rows[organisation]
	if !ok {
		u = &usage{day: dayOf(now), reached: now}
		u.asked.last, u.askedTok.last, u.paid.last = now, now, now
		if l.alone(now) > 0 {
			// A limit that is new to an instance that is not new itself starts with a full bucket, which refresh cuts to the
			// burst; else the first request after a change of configuration would be refused.
			u.requests.level, u.tokens.level = math.Inf(1), math.Inf(1)
		}
		l.rows[organisation] = u
	}
	u.limit = limit
	u.last = now
	u.startDay(dayOf(now))
	return u
}

func (l *Local) sweep(now time.Time) {
	for organisation, u := range l.rows {
		if now.Sub(u.last) > rowMemory {
			delete(l.rows, organisation)
		}
	}
}

// refresh sets the buckets to the share in force: that of the grant, or limit/n without one. Both fall while no allocator
// that hears half of the instances is reached.
func (l *Local) refresh(u *usage, now time.Time) {
	rates := l.held(u, now)
	if l.instances > 1 {
		rates = rates.times(aloneAfter(now.Sub(u.reached)))
	}
	equal := u.limit.times(1 / float64(l.instances))
	u.requests.set(rates.Requests, max(minBurst, equal.Requests*burstWindow.Seconds()), now)
	u.tokens.set(rates.Tokens, equal.Tokens*burstWindow.Seconds(), now)
}

// held returns the share of the grant, or limit/n without one.
func (l *Local) held(u *usage, now time.Time) Rates {
	if now.Before(u.share.expires) {
		return u.share.rates.min(u.limit.Rates)
	}
	return u.limit.times(l.alone(now))
}

// alone returns the part of a limit that this instance uses without a grant.
func (l *Local) alone(now time.Time) float64 {
	if now.Sub(l.started) < Validity {
		return 0
	}
	return 1 / float64(l.instances)
}

// mayReach returns the spending of the day up to which this instance admits more. Without a grant that is an equal part of
// what remained when an allocator was last heard.
func (l *Local) mayReach(u *usage, now time.Time) float64 {
	if now.Before(u.share.expires) {
		return u.share.mayReach
	}
	return u.acknowledged + max(0, u.limit.CostPerDay-u.known)*l.alone(now)
}

func (u *usage) startDay(day int64) {
	if day == u.day {
		return
	}
	u.day, u.spent, u.acknowledged, u.known, u.share.mayReach = day, 0, 0, 0, 0
}

func (u *usage) spend(cost float64) {
	u.spent = max(0, u.spent+cost)
	u.paid.add(cost)
}

// costWait returns the next sensible attempt: the next day if the limit is spent, else the next grant.
func (u *usage) costWait(now time.Time) time.Duration {
	if u.known < u.limit.CostPerDay {
		return reportInterval
	}
	return time.Unix((u.day+1)*secondsPerDay, 0).Sub(now)
}

func exceeded(what string, limit float64, wait time.Duration) *fault.Error {
	message := fmt.Sprintf("the organisation's limit of %g %s is used up", limit, what)
	return fault.NotRun(fault.StepAdmit, fault.CodeLimitExceeded, message).
		WithAdvice("repeat the request after the stated wait").
		WithRetryAfter(max(wait, shortestRetry))
}
