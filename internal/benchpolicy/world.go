package benchpolicy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/valyala/histogram"

	"github.com/cicadawall/cicadawall/internal/cascade"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/engine/prefix"
	"github.com/cicadawall/cicadawall/internal/rollout"
	"github.com/cicadawall/cicadawall/internal/routing"
)

// event is a function to run at a virtual time; sequence keeps events with the same time in the order of scheduling.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// request is one request of a caller and its state in the simulation.
type request struct {
	number                                int
	class, organisation, prefix, instance int
	session                               uint64
	hard                                  bool
	arrivedAt                             time.Duration
	decision                              cascade.Decision
	chain                                 cascade.Chain
	explored                              bool
	cost                                  float64
	confidence                            float64
	escalated                             bool
}

// instance is a router instance, represented by its view of the servers and its prefix index.
type instance struct {
	zone       string
	candidates []routing.Candidate
	index      *routing.PrefixIndex
	nextServer int // last server that the round-robin policy chose
	// sentTimes holds, by server, the times at which this instance sent a request since the last load report.
	sentTimes [][]time.Duration
}

// countSentAfter drops the send times of a server up to the given time and returns the number of later ones.
func (in *instance) countSentAfter(server int, after time.Duration) int {
	in.sentTimes[server] = slices.DeleteFunc(in.sentTimes[server], func(t time.Duration) bool { return t <= after })
	return len(in.sentTimes[server])
}

// run holds the parameters of one simulation run.
type run struct {
	site     site
	policy   policy
	rate     float64 // requests per second
	requests int
	warmup   int // number of first requests that are not measured
	seed     uint64
	// sharedPrefixes is false if no two requests share a prompt prefix.
	sharedPrefixes bool
	// degradeAt is the number of the request from which the quality of the small version is lower by degradeBy; zero means never.
	degradeAt int
	degradeBy float64
	// separation is how much lower the mean confidence of a first answer is on hard requests; zero means defaultSeparation.
	separation float64
	// confidenceTokens is the number of tokens after which the confidence of a first answer is known; zero means the whole answer.
	confidenceTokens int
	// reportInterval is the interval of load reports; zero means defaultReportInterval.
	reportInterval time.Duration
}

// world is the state of one simulation run.
type world struct {
	run
	rng             *rand.Rand
	now             time.Duration
	events          eventHeap
	sequence        int
	servers         []*server
	instances       []*instance
	prefixChains    [][][]prefix.Block // by model and prefix
	prefixWeights   []float64
	evidence        *cascade.Evidence
	rolloutEvidence *rollout.Evidence
	quarantined     map[int]bool // models in quarantine at the instances
	suspected       map[int]bool
	degraded        bool
	arrivals        int
	result          result
	decisions       map[decisionKey]cascade.Decision
	ttft            *histogram.Fast
	interToken      *histogram.Fast
}

// epoch is the origin of virtual time, for functions that need a time.Time.
var epoch = time.Unix(1_700_000_000, 0)

const (
	// defaultReportInterval and reportLag are the interval and the delay of the engines' load reports.
	defaultReportInterval = time.Second
	reportLag             = 200 * time.Millisecond
	// cacheEventLag is the delay of cache events; one event in 20 is lost.
	cacheEventLag  = 2 * time.Second
	cacheEventLoss = 0.05
	// The confidence of a first answer has a mean of 0.70 on easy and 0.47 on hard requests, with a standard deviation of 0.15.
	// The confidence of a random easy request is then above that of a random hard request in 86% of cases.
	easyMeanConfidence = 0.70
	confidenceSpread   = 0.15
	defaultSeparation  = 0.23
	// maxQueuePerSlot is the number of queued requests per batch slot from which a server refuses requests.
	maxQueuePerSlot = 4
)

