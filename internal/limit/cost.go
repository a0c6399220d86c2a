package limit

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// startDay moves the account to a later day.
func (acc *account) startDay(day int64) {
	if day <= acc.day {
		return
	}
	acc.day, acc.total = day, 0
	for _, m := range acc.members {
		m.spent, m.costUse, m.costAlone = 0, 0, 0
	}
}

// cost counts what the instance spent and decides what it may spend next. Zero is granted for a day that has passed.
//
// Each instance reports its spending on the day, the part of it that an allocator has acknowledged, and the total that it
// heard. A new allocator starts from the largest total that it hears and adds what was not acknowledged, so the day's
// spending outlives allocators. An allocator that was in charge all the time adds the difference to its own record, so it
// also counts what an instance spent while a partition made it report elsewhere. Only what an instance spent after its last
// report is lost with it.
func (acc *account) cost(id string, d *api.Demand, limit float64, now time.Time) float64 {
	m := acc.members[id]
	acc.startDay(d.Day)
	if d.Day != acc.day {
		return 0
	}
	if !m.counted {
		m.counted = true
		m.spent = d.AcknowledgedSpent
		acc.total = max(acc.total, d.KnownSpent)
	}
	acc.total += max(0, d.Spent-m.spent)
	m.spent = max(m.spent, d.Spent)

	n := float64(len(acc.members))
	remaining := max(0, limit-acc.total)
	room := max(0, remaining-acc.costUsedByOthers(id, remaining/n, now))
	amount := min(room, d.CostPerSecond*costAhead.Seconds()+costSpread*room/n)
	if acc.learning(now) {
		amount = min(room, max(d.HeldCost, costSpread*room/n))
	}
	m.costUse = max(d.HeldCost, amount)
	m.costAlone = remaining / n
	return amount
}

// costUsedByOthers returns the most that all other instances may spend before they are heard again.
func (acc *account) costUsedByOthers(id string, alone float64, now time.Time) float64 {
	var used float64
	for other, m := range acc.members {
		switch {
		case other == id:
		case m.heard.IsZero():
			// Fixed at the first look: it must not shrink while the instances that are heard spend.
			if m.costAlone == 0 {
				m.costAlone = alone
			}
			used += m.costAlone
		case now.Sub(m.heard) > lateAfter:
			used += max(m.costUse, m.costAlone)
		default:
			used += m.costUse
		}
	}
	return used
}
