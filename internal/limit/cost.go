package limit

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// startDay resets the spending when a later day begins.
func (acc *account) startDay(day int64) {
	if day <= acc.day {
		return
	}
	acc.day, acc.totalSpent = day, 0
	for _, m := range acc.members {
		m.spent, m.maxCost, m.fallbackCost = 0, 0, 0
	}
}

// grantCost counts the reported spending of the instance and returns the cost that it may spend next; zero for a past day.
//
// Each instance reports its spending on the day, the part of it that an allocator has acknowledged, and the largest total
// that an allocator has told it. A new allocator starts from the largest reported total and adds the unacknowledged
// spending, so the day's spending survives a change of allocator. An allocator that has kept the account throughout adds the
// difference from its own record, so it also counts what an instance spent while a partition made it report elsewhere. Only
// the spending of an instance after its last report is lost when the instance fails.
func (acc *account) grantCost(id string, d *api.Demand, limit float64, now time.Time) float64 {
	m := acc.members[id]
	acc.startDay(d.Day)
	if d.Day != acc.day {
		return 0
	}
	if !m.spentKnown {
		m.spentKnown = true
		m.spent = d.AcknowledgedSpent
		acc.totalSpent = max(acc.totalSpent, d.KnownSpent)
	}
	acc.totalSpent += max(0, d.Spent-m.spent)
	m.spent = max(m.spent, d.Spent)

	n := float64(len(acc.members))
	remaining := max(0, limit-acc.totalSpent)
	available := max(0, remaining-acc.costUsedByOthers(id, remaining/n, now))
	granted := min(available, d.CostPerSecond*costGrantPeriod.Seconds()+costSpreadFraction*available/n)
	if acc.learning(now) {
		granted = min(available, max(d.HeldCost, costSpreadFraction*available/n))
	}
	m.maxCost = max(d.HeldCost, granted)
	m.fallbackCost = remaining / n
	return granted
}

// costUsedByOthers returns the maximum that all other instances may spend before their next reports; equalShare is an equal
// part of the remaining cost.
func (acc *account) costUsedByOthers(id string, equalShare float64, now time.Time) float64 {
	var used float64
	for other, m := range acc.members {
		switch {
		case other == id:
		case m.lastReport.IsZero():
			// Set only once: it must not shrink while the reporting instances spend.
			if m.fallbackCost == 0 {
				m.fallbackCost = equalShare
			}
			used += m.fallbackCost
		case now.Sub(m.lastReport) > reportOverdueAfter:
			used += max(m.maxCost, m.fallbackCost)
		default:
			used += m.maxCost
		}
	}
	return used
}
