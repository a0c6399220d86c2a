package limit

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// costAhead is the spending that a grant of cost covers. An instance that dies loses what it spent since its last
	// report, not what it was granted.
	costAhead = 10 * time.Second
	// costSpread is the part of the remaining cost that a round over all instances grants without demand.
	costSpread = 0.05
)

// member is what an allocator knows of one instance and one organisation.
type member struct {
	// seen is the time at which the allocator learned of the instance, heard that of its last report.
	seen   time.Time
	heard  time.Time
	demand Rates
	// use is the most that the instance may use until its share ends.
	use Rates
	// costUse is the most that it may spend until its next report; costAlone is what it may spend without one.
	costUse   float64
	costAlone float64
	// counts is what the account's summary counts as used by the instance.
	counts Rates
	// spent is the instance's spending on the day that total contains; counted is set once it is known.
	spent   float64
	counted bool
}

// account is the state of one organisation at its allocator.
type account struct {
	// learnUntil is the time until which shares of an earlier allocator may be in use.
	learnUntil time.Time
	last       time.Time
	// halfSince and majoritySince are the times since which half or more, and more than half, of the registered instances have
	// been heard; zero if they are not.
	halfSince     time.Time
	majoritySince time.Time
	members       map[string]*member
	sum           summary
	day           int64
	total         float64 // cost units on the day
}

// Allocator is the table of the organisations that this instance allocates. It is safe for concurrent use.
type Allocator struct {
	mu       *lockorder.Mutex
	accounts map[string]*account
}

// NewAllocator returns an empty table.
func NewAllocator() *Allocator {
	return &Allocator{mu: lockorder.New(lockorder.RankLimits), accounts: map[string]*account{}}
}

// LimitsOf returns the limits of an organisation by the configuration in force. It must not block.
type LimitsOf func(organisation string) Limits

