// Package outage measures retries during an outage of half of a pool at the level of decisions: the real budget, ejection
// and retry decisions run in virtual time against modelled servers that work through a queue and do not notice when a
// caller has given up.
package outage

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/retry"
)

// class is the only class of a run.
const class = "class"

// Config describes one run. Requests per second, durations and servers are those of one pool.
type Config struct {
	Servers int
	// Slots is the number of requests that a server works on at the same time; Service is the mean, exponential.
	Slots   int
	Service time.Duration
	// Load is the arrival rate as a share of the capacity of all servers.
	Load float64
	// AttemptTimeout ends an attempt; Deadline ends the request. A request within Target counts as served.
	AttemptTimeout time.Duration
	Deadline       time.Duration
	// Half of the servers answer nothing between From and To.
	From, To time.Duration
	Length   time.Duration
	// Budget applies the retry budget; without it every retry that the decision allows is made.
	Budget bool
	Seed   uint64
}

// Result holds the figures of one run.
type Result struct {
	// Amplification is attempts divided by requests over the run; Highest is the largest over any 10 s.
	Amplification float64
	Highest       float64
	// During and After are the shares of requests answered in the outage and in the last 30 s of the run.
	During float64
	After  float64
	// Recovery is the time from the end of the outage until each later second answers at least 99%; negative if never.
	Recovery time.Duration
}

type kind int

const (
	arrival kind = iota
	attemptStart
	serviceEnd
	attemptEnd
)

type event struct {
	at      time.Time
	order   int
	kind    kind
	request *request
	attempt *attempt
	server  int
}

type request struct {
	arrived  time.Time
	attempts int
}

type attempt struct {
	request *request
	server  int
	ended   bool
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type server struct {
	busy  int
	queue []*attempt
}

type run struct {
	Config
	random    *rand.Rand
	start     time.Time
	now       time.Time
	queue     events
	order     int
	servers   []server
	ids       []string
	budgets   *retry.Budgets
	ejections *retry.Ejections
	requests  []float64
	attempts  []float64
	answered  []float64
}

// Run carries out one run. The same configuration always gives the same result.
func Run(c Config) Result {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	seconds := int(c.Length / time.Second)
	r := &run{
		Config: c, random: rand.New(rand.NewPCG(c.Seed, 2)), start: start, now: start,
		servers: make([]server, c.Servers), budgets: retry.NewBudgets(), ejections: retry.NewEjections(),
		requests: make([]float64, seconds), attempts: make([]float64, seconds), answered: make([]float64, seconds),
	}
	for i := range r.servers {
		r.ids = append(r.ids, fmt.Sprintf("server-%02d", i))
	}
	r.push(event{at: start, kind: arrival})
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		if e.at.Sub(start) >= c.Length {
			break
		}
		r.now = e.at
		r.handle(e)
	}
	return r.result()
}

func (r *run) push(e event) {
	r.order++
	e.order = r.order
	heap.Push(&r.queue, e)
}

func (r *run) second(at time.Time) int { return int(at.Sub(r.start) / time.Second) }

func (r *run) handle(e event) {
	switch e.kind {
	case arrival:
		r.arrive()
	case attemptStart:
		r.begin(e.request)
	case serviceEnd:
		r.finish(e.attempt, e.server)
	case attemptEnd:
		r.end(e.attempt, false)
	}
}

func (r *run) arrive() {
	rate := r.Load * float64(r.Servers*r.Slots) / r.Service.Seconds()
	gap := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	r.push(event{at: r.now.Add(gap), kind: arrival})
	r.requests[r.second(r.now)]++
	r.budgets.Request(class, r.now)
	r.begin(&request{arrived: r.now})
}

func (r *run) down(server int) bool {
	elapsed := r.now.Sub(r.start)
	return server < r.Servers/2 && elapsed >= r.From && elapsed < r.To
}

func (r *run) begin(q *request) {
	q.attempts++
	r.attempts[r.second(r.now)]++
	a := &attempt{request: q, server: r.choose()}
	r.push(event{at: r.now.Add(r.AttemptTimeout), kind: attemptEnd, attempt: a})
	if r.down(a.server) {
		return
	}
	s := &r.servers[a.server]
	if s.busy < r.Slots {
		s.busy++
		r.serve(a)
		return
	}
	s.queue = append(s.queue, a)
}

// choose picks at random among the usable servers; a probe is taken when it is drawn.
func (r *run) choose() int {
	uses := r.ejections.Uses(r.ids, r.now)
	for {
		i := r.random.IntN(len(uses))
		if uses[i] != retry.UseNone && r.ejections.Begin(r.ids[i], uses[i], r.now) {
			return i
		}
	}
}

func (r *run) serve(a *attempt) {
	length := time.Duration(r.random.ExpFloat64() * float64(r.Service))
	r.push(event{at: r.now.Add(length), kind: serviceEnd, attempt: a, server: a.server})
}

// finish ends the work at a server. What a server that is down worked on is lost.
func (r *run) finish(a *attempt, index int) {
	s := &r.servers[index]
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		r.serve(next)
	} else {
		s.busy--
	}
	if !a.ended && !r.down(index) {
		r.end(a, true)
	}
}

// end ends an attempt at the client, and the request with it or a further attempt.
func (r *run) end(a *attempt, ok bool) {
	if a.ended {
		return
	}
	a.ended = true
	r.ejections.End(r.ids[a.server], !ok, r.now, r.random)
	q := a.request
	if ok {
		r.answered[r.second(q.arrived)]++
		return
	}
	situation := retry.Situation{
		Attempt: retry.Attempt{Sent: true}, Number: q.attempts, Repeatable: true, Deadline: q.arrived.Add(r.Deadline),
	}
	verdict := retry.Decide(situation, r.now, r.random)
	if r.Budget && verdict.Retry && !r.budgets.Spend(class, r.now) {
		return
	}
	if verdict.Retry {
		r.push(event{at: r.now.Add(verdict.After), kind: attemptStart, request: q})
	}
}
