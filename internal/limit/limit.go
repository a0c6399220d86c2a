// Package limit enforces the limits of an organisation (requests per second, tokens per second, cost per day) across all
// instances without a central counter. For each organisation one instance, chosen by rendezvous hashing, is the allocator:
// it grants shares of the limit to the instances in proportion to their demand. A share is valid for 3 s. An instance
// without a valid share uses limit/n, where n is the number of registered instances, and the allocator reserves limit/n for
// each registered instance that does not report to it. The sum therefore stays within the limit during partitions, even if
// several instances act as the allocator. On the minority side of a partition the rates fall to half within 10 s, and an
// allocator on the majority side reserves less accordingly.
package limit

import (
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/rendezvous"
)

const (
	// ShareValidity is how long a share is valid, counted from the start of the report to which the grant replies.
	ShareValidity = 3 * time.Second
	// largeFleetReportInterval is the time between two reports of an instance in a large fleet.
	largeFleetReportInterval = time.Second
	// smallFleetSize is the number of instances up to which each instance reports twice as often. With 40 instances and 10
	// limited organisations, reports every half second cost an idle instance 22 KB/s, above its bound of 15 KB/s.
	smallFleetSize = 10
	// reportOverdueAfter is the time since the last report of an instance after which the allocator reserves at least
	// limit/n for it. It is shorter than ShareValidity, so that the other instances have reduced their rates when the
	// instance falls back to limit/n.
	reportOverdueAfter = 1500 * time.Millisecond
	// isolationGracePeriod is how long an isolated instance keeps its full rates. An instance is isolated if it reaches no
	// allocator that receives reports from at least half of the instances. A change of allocator takes up to twice
	// ShareValidity. During isolationDecayPeriod the rates then fall to isolationMinFraction of their value, and the other
	// instances may use the difference. They do not fall to zero, because an isolated instance must continue to serve.
	isolationGracePeriod = 6 * time.Second
	isolationDecayPeriod = 4 * time.Second
	isolationMinFraction = 0.5
	// secondsPerDay converts a time to a day number in UTC.
	secondsPerDay = 24 * 60 * 60
)

// Rates are the rates of requests and of tokens; zero in a limit means unlimited.
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

// FromDeclaration returns the limits that the configuration declares for an organisation.
func FromDeclaration(l api.OrganisationLimits) Limits {
	return Limits{Rates: Rates{Requests: l.RequestsPerSecond, Tokens: l.TokensPerSecond}, CostPerDay: l.CostPerDay}
}

// Unlimited reports whether no limit is set.
func (l Limits) Unlimited() bool { return l == Limits{} }

func (r Rates) add(o Rates) Rates { return Rates{r.Requests + o.Requests, r.Tokens + o.Tokens} }

func (r Rates) subtract(o Rates) Rates { return Rates{r.Requests - o.Requests, r.Tokens - o.Tokens} }

func (r Rates) scale(f float64) Rates { return Rates{r.Requests * f, r.Tokens * f} }

func (r Rates) max(o Rates) Rates {
	return Rates{max(r.Requests, o.Requests), max(r.Tokens, o.Tokens)}
}

func (r Rates) min(o Rates) Rates {
	return Rates{min(r.Requests, o.Requests), min(r.Tokens, o.Tokens)}
}

// dayNumber returns the number of the UTC day.
func dayNumber(now time.Time) int64 { return now.Unix() / secondsPerDay }

// AllocatorFor returns the allocator of the organisation among the members that are not avoided, or "" if there is no such
// member. When a member joins or leaves, only the organisations that it allocates move to another allocator. Instances may
// choose different allocators, because they reach or know different members, without exceeding the limit: each allocator
// reserves limit/n for every registered instance that does not report to it.
func AllocatorFor(organisation string, members []string, avoided func(member string) bool) string {
	reachable := make([]string, 0, len(members))
	for _, member := range members {
		if !avoided(member) {
			reachable = append(reachable, member)
		}
	}
	return rendezvous.Owner(organisation, reachable)
}

// Batch is the set of organisations that share an allocator.
type Batch struct {
	Allocator     string
	Organisations []string
}

// Batches groups the organisations by allocator, ordered by allocator, and leaves out organisations without an
// allocator.
func Batches(organisations, members []string, avoided func(member string) bool) []Batch {
	byAllocator := map[string][]string{}
	for _, organisation := range organisations {
		allocator := AllocatorFor(organisation, members, avoided)
		if allocator != "" {
			byAllocator[allocator] = append(byAllocator[allocator], organisation)
		}
	}
	batches := make([]Batch, 0, len(byAllocator))
	for allocator, assigned := range byAllocator {
		batches = append(batches, Batch{Allocator: allocator, Organisations: assigned})
	}
	sort.Slice(batches, func(i, j int) bool { return batches[i].Allocator < batches[j].Allocator })
	return batches
}

// ReportInterval returns the time between two reports of an instance. It is short enough that at least one report within
// ShareValidity may be lost. Instances of small fleets report twice as often, because the share of one instance is a large
// part of the limit there.
func ReportInterval(instances int) time.Duration {
	if instances <= smallFleetSize {
		return largeFleetReportInterval / 2
	}
	return largeFleetReportInterval
}

// isolatedFraction returns the fraction of its rates that an instance keeps after it has been isolated for the given time;
// see isolationGracePeriod.
func isolatedFraction(isolatedFor time.Duration) float64 {
	decayed := min(max(0, (isolatedFor-isolationGracePeriod).Seconds()/isolationDecayPeriod.Seconds()), 1)
	return 1 - decayed*(1-isolationMinFraction)
}
