package limit

import "time"

const (
	// headroom is the factor by which a share exceeds the demand while the limit is not reached.
	headroom = 1.1
	// spread is the part of the unused limit that is divided equally, so that an instance can admit a sudden rise at once.
	// The rest is there for instances that have just started.
	spread = 0.75
	// overlap is the factor of the limit up to which shares that are about to end and shares that replace them may add up.
	// The wanted shares add up to the limit. Without the overlap, noise in the demand kept 5% of the limit idle; at 1.04,
	// partitions that change every 5 s reached 5.3% above the limit in 2 of 900 runs.
	overlap = 1.03
	// summaryAge is the age up to which a summary is used, so that the cost of the sums does not grow with the number of
	// reports.
	summaryAge = 50 * time.Millisecond
)

// summary holds the sums over all instances on which shares are decided.
type summary struct {
	at      time.Time
	limit   Rates
	members int
	alone   Rates // limit/n
	// used is the most that all instances may use at the moment.
	used Rates
	// capacity is the limit without what unheard instances may use; demand is the sum over the heard ones.
	capacity Rates
	demand   Rates
	heard    float64
}

// summarise computes the summary unless it is young and nothing but demand has changed.
func (acc *account) summarise(limit Rates, now time.Time) {
	s := &acc.sum
	if now.Sub(s.at) < summaryAge && s.limit == limit && s.members == len(acc.members) {
		return
	}
	*s = summary{at: now, limit: limit, members: len(acc.members), capacity: limit}
	s.alone = limit.times(1 / float64(s.members))
	acc.countHeard(now)
	for _, m := range acc.members {
		m.counts = acc.mayUse(m, s.alone, now)
		s.used = s.used.plus(m.counts)
		if m.silent(now) {
			s.capacity = s.capacity.minus(m.counts)
			continue
		}
		s.demand = s.demand.plus(m.demand)
	}
}

// countHeard counts the heard instances and notes since when they are the majority.
func (acc *account) countHeard(now time.Time) {
	for _, m := range acc.members {
		if !m.silent(now) {
			acc.sum.heard++
		}
	}
	half := float64(len(acc.members)) / 2
	acc.halfSince = since(acc.halfSince, acc.sum.heard >= half, now)
	acc.majoritySince = since(acc.majoritySince, acc.sum.heard > half, now)
}

// since returns the time since which a condition holds, zero if it does not.
func since(before time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	default:
		return before
	}
}

// room returns what the instance may use at most beside all others.
func (s *summary) room(m *member) Rates {
	return s.limit.times(overlap).minus(s.used.minus(m.counts)).max(Rates{})
}

// target returns the share that an instance with the demand should have: in proportion to its demand when the heard instances
// ask for more than there is, so that each refuses the same part; else its demand with headroom and an equal part of what is
// unused. In a trial, max-min shares were exact under equal demand, but 12% of the limit stayed idle under skewed demand, because
// the many instances below the common level keep their headroom.
func (s *summary) target(demand Rates) Rates {
	return Rates{
		Requests: part(demand.Requests, s.demand.Requests, s.capacity.Requests, s.heard),
		Tokens:   part(demand.Tokens, s.demand.Tokens, s.capacity.Tokens, s.heard),
	}
}

func part(demand, sum, capacity, heard float64) float64 {
	unused := capacity - sum*headroom
	if unused < 0 {
		return max(0, capacity) * demand / sum
	}
	return demand*headroom + spread*unused/max(1, heard)
}
