// Package limit keeps the limits of an organisation (requests per second, tokens per second, cost per day) over all
// instances without a central counter. For each organisation the allocator, an instance chosen by rendezvous hash, hands out
// shares of the limit by demand. A share is valid for 3 s. An instance without a valid share uses limit/n, and the allocator
// keeps that much back for each registered instance that it does not hear from, so that the sum stays within the limit
// during partitions, whichever instances believe to be the allocator. On the side of a minority the rates fall to half within
// 10 s, and the allocator of a majority keeps back less accordingly.
package limit

import (
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/rendezvous"
)

const (
	// Validity is the time for which a share holds, from the start of the report that it answers.
	Validity = 3 * time.Second
	// reportInterval is the time between two reports of an instance in a large fleet.
	reportInterval = time.Second
	// smallFleet is the number of instances up to which the reports are more frequent. With 40 instances and 10 limited
	// organisations, reports each half second brought an idle instance to 22 KB/s of its 15.
	smallFleet = 10
	// lateAfter is the silence after which the allocator expects an instance to fall back to limit/n, so that the others
	// have given up that much when it does.
	lateAfter = 1500 * time.Millisecond
	// aloneFull is the time for which an instance that reaches no allocator with half of the fleet keeps its whole part; a
	// change of allocator takes up to Validity twice. In aloneFall it then falls to aloneLeast of it, and the others may use
	// what it gives up. It does not fall to zero, because an instance that is cut off has to go on serving.
	aloneFull  = 6 * time.Second
	aloneFall  = 4 * time.Second
	aloneLeast = 0.5
	// secondsPerDay converts a time to a day number in UTC.
	secondsPerDay = 24 * 60 * 60
)

// Rates are a pair of rates; zero in a limit means unlimited.
type Rates struct {
	Requests float64 // per second
	Tokens   float64 // per second
}

// Limits are an organisation's limits; zero means unlimited.
type Limits struct {
	Rates
	// CostPerDay is in cost units per UTC day.
	CostPerDay float64
}

// FromDeclaration returns the limits that a declaration states.
func FromDeclaration(l api.OrganisationLimits) Limits {
	return Limits{Rates: Rates{Requests: l.RequestsPerSecond, Tokens: l.TokensPerSecond}, CostPerDay: l.CostPerDay}
}

// Unlimited reports whether no limit is set.
func (l Limits) Unlimited() bool { return l == Limits{} }

func (r Rates) plus(o Rates) Rates { return Rates{r.Requests + o.Requests, r.Tokens + o.Tokens} }

func (r Rates) minus(o Rates) Rates { return Rates{r.Requests - o.Requests, r.Tokens - o.Tokens} }

func (r Rates) times(f float64) Rates { return Rates{r.Requests * f, r.Tokens * f} }

func (r Rates) max(o Rates) Rates {
	return Rates{max(r.Requests, o.Requests), max(r.Tokens, o.Tokens)}
}

func (r Rates) min(o Rates) Rates {
	return Rates{min(r.Requests, o.Requests), min(r.Tokens, o.Tokens)}
}

func dayOf(now time.Time) int64 { return now.Unix() / secondsPerDay }

// Owner returns the allocator of the organisation among the members that are not avoided, or "" if there are none. When a
// member comes or goes, only the organisations that it owns move. Instances that choose differently, because they reach or
// know other members, do no harm: each allocator keeps limit/n back for every instance that does not report to it.
func Owner(organisation string, members []string, avoid func(member string) bool) string {
	reachable := make([]string, 0, len(members))
	for _, member := range members {
		if !avoid(member) {
			reachable = append(reachable, member)
		}
	}
	return rendezvous.Owner(organisation, reachable)
}

// Batch is the set of organisations with one allocator.
type Batch struct {
	Owner         string
	Organisations []string
}

// Batches groups the organisations by allocator, ordered by owner. Organisations without one are left out.
func Batches(organisations, members []string, avoid func(member string) bool) []Batch {
	byOwner := map[string][]string{}
	for _, organisation := range organisations {
		owner := Owner(organisation, members, avoid)
		if owner != "" {
			byOwner[owner] = append(byOwner[owner], organisation)
		}
	}
	batches := make([]Batch, 0, len(byOwner))
	for owner, owned := range byOwner {
		batches = append(batches, Batch{Owner: owner, Organisations: owned})
	}
	sort.Slice(batches, func(i, j int) bool { return batches[i].Owner < batches[j].Owner })
	return batches
}

// Interval returns the time between two reports of an instance. Of the reports within Validity at least one may be lost.
// Small fleets report twice as often, because one instance's share is a large part of the limit there.
func Interval(instances int) time.Duration {
	if instances <= smallFleet {
		return reportInterval / 2
	}
	return reportInterval
}

// aloneAfter returns the part of its rates that an instance keeps after the time without an allocator that hears half of the
// fleet.
func aloneAfter(silence time.Duration) float64 {
	fallen := min(max(0, (silence-aloneFull).Seconds()/aloneFall.Seconds()), 1)
	return 1 - fallen*(1-aloneLeast)
}
