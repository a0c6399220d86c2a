package limit

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// costGrantPeriod is the period for which a grant of cost covers the demand. When an instance fails, only its spending
	// since its last report goes uncounted, not the rest of its grant.
	costGrantPeriod = 10 * time.Second
	// costSpreadFraction is the fraction of the remaining cost that is granted regardless of demand, divided equally among
	// all instances.
	costSpreadFraction = 0.05
)

// member is the state of one instance in the account of one organisation.
type member struct {
	// knownSince is when the allocator learned of the instance or last restarted learning. lastReport is when the instance
	// last reported; zero if it has not reported since then.
	knownSince time.Time
	lastReport time.Time
	demand     Rates
	// maxUse bounds the rates that the instance may use until its share expires.
	maxUse Rates
	// maxCost bounds what the instance may spend until its next report; fallbackCost is what it may spend without a grant.
	maxCost      float64
	fallbackCost float64
	// countedUse is the instance's part of summary.maxUse.
	countedUse Rates
	// spent is the part of account.totalSpent that comes from this instance. It is valid once spentKnown is set.
	spent      float64
	spentKnown bool
}

// account is the state of one organisation at its allocator.
type account struct {
	// learningUntil is the time until which shares granted by an earlier allocator may be in use.
	learningUntil time.Time
	lastReport    time.Time
	// halfReportingSince and majorityReportingSince are the times since which at least half, and more than half, of the
	// registered instances have been reporting; zero if fewer report at present.
	halfReportingSince     time.Time
	majorityReportingSince time.Time
	members                map[string]*member
	summary                summary
	day                    int64
	totalSpent             float64 // cost units on the day
}

// Allocator is the table of the organisations whose limits this instance allocates. It is safe for concurrent use.
type Allocator struct {
	mu       *lockorder.Mutex
	accounts map[string]*account
}

// NewAllocator returns an empty table.
func NewAllocator() *Allocator {
	return &Allocator{mu: lockorder.New(lockorder.RankLimits), accounts: map[string]*account{}}
}

// LimitsOf returns the limits of an organisation in the current configuration. It must not block.
type LimitsOf func(organisation string) Limits

