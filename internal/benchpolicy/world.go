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

// event is a function that runs at a virtual time; sequence orders events of the same time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// request is one caller's request.
type request struct {
	number                                int
	class, organisation, prefix, instance int
	session                               uint64
	hard                                  bool
	arrived                               time.Duration
	decision                              cascade.Decision
	chain                                 cascade.Chain
	explored                              bool
	cost                                  float64
	confidence                            float64
	second                                bool
}

// instance is one router instance: its view of the servers and its prefix index.
type instance struct {
	zone       string
	candidates []routing.Candidate
	index      *routing.PrefixIndex
	next       int // of round robin
	// sent holds the times at which this instance sent to each server since the last report.
	sent [][]time.Duration
}

// sentAfter forgets the sends to a server until a time and counts the later ones.
func (in *instance) sentAfter(server int, after time.Duration) int {
	in.sent[server] = slices.DeleteFunc(in.sent[server], func(t time.Duration) bool { return t <= after })
	return len(in.sent[server])
}

// run describes one run of a world.
type run struct {
	site     site
	policy   policy
	rate     float64 // requests per second
	requests int
	warmup   int // requests that are not measured
	seed     uint64
	// sharedPrefixes is false if every request has a prompt of its own.
	sharedPrefixes bool
	// turnAt is the number of the request at which the small version becomes worse by turnBy; zero means never.
	turnAt int
	turnBy float64
	// separation is how much lower the confidence of a first answer is on hard requests; zero means the usual one.
	separation float64
	// early is the number of tokens after which the confidence of a first answer is known; zero means all.
	early int
	// reportEvery is the interval of load reports; zero means the usual one.
	reportEvery time.Duration
}

// world is the state of one run.
type world struct {
	run
	rng       *rand.Rand
	now       time.Duration
	queue     events
	sequence  int
	servers   []*server
	instances []*instance
	blocks    [][][]prefix.Block // by model and prefix
	weights   []float64
	evidence  *cascade.Evidence
	ratings   *rollout.Evidence
	held      map[int]bool // models in quarantine at the instances
	suspect   map[int]bool
	turned    bool
	arrivals  int
	result    result
	decisions map[decisionKey]cascade.Decision
	ttft      *histogram.Fast
	between   *histogram.Fast
}

// epoch is the origin of virtual time for decisions that take a time.Time.
var epoch = time.Unix(1_700_000_000, 0)

const (
	// reportInterval and reportLag describe the load reports of engines.
	reportInterval = time.Second
	reportLag      = 200 * time.Millisecond
	// cacheEventLag is the delay of cache events; one in 20 is lost.
	cacheEventLag  = 2 * time.Second
	cacheEventLoss = 0.05
	// easyConfidence, confidenceSpread and separation describe the confidence of a first answer: 0.70 on easy and 0.47 on
	// hard requests with a standard deviation of 0.15, so that a random easy one is above a random hard one in 86% of cases.
	easyConfidence   = 0.70
	confidenceSpread = 0.15
	separation       = 0.23
	// maxQueue is the number of waiting requests for each place in the batch at which a request is refused.
	maxQueue = 4
)

func newWorld(r run) *world {
	w := &world{
		run: r, rng: rand.New(rand.NewPCG(r.seed, 77)), evidence: cascade.NewEvidence(), ratings: rollout.NewEvidence(),
		decisions: map[decisionKey]cascade.Decision{}, held: map[int]bool{}, suspect: map[int]bool{}, ttft: histogram.NewFast(), between: histogram.NewFast(),
	}
	if w.separation == 0 {
		w.separation = separation
	}
	if w.reportEvery == 0 {
		w.reportEvery = reportInterval
	}
	for m := range r.site.models {
		chains := make([][]prefix.Block, r.site.prefixes)
		for p := range chains {
			text := strings.Repeat(fmt.Sprintf("%-256d", p), r.site.classes[0].prefixBlocks)
			chains[p] = prefix.Blocks(r.site.models[m].version, text)
		}
		w.blocks = append(w.blocks, chains)
		for range r.site.models[m].servers {
			i := len(w.servers)
			w.servers = append(w.servers, newServer(fmt.Sprintf("server-%d", i), r.site.zone(i), m))
		}
	}
	for i := range r.site.instances {
		w.instances = append(w.instances, w.newInstance(i))
	}
	for p := range r.site.prefixes {
		w.weights = append(w.weights, 1/float64(p+1))
	}
	return w
}

func (w *world) newInstance(i int) *instance {
	in := &instance{zone: w.site.zone(i), index: routing.NewPrefixIndex(1 << 16), sent: make([][]time.Duration, len(w.servers))}
	for _, s := range w.servers {
		versions := append([]declaration.VersionID(nil), w.site.models[s.model].version)
		report := routing.LoadReport{Capacity: batchCapacity, At: epoch}
		in.candidates = append(in.candidates, routing.Candidate{ID: s.id, Zone: s.zone, Versions: versions, Report: report})
	}
	return in
}

// at schedules a function.
func (w *world) at(when time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: when, sequence: w.sequence, run: run})
}

func (w *world) clock() time.Time { return epoch.Add(w.now) }

// simulate runs until every request is answered.
func (w *world) simulate() result {
	w.at(0, w.nextArrival)
	w.at(w.reportEvery, w.report)
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	return w.summary()
}

func (w *world) nextArrival() {
	if w.arrivals >= w.requests {
		return
	}
	w.arrivals++
	if w.turnAt > 0 && w.arrivals == w.turnAt {
		w.turned = true
	}
	w.dispatch(w.newRequest())
	w.at(w.now+time.Duration(w.rng.ExpFloat64()/w.rate*float64(time.Second)), w.nextArrival)
}

func (w *world) newRequest() *request {
	shares := make([]float64, len(w.site.classes))
	for i := range shares {
		shares[i] = w.site.classes[i].share
	}
	r := &request{
		number: w.arrivals,
		class:  pick(w.rng, shares), organisation: pick(w.rng, w.site.organisations), prefix: -1,
		instance: w.rng.IntN(len(w.instances)), hard: w.rng.Float64() < hardShare, arrived: w.now,
		session: uint64(w.rng.IntN(2000)),
	}
	if w.sharedPrefixes {
		r.prefix = pick(w.rng, w.weights)
	}
	r.confidence = drawConfidence(w.rng, r.hard, w.separation)
	return r
}

// drawConfidence draws the confidence of a first answer.
func drawConfidence(rng *rand.Rand, hard bool, separation float64) float64 {
	confidence := easyConfidence + confidenceSpread*rng.NormFloat64()
	if hard {
		confidence -= separation
	}
	return min(0.999, max(0, confidence))
}

func pick(rng *rand.Rand, weights []float64) int {
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
	return w.blocks[model][prefix]
}

// report takes the load of every server and gives it, after a lag, to all instances at once.
func (w *world) report() {
	at := w.clock()
	type load struct{ running, queued int }
	loads := make([]load, len(w.servers))
	for i, s := range w.servers {
		loads[i] = load{s.running, len(s.queue)}
	}
	sentAt := w.now
	w.at(w.now+reportLag, func() {
		for _, in := range w.instances {
			for i := range in.candidates {
				c := &in.candidates[i]
				c.Report = routing.LoadReport{Running: loads[i].running, Queued: loads[i].queued, Capacity: batchCapacity, At: at}
				c.SentSinceReport = in.sentAfter(i, sentAt)
			}
		}
	})
	if w.arrivals < w.requests {
		w.at(w.now+w.reportEvery, w.report)
	}
}
