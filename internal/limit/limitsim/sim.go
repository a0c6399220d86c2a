// Package limitsim simulates the organisation limits: the real tables of internal/limit run in virtual time over an
// in-memory transport. It models the delay of membership changes, failures, starts and partitions, but not network latency.
package limitsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/limit"
)

const (
	tick = 10 * time.Millisecond
	// registrationLag is the time until the other instances see that an instance registered or deregistered;
	// deregistrationLag is the time until they remove a failed instance.
	registrationLag   = 2 * time.Second
	deregistrationLag = 30 * time.Second
	// organisation is the only organisation in a run.
	organisation = "organisation"
	// windowSeconds is the length of the windows in which the admitted work is compared with the limit.
	windowSeconds = 10
	// costPerToken is the cost of a request per token.
	costPerToken = 0.001
)

// Config describes one run.
type Config struct {
	Instances int
	Limits    limit.Limits
	// Demand is the arrival rate in requests per second.
	Demand float64
	// TokensPerRequest is the mean of the exponential distribution of tokens per request.
	TokensPerRequest float64
	// Skew is the exponent of the Zipf distribution of the demand over the instances; zero means equal demand.
	Skew float64
	// Reshuffle is the interval at which the demand is distributed anew over the instances; zero means never.
	Reshuffle time.Duration
	// Restart is the interval at which a random instance deregisters and stops and another starts; zero means never.
	Restart time.Duration
	// Kill is the interval at which a random instance fails without deregistering and another starts; zero means never.
	Kill time.Duration
	// KillAllocator is the time at which the organisation's allocator fails and another instance starts; zero means never.
	KillAllocator time.Duration
	// PartitionFrom and PartitionTo are the start and end of a partition between a third of the instances and the others;
	// zero means none.
	PartitionFrom time.Duration
	PartitionTo   time.Duration
	// Repartition is the interval at which the network is partitioned anew into two random sides; zero means never.
	Repartition time.Duration
	// Warmup is the time at the start of the run that the measurements leave out.
	Warmup time.Duration
	Length time.Duration
	Seed   uint64
}

// Ratios compares the admitted work with the limit after the warm-up.
type Ratios struct {
	// Mean is the ratio of the admitted work to the limit.
	Mean float64
	// Highest and Lowest are the extremes of this ratio over all windows of 10 s.
	Highest float64
	Lowest  float64
}

// Result holds the measurements of one run.
type Result struct {
	Requests Ratios
	Tokens   Ratios
	// RefusedFraction is the fraction of the requests after the warm-up that were refused.
	RefusedFraction float64
	// Cost is the cost of all requests admitted in the run, including the warm-up.
	Cost float64
	// ReportsPerSecond is the mean rate of the reports that allocators received.
	ReportsPerSecond float64
}

type instance struct {
	id           string
	local        *limit.LocalLimits
	allocator    *limit.Allocator
	nextReport   time.Time
	registeredAt time.Time
	// unregisteredAt is the time from which the other instances no longer see this one; zero while it runs.
	unregisteredAt time.Time
	cutOffSide     bool
	avoidedUntil   map[string]time.Time
}

type run struct {
	Config
	random            *rand.Rand
	start             time.Time
	now               time.Time
	instances         []*instance
	running           []*instance
	cumulativeWeights []float64
	startedCount      int
	reportCount       int
	admittedRequests  []float64
	admittedTokens    []float64
	admittedCost      float64
	arrivedCount      int
	refusedCount      int
}

// Run carries out one run. The same configuration always gives the same result.
func Run(c Config) Result {
	start := time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)
	r := &run{Config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), start: start, now: start}
	seconds := int(c.Length / time.Second)
	r.admittedRequests, r.admittedTokens = make([]float64, seconds), make([]float64, seconds)
	for range c.Instances {
		in := r.launch()
		in.registeredAt = start.Add(-time.Minute)
		r.running = append(r.running, in)
	}
	r.shuffleWeights()
	for r.now.Before(start.Add(c.Length)) {
		r.applyEvents()
		r.sendReports()
		r.admitArrivals()
		r.now = r.now.Add(tick)
	}
	return r.result()
}

func (r *run) elapsed() time.Duration { return r.now.Sub(r.start) }

func (r *run) due(interval time.Duration) bool {
	return interval > 0 && r.elapsed() > 0 && r.elapsed()%interval == 0
}

func (r *run) launch() *instance {
	r.startedCount++
	in := &instance{id: fmt.Sprintf("instance-%d", r.startedCount), registeredAt: r.now, avoidedUntil: map[string]time.Time{}}
	in.local = limit.NewLocalLimits(in.id, r.now)
	in.allocator = limit.NewAllocator()
	in.nextReport = r.now.Add(time.Duration(r.random.Int64N(int64(limit.ReportInterval(r.Instances)))))
	if r.elapsed() > 0 {
		in.nextReport = r.now
	}
	r.instances = append(r.instances, in)
	return in
}

// replaceInstance stops an instance, which the others still see as registered for the given time, and starts another that
// receives its traffic.
func (r *run) replaceInstance(index int, visibleFor time.Duration) {
	r.running[index].unregisteredAt = r.now.Add(visibleFor)
	r.running[index] = r.launch()
}

