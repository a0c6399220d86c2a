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
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// rowRetention is the time without use after which a row is removed. It is longer than a day, because the row holds the
	// day's spending.
	rowRetention = 25 * time.Hour
)

// Usage is the use of the limits by one request: an estimate before it runs, or a correction of that estimate.
type Usage struct {
	Tokens float64
	Cost   float64
}

// share is the part of the limit that an allocator granted to this instance.
type share struct {
	rates     Rates
	expiresAt time.Time
	// spendingLimit is the instance's total spending on the day up to which the grant allows requests.
	spendingLimit float64
}

// localUsage is the state of one organisation at this instance.
type localUsage struct {
	limits        Limits
	lastUsed      time.Time
	requestBucket bucket
	tokenBucket   bucket
	requestMeter  meter
	tokenMeter    meter
	costMeter     meter
	share         share

	// spent is this instance's spending on the day, of which an allocator has counted acknowledgedSpent. knownSpent is the
	// largest total over all instances that an allocator has stated.
	day               int64
	spent             float64
	acknowledgedSpent float64
	knownSpent        float64
	// lastConnected is the start of the last report answered by an allocator to which at least half of the instances report.
	lastConnected time.Time
}

// LocalLimits is the table of this instance's shares of the organisations' limits. It is safe for concurrent use.
type LocalLimits struct {
	incarnation string
	started     time.Time

	mu        *lockorder.Mutex
	instances int
	rows      map[string]*localUsage
}

// NewLocalLimits returns the table of the instance. Until ShareValidity has passed or a grant arrives it admits no request
// of an organisation with limits, because the other instances may use the whole limit until they learn of this instance.
func NewLocalLimits(incarnation string, now time.Time) *LocalLimits {
	return &LocalLimits{
		incarnation: incarnation,
		started:     now,
		mu:          lockorder.New(lockorder.RankLimits),
		instances:   1,
		rows:        map[string]*localUsage{},
	}
}

// SetInstances sets the number of registered instances, this one included.
func (l *LocalLimits) SetInstances(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = max(1, n)
}

// Admit charges one request to the organisation's limits, or returns limit_exceeded.
func (l *LocalLimits) Admit(organisation string, limit Limits, estimate Usage, now time.Time) *fault.Error {
	if limit.Unlimited() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.row(organisation, limit, now)
	u.requestMeter.add(1)
	u.tokenMeter.add(estimate.Tokens)
	l.updateBuckets(u, now)
	switch {
	case limit.Requests > 0 && !u.requestBucket.canConsume(1, now):
		return limitExceeded("requests per second", limit.Requests, u.requestBucket.waitTime(1))
	case limit.Tokens > 0 && !u.tokenBucket.canConsume(estimate.Tokens, now):
		return limitExceeded("tokens per second", limit.Tokens, u.tokenBucket.waitTime(estimate.Tokens))
	case limit.CostPerDay > 0 && u.spent+estimate.Cost > l.spendingLimit(u, now):
		return limitExceeded("cost per day", limit.CostPerDay, u.costRetryAfter(now))
	}
	u.requestBucket.consume(1)
	u.tokenBucket.consume(estimate.Tokens)
	u.spend(estimate.Cost)
	return nil
}

// Reconcile corrects the estimate of an admitted request once its actual use is known. The difference is the actual use
// minus the estimate.
func (l *LocalLimits) Reconcile(organisation string, difference Usage, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.rows[organisation]
	if !ok {
		return
	}
	u.startDay(dayNumber(now))
	u.tokenBucket.refill(now)
	u.tokenBucket.consume(difference.Tokens)
	u.tokenMeter.add(difference.Tokens)
	u.spend(difference.Cost)
}