// Report takes one instance's report and returns its grants. Members are the registered instances. It does not matter
// whether this instance is the owner in its own view: instances that report elsewhere are counted with limit/n.
func (a *Allocator) Report(report api.DemandReport, members []string, limits LimitsOf, now time.Time) api.LimitGrants {
	stated := make([]Limits, len(report.Demands))
	for i := range report.Demands {
		stated[i] = limits(report.Demands[i].Organisation)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	grants := make([]api.LimitGrant, 0, len(report.Demands))
	for i := range report.Demands {
		demand := &report.Demands[i]
		acc := a.account(demand.Organisation, now)
		acc.sync(members, report.Incarnation, now)
		grants = append(grants, acc.grant(report.Incarnation, demand, stated[i], now))
	}
	return api.LimitGrants{Grants: grants}
}

// Seed raises the known spending of an organisation on a day, for example from the bills of the table service after all
// instances were restarted.
func (a *Allocator) Seed(organisation string, day int64, total float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.account(organisation, now)
	acc.startDay(day)
	if acc.day == day {
		acc.total = max(acc.total, total)
	}
}

// accountMemory is the time without reports after which an account is dropped. It is longer than a day, because the account
// holds the day's spending.
const accountMemory = 25 * time.Hour

func (a *Allocator) sweep(now time.Time) {
	for organisation, acc := range a.accounts {
		if now.Sub(acc.last) > accountMemory {
			delete(a.accounts, organisation)
		}
	}
}

func (a *Allocator) account(organisation string, now time.Time) *account {
	acc, ok := a.accounts[organisation]
	if !ok {
		acc = &account{members: map[string]*member{}, day: dayOf(now)}
		a.accounts[organisation] = acc
	}
	if now.Sub(acc.last) > Validity {
		acc.learn(now)
	}
	acc.last = now
	return acc
}

// learn starts or restarts the account after a time in which another allocator may have been in charge.
func (acc *account) learn(now time.Time) {
	acc.learnUntil = now.Add(Validity)
	acc.halfSince, acc.majoritySince = time.Time{}, time.Time{}
	for _, m := range acc.members {
		*m = member{seen: now, spent: m.spent}
	}
}

// learning reports whether shares of an earlier allocator may still be in use.
func (acc *account) learning(now time.Time) bool { return now.Before(acc.learnUntil) }

// sync adds registered instances and drops those that left and whose shares ended.
func (acc *account) sync(members []string, reporter string, now time.Time) {
	registered := make(map[string]bool, len(members)+1)
	registered[reporter] = true
	for _, id := range members {
		registered[id] = true
	}
	for id := range registered {
		if acc.members[id] == nil {
			acc.members[id] = &member{seen: now}
		}
	}
	for id, m := range acc.members {
		if !registered[id] && now.Sub(m.heard) > Validity {
			delete(acc.members, id)
		}
	}
}

func (acc *account) grant(id string, d *api.Demand, limit Limits, now time.Time) api.LimitGrant {
	m := acc.members[id]
	if !m.heard.IsZero() && d.Holds && (d.HeldRequestsPerSecond > m.use.Requests || d.HeldTokensPerSecond > m.use.Tokens) {
		// Another allocator raised the share, and may have raised others.
		acc.learn(now)
	}
	m.heard = now
	m.demand = Rates{Requests: d.RequestsPerSecond, Tokens: d.TokensPerSecond}
	share := acc.share(id, d, limit.Rates, now)
	cost := acc.cost(id, d, limit.CostPerDay, now)
	validity := Validity
	if acc.learning(now) && d.Holds {
		validity = 0 // the share of the earlier allocator runs out
	}
	return api.LimitGrant{
		Organisation:      d.Organisation,
		RequestsPerSecond: share.Requests,
		TokensPerSecond:   share.Tokens,
		Cost:              cost,
		Day:               acc.day,
		AcknowledgedSpent: m.spent,
		TotalSpent:        acc.total,
		ValidMillis:       validity.Milliseconds(),
		Minority:          acc.halfSince.IsZero() || now.Sub(acc.halfSince) < Validity,
	}
}

// share decides the rates of one instance and records the most that it may use from now on.
func (acc *account) share(id string, d *api.Demand, limit Rates, now time.Time) Rates {
	m := acc.members[id]
	acc.summarise(limit, now)
	held := Rates{Requests: d.HeldRequestsPerSecond, Tokens: d.HeldTokensPerSecond}
	room := acc.sum.room(m)
	var share Rates
	switch {
	case acc.learning(now) && d.Holds:
		share = held.min(limit)
	case acc.learning(now):
		share = acc.sum.alone.min(room)
	default:
		share = acc.sum.target(m.demand).min(room)
	}
	// The reply may be lost, so the instance uses the old or the new share until it reports again.
	m.use = held.max(share)
	acc.sum.used = acc.sum.used.plus(m.use.minus(m.counts))
	m.counts = m.use
	return share
}

// mayUse returns the most that the instance may use at the moment, where alone is its equal part of the limit.
func (acc *account) mayUse(m *member, alone Rates, now time.Time) Rates {
	if m.silent(now) {
		return alone.times(acc.keptBack(m, now))
	}
	if now.Sub(m.heard) > lateAfter {
		return m.use.max(alone)
	}
	return m.use
}

// silent reports whether the instance has no valid share from this allocator.
func (m *member) silent(now time.Time) bool { return m.heard.IsZero() || now.Sub(m.heard) > Validity }

// keptBack returns the part of limit/n that the allocator keeps back for a silent instance. It falls only for an allocator
// that hears the majority, because the silent instance then cannot get a grant of one that hears half or more. Such a grant
// may have been given until Validity after the majority was reached, by an allocator to which the instances reported before.
func (acc *account) keptBack(m *member, now time.Time) float64 {
	if acc.majoritySince.IsZero() {
		return 1
	}
	since := acc.majoritySince.Add(Validity)
	for _, t := range []time.Time{m.seen, m.heard} {
		if t.After(since) {
			since = t
		}
	}
	return aloneAfter(now.Sub(since))
}
