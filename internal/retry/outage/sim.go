// Package outage simulates retries during an outage of half of a pool of backend servers. The real budget, ejection and
// retry decisions run in virtual time against modelled backend servers, which process a queue and do not notice when a
// caller has given up.
package outage

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/retry"
)

// class is the only class of requests in a run.
const class = "class"

// Config describes one run with one pool of backend servers.
type Config struct {
	Servers int
	// Slots is the number of requests that a backend server processes concurrently. ServiceTime is the mean of the
	// exponentially distributed time that one request takes.
	Slots       int
	ServiceTime time.Duration
	// Load is the arrival rate as a fraction of the capacity of all backend servers.
	Load float64
	// AttemptTimeout ends an attempt. Deadline is the time from the arrival of a request after which it is not retried.
	AttemptTimeout time.Duration
	Deadline       time.Duration
	// Half of the backend servers do not answer between OutageStart and OutageEnd.
	OutageStart, OutageEnd time.Duration
	Length                 time.Duration
	// UseBudget applies the retry budget; without it, every retry that retry.Decide allows is made.
	UseBudget bool
	Seed      uint64
}

// Result holds the measurements of one run.
type Result struct {
	// Amplification is the ratio of attempts to requests over the run; HighestAmplification is the maximum over any 10 s.
	Amplification        float64
	HighestAmplification float64
	// AnsweredDuringOutage and AnsweredAfterOutage are the fractions of requests that were answered during the outage and in
	// the last 30 s of the run.
	AnsweredDuringOutage float64
	AnsweredAfterOutage  float64
	// RecoveryTime is the time from the end of the outage after which at least 99% of the requests of each second are
	// answered; negative if this is never reached.
	RecoveryTime time.Duration
}

type kind int

const (
	arrival kind = iota
	attemptStart
	serviceEnd
	attemptEnd
)

type event struct {
	at       time.Time
	sequence int
	kind     kind
	request  *request
	attempt  *attempt
	server   int
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
	return e[i].sequence < e[j].sequence
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
	random       *rand.Rand
	start        time.Time
	now          time.Time
	queue        events
	lastSequence int
	servers      []server
	ids          []string
	budgets      *retry.Budgets
	ejections    *retry.Ejections
	requests     []float64
	attempts     []float64
	answered     []float64
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
	r.lastSequence++
	e.sequence = r.lastSequence
	heap.Push(&r.queue, e)
}

func (r *run) secondOf(at time.Time) int { return int(at.Sub(r.start) / time.Second) }

func (r *run) handle(e event) {
	switch e.kind {
	case arrival:
		r.arrive()
	case attemptStart:
		r.startAttempt(e.request)
	case serviceEnd:
		r.finishService(e.attempt, e.server)
	case attemptEnd:
		r.endAttempt(e.attempt, false)
	}
}

func (r *run) arrive() {
	rate := r.Load * float64(r.Servers*r.Slots) / r.ServiceTime.Seconds()
	interarrival := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	r.push(event{at: r.now.Add(interarrival), kind: arrival})
	r.requests[r.secondOf(r.now)]++
	r.budgets.CountRequest(class, r.now)
	r.startAttempt(&request{arrived: r.now})
}

func (r *run) isDown(server int) bool {
	elapsed := r.now.Sub(r.start)
	return server < r.Servers/2 && elapsed >= r.OutageStart && elapsed < r.OutageEnd
}

func (r *run) startAttempt(q *request) {
	q.attempts++
	r.attempts[r.secondOf(r.now)]++
	a := &attempt{request: q, server: r.chooseServer()}
	r.push(event{at: r.now.Add(r.AttemptTimeout), kind: attemptEnd, attempt: a})
	if r.isDown(a.server) {
		return
	}
	s := &r.servers[a.server]
	if s.busy < r.Slots {
		s.busy++
		r.startService(a)
		return
	}
	s.queue = append(s.queue, a)
}

// chooseServer picks a usable backend server at random. If it may only be probed, the attempt is the probe.
func (r *run) chooseServer() int {
	uses := r.ejections.Uses(r.ids, r.now)
	for {
		i := r.random.IntN(len(uses))
		if uses[i] != retry.UseNone && r.ejections.BeginAttempt(r.ids[i], uses[i], r.now) {
			return i
		}
	}
}

func (r *run) startService(a *attempt) {
	length := time.Duration(r.random.ExpFloat64() * float64(r.ServiceTime))
	r.push(event{at: r.now.Add(length), kind: serviceEnd, attempt: a, server: a.server})
}

// finishService ends the processing of a request at a backend server. The answer is lost if the server is down.
func (r *run) finishService(a *attempt, index int) {
	s := &r.servers[index]
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		r.startService(next)
	} else {
		s.busy--
	}
	if !a.ended && !r.isDown(index) {
		r.endAttempt(a, true)
	}
}

// endAttempt ends an attempt at the caller. If it failed, a retry is scheduled where the decision and the budget allow it.
func (r *run) endAttempt(a *attempt, ok bool) {
	if a.ended {
		return
	}
	a.ended = true
	r.ejections.EndAttempt(r.ids[a.server], !ok, r.now, r.random)
	q := a.request
	if ok {
		r.answered[r.secondOf(q.arrived)]++
		return
	}
	state := retry.RequestState{
		Attempt: retry.Attempt{Sent: true}, AttemptsMade: q.attempts, Repeatable: true, Deadline: q.arrived.Add(r.Deadline),
	}
	verdict := retry.Decide(state, r.now, r.random)
	if r.UseBudget && verdict.Retry && !r.budgets.Spend(class, r.now) {
		return
	}
	if verdict.Retry {
		r.push(event{at: r.now.Add(verdict.Backoff), kind: attemptStart, request: q})
	}
}