// BuildReport returns the report for the allocator of the given organisations. Every limited organisation must be reported
// to its allocator, also without demand, because the allocator reserves limit/n for an instance that does not report.
func (l *LocalLimits) BuildReport(organisations []string, limitsOf LimitsOf, now time.Time) api.DemandReport {
	configured := make([]Limits, len(organisations))
	for i, organisation := range organisations {
		configured[i] = limitsOf(organisation)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	report := api.DemandReport{Incarnation: l.incarnation, Demands: make([]api.Demand, 0, len(organisations))}
	for i, organisation := range organisations {
		u := l.row(organisation, configured[i], now)
		l.updateBuckets(u, now)
		report.Demands = append(report.Demands, l.buildDemand(organisation, u, now))
	}
	return report
}

func (l *LocalLimits) buildDemand(organisation string, u *localUsage, now time.Time) api.Demand {
	held := l.heldRates(u, now)
	return api.Demand{
		Organisation:          organisation,
		RequestsPerSecond:     u.requestMeter.readRate(now),
		TokensPerSecond:       max(0, u.tokenMeter.readRate(now)),
		CostPerSecond:         max(0, u.costMeter.readRate(now)),
		HasGrant:              now.Before(u.share.expiresAt),
		HeldRequestsPerSecond: held.Requests,
		HeldTokensPerSecond:   held.Tokens,
		HeldCost:              max(0, l.spendingLimit(u, now)-u.spent),
		Day:                   u.day,
		Spent:                 u.spent,
		AcknowledgedSpent:     u.acknowledgedSpent,
		KnownSpent:            u.knownSpent,
	}
}

// ApplyGrants applies the grants that are still valid. SentAt is when the report to which they reply was built.
func (l *LocalLimits) ApplyGrants(grants api.LimitGrants, sentAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range grants.Grants {
		g := &grants.Grants[i]
		u, ok := l.rows[g.Organisation]
		expires := sentAt.Add(min(time.Duration(g.ValidMillis)*time.Millisecond, ShareValidity))
		if !ok || !now.Before(expires) {
			continue
		}
		u.share.expiresAt = expires
		u.share.rates = Rates{Requests: g.RequestsPerSecond, Tokens: g.TokensPerSecond}
		if !g.Minority {
			u.lastConnected = sentAt
		}
		u.startDay(dayNumber(now))
		if g.Day == u.day {
			u.share.spendingLimit = g.AcknowledgedSpent + g.Cost
			u.acknowledgedSpent = g.AcknowledgedSpent
			u.knownSpent = max(u.knownSpent, g.TotalSpent)
		}
		l.updateBuckets(u, now)
	}
}

func (l *LocalLimits) row(organisation string, limit Limits, now time.Time) *localUsage {
	u, ok := l.rows[organisation]
	if !ok {
		u = &localUsage{day: dayNumber(now), lastConnected: now}
		u.requestMeter.intervalStart, u.tokenMeter.intervalStart, u.costMeter.intervalStart = now, now, now
		if l.fallbackFraction(now) > 0 {
			// When an organisation first appears on an instance that has been running, its buckets start full; updateBuckets
			// reduces the level to the burst. Otherwise the first request after a configuration change would be refused.
			u.requestBucket.level, u.tokenBucket.level = math.Inf(1), math.Inf(1)
		}
		l.rows[organisation] = u
	}
	u.limits = limit
	u.lastUsed = now
	u.startDay(dayNumber(now))
	return u
}

func (l *LocalLimits) sweep(now time.Time) {
	for organisation, u := range l.rows {
		if now.Sub(u.lastUsed) > rowRetention {
			delete(l.rows, organisation)
		}
	}
}

// updateBuckets sets the bucket rates to the share in force: that of the grant, or limit/n without a grant. Both decay while
// the instance is isolated; see isolationGracePeriod.
func (l *LocalLimits) updateBuckets(u *localUsage, now time.Time) {
	rates := l.heldRates(u, now)
	if l.instances > 1 {
		rates = rates.scale(isolatedFraction(now.Sub(u.lastConnected)))
	}
	equalShare := u.limits.scale(1 / float64(l.instances))
	u.requestBucket.setRate(rates.Requests, max(minBurstRequests, equalShare.Requests*burstWindow.Seconds()), now)
	u.tokenBucket.setRate(rates.Tokens, equalShare.Tokens*burstWindow.Seconds(), now)
}

// heldRates returns the granted share, or the fallback share without a valid grant.
func (l *LocalLimits) heldRates(u *localUsage, now time.Time) Rates {
	if now.Before(u.share.expiresAt) {
		return u.share.rates.min(u.limits.Rates)
	}
	return u.limits.scale(l.fallbackFraction(now))
}

// fallbackFraction returns the fraction of a limit that this instance uses without a grant; zero for ShareValidity after its
// start.
func (l *LocalLimits) fallbackFraction(now time.Time) float64 {
	if now.Sub(l.started) < ShareValidity {
		return 0
	}
	return 1 / float64(l.instances)
}

// spendingLimit returns the spending on the day up to which this instance admits requests. Without a grant, the instance may
// add an equal part of the cost that remained at the last reply of an allocator.
func (l *LocalLimits) spendingLimit(u *localUsage, now time.Time) float64 {
	if now.Before(u.share.expiresAt) {
		return u.share.spendingLimit
	}
	return u.acknowledgedSpent + max(0, u.limits.CostPerDay-u.knownSpent)*l.fallbackFraction(now)
}

func (u *localUsage) startDay(day int64) {
	if day == u.day {
		return
	}
	u.day, u.spent, u.acknowledgedSpent, u.knownSpent, u.share.spendingLimit = day, 0, 0, 0, 0
}

func (u *localUsage) spend(cost float64) {
	u.spent = max(0, u.spent+cost)
	u.costMeter.add(cost)
}

// costRetryAfter returns the time after which a retry can succeed: the next day if the limit is spent, else the next grant.
func (u *localUsage) costRetryAfter(now time.Time) time.Duration {
	if u.knownSpent < u.limits.CostPerDay {
		return largeFleetReportInterval
	}
	return time.Unix((u.day+1)*secondsPerDay, 0).Sub(now)
}

func limitExceeded(unit string, limit float64, wait time.Duration) *fault.Error {
	message := fmt.Sprintf("the organisation's limit of %g %s is used up", limit, unit)
	return fault.NotRun(fault.StepAdmit, fault.CodeLimitExceeded, message).
		WithAdvice("repeat the request after the stated wait").
		WithRetryAfter(max(wait, minRetryAfter))
}