func (r *run) applyEvents() {
	if r.due(r.Restart) {
		r.replaceInstance(r.random.IntN(len(r.running)), registrationLag)
	}
	if r.due(r.Kill) {
		r.replaceInstance(r.random.IntN(len(r.running)), deregistrationLag)
	}
	if r.KillAllocator > 0 && r.elapsed() == r.KillAllocator {
		allocator := r.findRunning(limit.AllocatorFor(organisation, r.members(nil), noneAvoided))
		for i, in := range r.running {
			if in == allocator {
				r.replaceInstance(i, deregistrationLag)
			}
		}
	}
	if r.due(r.Reshuffle) {
		r.shuffleWeights()
	}
	if r.PartitionFrom > 0 && r.elapsed() == r.PartitionFrom {
		for i, in := range r.running {
			in.cutOffSide = i%3 == 0
		}
	}
	if r.due(r.Repartition) {
		r.repartition()
	}
	if r.PartitionTo > 0 && r.elapsed() == r.PartitionTo {
		for _, in := range r.running {
			in.cutOffSide = false
		}
	}
}

// repartition divides the running instances into two sides of random sizes; one side may be empty.
func (r *run) repartition() {
	size := r.random.IntN(len(r.running))
	for place, index := range r.random.Perm(len(r.running)) {
		r.running[index].cutOffSide = place < size
	}
}

// shuffleWeights assigns the Zipf weights to the running instances in a new random order.
func (r *run) shuffleWeights() {
	order := r.random.Perm(len(r.running))
	r.cumulativeWeights = make([]float64, len(r.running))
	var sum float64
	for i, place := range order {
		sum += math.Pow(float64(place+1), -r.Skew)
		r.cumulativeWeights[i] = sum
	}
}

// members returns the registered instances as seen by the viewer, which always sees itself. A nil viewer sees only instances
// registered for at least registrationLag.
func (r *run) members(viewer *instance) []string {
	var ids []string
	for _, in := range r.instances {
		seen := in == viewer || r.now.Sub(in.registeredAt) >= registrationLag
		if seen && (in.unregisteredAt.IsZero() || r.now.Before(in.unregisteredAt)) {
			ids = append(ids, in.id)
		}
	}
	return ids
}

func (r *run) limits(string) limit.Limits { return r.Limits }

func noneAvoided(string) bool { return false }

// avoidPeriod is how long an instance avoids an allocator that did not answer; limit.Reporter uses the same value.
const avoidPeriod = 5 * time.Second

func (r *run) sendReports() {
	for _, in := range r.running {
		if r.now.Before(in.nextReport) {
			continue
		}
		members := r.members(in)
		in.nextReport = r.now.Add(limit.ReportInterval(len(members)))
		in.local.SetInstances(len(members))
		for range 2 {
			if r.tryReport(in, members) {
				break
			}
		}
	}
}

func (r *run) tryReport(in *instance, members []string) bool {
	id := limit.AllocatorFor(organisation, members, func(m string) bool { return r.now.Before(in.avoidedUntil[m]) })
	allocator := r.findRunning(id)
	report := in.local.BuildReport([]string{organisation}, r.limits, r.now)
	if allocator == nil || allocator.cutOffSide != in.cutOffSide {
		in.avoidedUntil[id] = r.now.Add(avoidPeriod)
		return false
	}
	r.reportCount++
	in.local.ApplyGrants(r.requestGrants(allocator, report), r.now, r.now)
	return true
}

func (r *run) requestGrants(allocator *instance, report api.DemandReport) api.LimitGrants {
	return allocator.allocator.HandleReport(report, r.members(allocator), r.limits, r.now)
}

func (r *run) findRunning(id string) *instance {
	for _, in := range r.running {
		if in.id == id {
			return in
		}
	}
	return nil
}

func (r *run) admitArrivals() {
	count := r.poisson(r.Demand * tick.Seconds())
	second := int(r.elapsed() / time.Second)
	for range count {
		target := sort.SearchFloat64s(r.cumulativeWeights, r.random.Float64()*r.cumulativeWeights[len(r.cumulativeWeights)-1])
		usage := limit.Usage{Tokens: 1 + r.random.ExpFloat64()*r.TokensPerRequest}
		usage.Cost = usage.Tokens * costPerToken
		refused := r.running[target].local.Admit(organisation, r.Limits, usage, r.now)
		if r.elapsed() >= r.Warmup {
			r.arrivedCount++
		}
		if refused == nil {
			r.admittedRequests[second]++
			r.admittedTokens[second] += usage.Tokens
			r.admittedCost += usage.Cost
		} else if r.elapsed() >= r.Warmup {
			r.refusedCount++
		}
	}
}

func (r *run) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), r.random.Float64(), 0
	for product > limit {
		product *= r.random.Float64()
		n++
	}
	return n
}

func (r *run) result() Result {
	warmupSeconds := int(r.Warmup / time.Second)
	return Result{
		Requests:         computeRatios(r.admittedRequests[warmupSeconds:], r.Limits.Requests),
		Tokens:           computeRatios(r.admittedTokens[warmupSeconds:], r.Limits.Tokens),
		RefusedFraction:  float64(r.refusedCount) / float64(max(1, r.arrivedCount)),
		Cost:             r.admittedCost,
		ReportsPerSecond: float64(r.reportCount) / r.Length.Seconds(),
	}
}

func computeRatios(perSecond []float64, limitPerSecond float64) Ratios {
	if limitPerSecond <= 0 || len(perSecond) < windowSeconds {
		return Ratios{}
	}
	var total, running float64
	out := Ratios{Lowest: math.Inf(1)}
	for i, v := range perSecond {
		total += v
		running += v
		if i >= windowSeconds {
			running -= perSecond[i-windowSeconds]
		}
		if i >= windowSeconds-1 {
			out.Highest = max(out.Highest, running/(limitPerSecond*windowSeconds))
			out.Lowest = min(out.Lowest, running/(limitPerSecond*windowSeconds))
		}
	}
	out.Mean = total / (limitPerSecond * float64(len(perSecond)))
	return out
}