func newWorld(r run) *world {
	w := &world{
		run: r, rng: rand.New(rand.NewPCG(r.seed, 77)), evidence: cascade.NewEvidence(), rolloutEvidence: rollout.NewEvidence(),
		decisions: map[decisionKey]cascade.Decision{}, quarantined: map[int]bool{}, suspected: map[int]bool{}, ttft: histogram.NewFast(), interToken: histogram.NewFast(),
	}
	if w.separation == 0 {
		w.separation = defaultSeparation
	}
	if w.reportInterval == 0 {
		w.reportInterval = defaultReportInterval
	}
	for m := range r.site.models {
		chains := make([][]prefix.Block, r.site.prefixCount)
		for p := range chains {
			text := strings.Repeat(fmt.Sprintf("%-256d", p), r.site.classes[0].prefixBlocks)
			chains[p] = prefix.Blocks(r.site.models[m].version, text)
		}
		w.prefixChains = append(w.prefixChains, chains)
		for range r.site.models[m].serverCount {
			i := len(w.servers)
			w.servers = append(w.servers, newServer(fmt.Sprintf("server-%d", i), r.site.zone(i), m))
		}
	}
	for i := range r.site.instanceCount {
		w.instances = append(w.instances, w.newInstance(i))
	}
	for p := range r.site.prefixCount {
		w.prefixWeights = append(w.prefixWeights, 1/float64(p+1))
	}
	return w
}

func (w *world) newInstance(i int) *instance {
	in := &instance{zone: w.site.zone(i), index: routing.NewPrefixIndex(1 << 16), sentTimes: make([][]time.Duration, len(w.servers))}
	for _, s := range w.servers {
		versions := append([]declaration.VersionID(nil), w.site.models[s.model].version)
		report := routing.LoadReport{Capacity: batchCapacity, At: epoch}
		in.candidates = append(in.candidates, routing.Candidate{ID: s.id, Zone: s.zone, Versions: versions, Report: report})
	}
	return in
}

// schedule runs a function at a virtual time.
func (w *world) schedule(when time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.events, event{at: when, sequence: w.sequence, run: run})
}

func (w *world) clock() time.Time { return epoch.Add(w.now) }

// simulate processes events until every request is answered or refused.
func (w *world) simulate() result {
	w.schedule(0, w.nextArrival)
	w.schedule(w.reportInterval, w.reportLoads)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	return w.finalResult()
}

func (w *world) nextArrival() {
	if w.arrivals >= w.requests {
		return
	}
	w.arrivals++
	if w.degradeAt > 0 && w.arrivals == w.degradeAt {
		w.degraded = true
	}
	w.dispatch(w.newRequest())
	w.schedule(w.now+time.Duration(w.rng.ExpFloat64()/w.rate*float64(time.Second)), w.nextArrival)
}

func (w *world) newRequest() *request {
	fractions := make([]float64, len(w.site.classes))
	for i := range fractions {
		fractions[i] = w.site.classes[i].requestFraction
	}
	r := &request{
		number: w.arrivals,
		class:  weightedIndex(w.rng, fractions), organisation: weightedIndex(w.rng, w.site.organisations), prefix: -1,
		instance: w.rng.IntN(len(w.instances)), hard: w.rng.Float64() < hardFraction, arrivedAt: w.now,
		session: uint64(w.rng.IntN(2000)),
	}
	if w.sharedPrefixes {
		r.prefix = weightedIndex(w.rng, w.prefixWeights)
	}
	r.confidence = drawConfidence(w.rng, r.hard, w.separation)
	return r
}

// drawConfidence draws the confidence of a first answer.
func drawConfidence(rng *rand.Rand, hard bool, separation float64) float64 {
	confidence := easyMeanConfidence + confidenceSpread*rng.NormFloat64()
	if hard {
		confidence -= separation
	}
	return min(0.999, max(0, confidence))
}

func weightedIndex(rng *rand.Rand, weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	x := rng.Float64() * total
	for i, weight := range weights {
		if x -= weight; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (w *world) prefixBlocks(model, prefix int) []prefix.Block {
	if prefix < 0 {
		return nil
	}
	return w.prefixChains[model][prefix]
}

// reportLoads records the load of every server and delivers it to all instances at once after reportLag.
func (w *world) reportLoads() {
	at := w.clock()
	type load struct{ running, queued int }
	loads := make([]load, len(w.servers))
	for i, s := range w.servers {
		loads[i] = load{s.running, len(s.queue)}
	}
	sentAt := w.now
	w.schedule(w.now+reportLag, func() {
		for _, in := range w.instances {
			for i := range in.candidates {
				c := &in.candidates[i]
				c.Report = routing.LoadReport{Running: loads[i].running, Queued: loads[i].queued, Capacity: batchCapacity, At: at}
				c.SentSinceReport = in.countSentAfter(i, sentAt)
			}
		}
	})
	if w.arrivals < w.requests {
		w.schedule(w.now+w.reportInterval, w.reportLoads)
	}
}
