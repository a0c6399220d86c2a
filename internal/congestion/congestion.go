// Package congestion decides which part of the load of a service is admitted while requests wait for its servers.
package congestion

import (
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// sampleCount is the number of answers whose shortest time is the level of congestion. With fewer, requests that take long by themselves
	// caused refusals while there was room (played load).
	sampleCount = 5
	// sampleAge is the age above which an answer says nothing of the present load. A queue of 25 requests of 60 ms at 6 slots empties in 0.25 s, but
	// an instance with two requests a second gets the answers of the samples in 2.5 s.
	sampleAge = 3 * time.Second
	// RefusalLevel is the level of an attempt that a server refused for want of room.
	RefusalLevel = 2.0
	// admitAllLevel is the level up to which all requests are admitted: without a queue, the shortest of a few answers takes less than half of the
	// target. From admitLeastLevel on, where most answers are late, leastFraction is admitted, which shows when there is room again.
	admitAllLevel   = 0.45
	admitLeastLevel = 0.9
	leastFraction   = 0.1
	// priorityLevel is added to the level for each priority by which a request is less urgent than others of its service.
	priorityLevel = 0.1
	// returnedFraction is the fraction of the longest time that callers of a route allow below which a request is taken for one of a caller that
	// returned after a refusal, and returnedGap is the number of priorities by which such a request is less urgent: its answer is late
	// already. While more requests arrive than the servers can run, as many callers fail whoever goes first, but fewer are late.
	returnedFraction = 0.9
	returnedGap      = 1
	// minReturnFraction and maxReturnFraction bound the time after which a refused caller should return, as fractions of the time that it has left.
	// Callers wait for up to a third of it.
	minReturnFraction = 0.13
	maxReturnFraction = 0.33
	// maxNames bounds the services and the routes that are held, whose names change with the configuration.
	maxNames = 1024
	// allowanceDecay is the factor by which the longest time that callers allow falls with each request, so that it follows callers that allow less.
	allowanceDecay = 0.999
)

// AdmittedFraction returns the fraction of the requests that is admitted at a level of congestion.
func AdmittedFraction(level float64) float64 {
	excess := (level - admitAllLevel) / (admitLeastLevel - admitAllLevel)
	return min(1, max(leastFraction, 1-excess*(1-leastFraction)))
}

// Request is what the decision on a request depends on.
type Request struct {
	Service string
	Route   string
	// PriorityGap is the number of priorities by which the request is less urgent than the most urgent ones of its service.
	PriorityGap int
	// TimeLeft is the time that the caller still allows; zero if it is unknown.
	TimeLeft time.Duration
}

// Decision says whether a request is admitted.
type Decision struct {
	Admitted bool
	// Level and Fraction are the level of congestion and the fraction of such requests that is admitted.
	Level    float64
	Fraction float64
	// RetryAfter is the time after which the caller of a refused request should return.
	RetryAfter time.Duration
}

// Table holds the recent answers of services and decides on requests. It is safe for concurrent use.
type Table struct {
	mu       *lockorder.Mutex
	services map[string]*samples
	// allowances holds the longest time that callers of a route allow, by route.
	allowances map[string]time.Duration
}

// NewTable returns a table without answers, which admits all requests.
func NewTable() *Table {
	return &Table{mu: lockorder.New(lockorder.RankCongestion), services: map[string]*samples{}, allowances: map[string]time.Duration{}}
}

// samples holds the last answers of a service, in a ring.
type samples struct {
	levels [sampleCount]float64
	times  [sampleCount]time.Time
	next   int
}

// level returns the smallest of the last levels; 0 if there are too few recent ones to know.
func (s *samples) level(now time.Time) float64 {
	smallest := RefusalLevel
	for i := range s.levels {
		if s.times[i].IsZero() || now.Sub(s.times[i]) > sampleAge {
			return 0
		}
		smallest = min(smallest, s.levels[i])
	}
	return smallest
}

// Observe records an answer of a server. The level is the response time relative to the target, or RefusalLevel.
func (t *Table) Observe(service string, level float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[service]
	if !ok {
		if len(t.services) >= maxNames {
			clear(t.services)
		}
		s = &samples{}
		t.services[service] = s
	}
	s.levels[s.next], s.times[s.next] = level, now
	s.next = (s.next + 1) % sampleCount
}

// Level returns the level of congestion of a service; 0 while it is unknown.
func (t *Table) Level(service string, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.services[service]; ok {
		return s.level(now)
	}
	return 0
}

// Decide decides on a request that arrives now.
func (t *Table) Decide(request Request, rng *rand.Rand, now time.Time) Decision {
	t.recordAllowance(request)
	return t.Preview(request, rng, now)
}

// Preview returns what Decide would return, without recording the request.
func (t *Table) Preview(request Request, rng *rand.Rand, now time.Time) Decision {
	level := t.Level(request.Service, now)
	gap := float64(request.PriorityGap)
	if t.hasReturned(request) {
		gap += returnedGap
	}
	decision := Decision{Level: level, Fraction: AdmittedFraction(level + priorityLevel*gap)}
	if level <= admitAllLevel {
		// Without congestion, less urgent requests are admitted too.
		decision.Fraction = 1
	}
	decision.Admitted = rng.Float64() < decision.Fraction
	if !decision.Admitted {
		part := minReturnFraction + (maxReturnFraction-minReturnFraction)*rng.Float64()
		decision.RetryAfter = time.Duration(part * float64(request.TimeLeft))
	}
	return decision
}

// recordAllowance records how long the caller of a request waits.
func (t *Table) recordAllowance(request Request) {
	if request.TimeLeft <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.allowances) >= maxNames {
		clear(t.allowances)
	}
	t.allowances[request.Route] = max(request.TimeLeft, time.Duration(allowanceDecay*float64(t.allowances[request.Route])))
}

// hasReturned reports whether the caller of the request allows so much less time than others of its route that it has probably returned after a
// refusal.
func (t *Table) hasReturned(request Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return request.TimeLeft > 0 && float64(request.TimeLeft) < returnedFraction*float64(t.allowances[request.Route])
}