// HandleReport processes the report of one instance and returns the grants for it. The members are the registered instances.
// This instance need not be the allocator according to its own view of the membership: limit/n is reserved for instances that
// report elsewhere.
func (a *Allocator) HandleReport(report api.DemandReport, members []string, limitsOf LimitsOf, now time.Time) api.LimitGrants {
	configured := make([]Limits, len(report.Demands))
	for i := range report.Demands {
		configured[i] = limitsOf(report.Demands[i].Organisation)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	grants := make([]api.LimitGrant, 0, len(report.Demands))
	for i := range report.Demands {
		demand := &report.Demands[i]
		acc := a.accountFor(demand.Organisation, now)
		acc.syncMembers(members, report.Incarnation, now)
		grants = append(grants, acc.handleDemand(report.Incarnation, demand, configured[i], now))
	}
	return api.LimitGrants{Grants: grants}
}

// RestoreSpending raises the known spending of an organisation on a day to the given total, for example from the bills in
// the table service after all instances were restarted.
func (a *Allocator) RestoreSpending(organisation string, day int64, total float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.accountFor(organisation, now)
	acc.startDay(day)
	if acc.day == day {
		acc.totalSpent = max(acc.totalSpent, total)
	}
}

// accountRetention is the time without reports after which an account is dropped. It is longer than a day, because the
// account holds the day's spending.
const accountRetention = 25 * time.Hour

func (a *Allocator) sweep(now time.Time) {
	for organisation, acc := range a.accounts {
		if now.Sub(acc.lastReport) > accountRetention {
			delete(a.accounts, organisation)
		}
	}
}

func (a *Allocator) accountFor(organisation string, now time.Time) *account {
	acc, ok := a.accounts[organisation]
	if !ok {
		acc = &account{members: map[string]*member{}, day: dayNumber(now)}
		a.accounts[organisation] = acc
	}
	if now.Sub(acc.lastReport) > ShareValidity {
		acc.startLearning(now)
	}
	acc.lastReport = now
	return acc
}

// startLearning discards what is known of the members except their spending, because another allocator may have granted
// shares in the meantime. For ShareValidity the account then grants nothing beyond the shares that the instances report as
// held, or limit/n.
func (acc *account) startLearning(now time.Time) {
	acc.learningUntil = now.Add(ShareValidity)
	acc.halfReportingSince, acc.majorityReportingSince = time.Time{}, time.Time{}
	for _, m := range acc.members {
		*m = member{knownSince: now, spent: m.spent}
	}
}

// learning reports whether shares granted by an earlier allocator may still be in use.
func (acc *account) learning(now time.Time) bool { return now.Before(acc.learningUntil) }

// syncMembers adds the registered instances and removes those that are no longer registered and whose shares have expired.
func (acc *account) syncMembers(members []string, reporter string, now time.Time) {
	registered := make(map[string]bool, len(members)+1)
	registered[reporter] = true
	for _, id := range members {
		registered[id] = true
	}
	for id := range registered {
		if acc.members[id] == nil {
			acc.members[id] = &member{knownSince: now}
		}
	}
	for id, m := range acc.members {
		if !registered[id] && now.Sub(m.lastReport) > ShareValidity {
			delete(acc.members, id)
		}
	}
}

func (acc *account) handleDemand(id string, d *api.Demand, limit Limits, now time.Time) api.LimitGrant {
	m := acc.members[id]
	if !m.lastReport.IsZero() && d.HasGrant && (d.HeldRequestsPerSecond > m.maxUse.Requests || d.HeldTokensPerSecond > m.maxUse.Tokens) {
		// Another allocator has raised this instance's share and may have raised those of others.
		acc.startLearning(now)
	}
	m.lastReport = now
	m.demand = Rates{Requests: d.RequestsPerSecond, Tokens: d.TokensPerSecond}
	share := acc.assignShare(id, d, limit.Rates, now)
	cost := acc.grantCost(id, d, limit.CostPerDay, now)
	validity := ShareValidity
	if acc.learning(now) && d.HasGrant {
		validity = 0 // lets the share of the earlier allocator expire
	}
	return api.LimitGrant{
		Organisation:      d.Organisation,
		RequestsPerSecond: share.Requests,
		TokensPerSecond:   share.Tokens,
		Cost:              cost,
		Day:               acc.day,
		AcknowledgedSpent: m.spent,
		TotalSpent:        acc.totalSpent,
		ValidMillis:       validity.Milliseconds(),
		Minority:          acc.halfReportingSince.IsZero() || now.Sub(acc.halfReportingSince) < ShareValidity,
	}
}

// assignShare decides the rates of one instance and records the maximum that it may use from now on.
func (acc *account) assignShare(id string, d *api.Demand, limit Rates, now time.Time) Rates {
	m := acc.members[id]
	acc.summarise(limit, now)
	held := Rates{Requests: d.HeldRequestsPerSecond, Tokens: d.HeldTokensPerSecond}
	available := acc.summary.availableTo(m)
	var share Rates
	switch {
	case acc.learning(now) && d.HasGrant:
		share = held.min(limit)
	case acc.learning(now):
		share = acc.summary.equalShare.min(available)
	default:
		share = acc.summary.targetShare(m.demand).min(available)
	}
	// The reply may be lost, so the instance uses the old or the new share until it reports again.
	m.maxUse = held.max(share)
	acc.summary.maxUse = acc.summary.maxUse.add(m.maxUse.subtract(m.countedUse))
	m.countedUse = m.maxUse
	return share
}

// currentMaxUse returns the maximum that the instance may use at present; equalShare is limit/n.
func (acc *account) currentMaxUse(m *member, equalShare Rates, now time.Time) Rates {
	if m.silent(now) {
		return equalShare.scale(acc.reservedFraction(m, now))
	}
	if now.Sub(m.lastReport) > reportOverdueAfter {
		return m.maxUse.max(equalShare)
	}
	return m.maxUse
}

// silent reports whether the instance has no valid share from this allocator.
func (m *member) silent(now time.Time) bool {
	return m.lastReport.IsZero() || now.Sub(m.lastReport) > ShareValidity
}

// reservedFraction returns the fraction of limit/n that the allocator reserves for a silent instance. It decays only while a
// majority of the instances report to this allocator, because the silent instance then cannot get a grant from an allocator
// to which at least half report. An earlier allocator may have given such a grant until ShareValidity after the majority
// began to report here.
func (acc *account) reservedFraction(m *member, now time.Time) float64 {
	if acc.majorityReportingSince.IsZero() {
		return 1
	}
	decayStart := acc.majorityReportingSince.Add(ShareValidity)
	for _, t := range []time.Time{m.knownSince, m.lastReport} {
		if t.After(decayStart) {
			decayStart = t
		}
	}
	return isolatedFraction(now.Sub(decayStart))
}
