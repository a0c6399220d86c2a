// Package limitsim measures the organisation limits at the level of decisions: the real tables of internal/limit run in
// virtual time over an in-memory transport. It models membership lag, failures, starts and partitions, not the network's
// speed.
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
	// joinLag is the time until the other instances see a registration; goneLag until they drop a dead one.
	joinLag = 2 * time.Second
	goneLag = 30 * time.Second
	// organisation is the only organisation of a run.
	organisation = "organisation"
	// window is the length over which the admitted work is compared with the limit.
	window = 10
	// costPerToken makes the cost follow the tokens.
	costPerToken = 0.001
)

// Config describes one run.
type Config struct {
	Instances int
	Limits    limit.Limits
	// Demand is the arrival rate in requests per second.
	Demand float64
	// TokensPerRequest is the mean; the distribution is exponential.
	TokensPerRequest float64
	// Skew is the exponent of the Zipf weights by which the demand falls on the instances; zero is equal.
	Skew float64
	// Reshuffle changes at this interval which instances get much; zero means never.
	Reshuffle time.Duration
	// Restart stops a random instance, which deregisters, and starts another at this interval; zero means never.
	Restart time.Duration
	// Kill lets a random instance die and starts another at this interval; zero means never.
	Kill time.Duration
	// KillOwner kills the organisation's allocator at this time; zero means never.
	KillOwner time.Duration
	// PartitionFrom and PartitionTo bound a partition that cuts off a third of the instances from the others.
	PartitionFrom time.Duration
	PartitionTo   time.Duration
	// Recut divides the instances into two new random sides at this interval; zero means never.
	Recut time.Duration
	// Warmup is left out of the figures.
	Warmup time.Duration
	Length time.Duration
	Seed   uint64
}

// Ratios compares admitted work with the limit.
type Ratios struct {
	// Mean is admitted work divided by the limit after the warm-up.
	Mean float64
	// Highest and Lowest are the extremes over all windows of 10 s.
	Highest float64
	Lowest  float64
}

// Result holds the figures of one run.
type Result struct {
	Requests Ratios
	Tokens   Ratios
	// Refused is the share of requests refused after the warm-up.
	Refused float64
	// Cost is the cost admitted in the whole run.
	Cost float64
	// ReportsPerSecond is the mean rate of reports that one allocator took.
	ReportsPerSecond float64
}

type instance struct {
	id        string
	local     *limit.Local
	allocator *limit.Allocator
	next      time.Time
	joined    time.Time
	// gone is the time from which the others no longer see the instance; zero while it runs.
	gone    time.Time
	cutOff  bool
	avoided map[string]time.Time
}

type run struct {
	Config
	random   *rand.Rand
	start    time.Time
	now      time.Time
	all      []*instance
	alive    []*instance
	sums     []float64
	started  int
	reports  int
	requests []float64
	tokens   []float64
	cost     float64
	asked    int
	refused  int
}

// Run carries out one run. The same configuration always gives the same result.
func Run(c Config) Result {
	start := time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)
	r := &run{Config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), start: start, now: start}
	seconds := int(c.Length / time.Second)
	r.requests, r.tokens = make([]float64, seconds), make([]float64, seconds)
	for range c.Instances {
		in := r.launch()
		in.joined = start.Add(-time.Minute)
		r.alive = append(r.alive, in)
	}
	r.shuffle()
	for r.now.Before(start.Add(c.Length)) {
		r.events()
		r.report()
		r.arrive()
		r.now = r.now.Add(tick)
	}
	return r.result()
}

func (r *run) elapsed() time.Duration { return r.now.Sub(r.start) }

func (r *run) due(interval time.Duration) bool {
	return interval > 0 && r.elapsed() > 0 && r.elapsed()%interval == 0
}

func (r *run) launch() *instance {
	r.started++
	in := &instance{id: fmt.Sprintf("instance-%d", r.started), joined: r.now, avoided: map[string]time.Time{}}
	in.local = limit.NewLocal(in.id, r.now)
	in.allocator = limit.NewAllocator()
	in.next = r.now.Add(time.Duration(r.random.Int64N(int64(limit.Interval(r.Instances)))))
	if r.elapsed() > 0 {
		in.next = r.now
	}
	r.all = append(r.all, in)
	return in
}

// replace ends an instance after which the others see it for the given time, and starts one that gets its traffic.
func (r *run) replace(index int, seen time.Duration) {
	r.alive[index].gone = r.now.Add(seen)
	r.alive[index] = r.launch()
}

func (r *run) events() {
	if r.due(r.Restart) {
		r.replace(r.random.IntN(len(r.alive)), joinLag)
	}
	if r.due(r.Kill) {
		r.replace(r.random.IntN(len(r.alive)), goneLag)
	}
	if r.KillOwner > 0 && r.elapsed() == r.KillOwner {
		owner := r.find(limit.Owner(organisation, r.members(nil), nobody))
		for i, in := range r.alive {
			if in == owner {
				r.replace(i, goneLag)
			}
		}
	}
	if r.due(r.Reshuffle) {
		r.shuffle()
	}
	if r.PartitionFrom > 0 && r.elapsed() == r.PartitionFrom {
		for i, in := range r.alive {
			in.cutOff = i%3 == 0
		}
	}
	if r.due(r.Recut) {
		r.recut()
	}
	if r.PartitionTo > 0 && r.elapsed() == r.PartitionTo {
		for _, in := range r.alive {
			in.cutOff = false
		}
	}
}

// recut divides the live instances into two sides of random sizes; one of them may be empty.
func (r *run) recut() {
	size := r.random.IntN(len(r.alive))
	for place, index := range r.random.Perm(len(r.alive)) {
		r.alive[index].cutOff = place < size
	}
}

// shuffle gives the live instances new weights.
func (r *run) shuffle() {
	order := r.random.Perm(len(r.alive))
	r.sums = make([]float64, len(r.alive))
	var sum float64
	for i, place := range order {
		sum += math.Pow(float64(place+1), -r.Skew)
		r.sums[i] = sum
	}
}

// members returns the registered instances as the given one sees them; it always sees itself.
func (r *run) members(viewer *instance) []string {
	var ids []string
	for _, in := range r.all {
		seen := in == viewer || r.now.Sub(in.joined) >= joinLag
		if seen && (in.gone.IsZero() || r.now.Before(in.gone)) {
			ids = append(ids, in.id)
		}
	}
	return ids
}

func (r *run) limits(string) limit.Limits { return r.Limits }

func nobody(string) bool { return false }

// avoidFor is the time for which an instance passes over an allocator that did not answer, as limit.Reporter does.
const avoidFor = 5 * time.Second

func (r *run) report() {
	for _, in := range r.alive {
		if r.now.Before(in.next) {
			continue
		}
		members := r.members(in)
		in.next = r.now.Add(limit.Interval(len(members)))
		in.local.SetInstances(len(members))
		for range 2 {
			if r.reportOnce(in, members) {
				break
			}
		}
	}
}

func (r *run) reportOnce(in *instance, members []string) bool {
	id := limit.Owner(organisation, members, func(m string) bool { return r.now.Before(in.avoided[m]) })
	owner := r.find(id)
	report := in.local.Report([]string{organisation}, r.limits, r.now)
	if owner == nil || owner.cutOff != in.cutOff {
		in.avoided[id] = r.now.Add(avoidFor)
		return false
	}
	r.reports++
	in.local.Apply(r.ask(owner, report), r.now, r.now)
	return true
}

func (r *run) ask(owner *instance, report api.DemandReport) api.LimitGrants {
	return owner.allocator.Report(report, r.members(owner), r.limits, r.now)
}

func (r *run) find(id string) *instance {
	for _, in := range r.alive {
		if in.id == id {
			return in
		}
	}
	return nil
}

func (r *run) arrive() {
	count := r.poisson(r.Demand * tick.Seconds())
	second := int(r.elapsed() / time.Second)
	for range count {
		target := sort.SearchFloat64s(r.sums, r.random.Float64()*r.sums[len(r.sums)-1])
		need := limit.Need{Tokens: 1 + r.random.ExpFloat64()*r.TokensPerRequest}
		need.Cost = need.Tokens * costPerToken
		refused := r.alive[target].local.Admit(organisation, r.Limits, need, r.now)
		if r.elapsed() >= r.Warmup {
			r.asked++
		}
		if refused == nil {
			r.requests[second]++
			r.tokens[second] += need.Tokens
			r.cost += need.Cost
		} else if r.elapsed() >= r.Warmup {
			r.refused++
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
	warm := int(r.Warmup / time.Second)
	return Result{
		Requests:         ratios(r.requests[warm:], r.Limits.Requests),
		Tokens:           ratios(r.tokens[warm:], r.Limits.Tokens),
		Refused:          float64(r.refused) / float64(max(1, r.asked)),
		Cost:             r.cost,
		ReportsPerSecond: float64(r.reports) / r.Length.Seconds(),
	}
}

func ratios(perSecond []float64, bound float64) Ratios {
	if bound <= 0 || len(perSecond) < window {
		return Ratios{}
	}
	var total, running float64
	out := Ratios{Lowest: math.Inf(1)}
	for i, v := range perSecond {
		total += v
		running += v
		if i >= window {
			running -= perSecond[i-window]
		}
		if i >= window-1 {
			out.Highest = max(out.Highest, running/(bound*window))
			out.Lowest = min(out.Lowest, running/(bound*window))
		}
	}
	out.Mean = total / (bound * float64(len(perSecond)))
	return out
}
