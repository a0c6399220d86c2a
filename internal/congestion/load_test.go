package congestion

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The played load: a service with few places before many instances, with the figures of the users' sheet.
const (
	playedInstances = 83
	playedServers   = 3
	playedSlots     = 6
	playedQueue     = 25
	playedWork      = 60 * time.Millisecond
	playedLink      = 4 * time.Millisecond
	playedTarget    = 300 * time.Millisecond
	playedDeadline  = 3 * time.Second
	playedTimeout   = 1500 * time.Millisecond
	plainRetryAfter = 300 * time.Millisecond
	playedSeconds   = 30
)

// policy decides on the admission of a request that an instance receives. It returns the time after which a refused caller returns.
type policy func(p *play, instance int, timeLeft time.Duration) (admitted bool, retryAfter time.Duration)

// play is a service in virtual time: callers send requests to instances, which choose servers by their own response times, as a request without
// a prompt is placed, and try another server when one refuses.
type play struct {
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	servers [playedServers]playedServer
	// responseTimes are the moving averages of each instance.
	responseTimes [playedInstances][playedServers]time.Duration
	tables        [playedInstances]*Table
	shares        []float64
	policy        policy

	sent, onTime, late, failed, refused int
}

type playedServer struct {
	running int
	queue   []func()
	down    bool
}

type event struct {
	at  time.Duration
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(a, b int) bool { return h[a].at < h[b].at }
func (h eventHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

var playedOrigin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (p *play) after(d time.Duration, run func()) { heap.Push(&p.events, event{p.now + d, run}) }

func (p *play) clock() time.Time { return playedOrigin.Add(p.now) }

// playLoad plays the load, given as requests a second by second, and returns what the callers got.
func playLoad(seed uint64, decide policy, perSecond func(second float64) float64, prepare func(p *play)) *play {
	p := &play{rng: rand.New(rand.NewPCG(seed, 2)), policy: decide}
	total := 0.0
	for i := range playedInstances {
		p.tables[i] = NewTable()
		// The platform sends callers to instances by a hash, which gives some of them a multiple of the mean.
		total += p.rng.ExpFloat64()
		p.shares = append(p.shares, total)
	}
	if prepare != nil {
		prepare(p)
	}
	var arrive func()
	arrive = func() {
		p.sent++
		p.send(p.instance(), p.now, false)
		rate := perSecond(p.now.Seconds())
		if next := time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second)); p.now+next < playedSeconds*time.Second {
			p.after(next, arrive)
		}
	}
	p.after(0, arrive)
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.run()
	}
	return p
}

// instance returns a random instance, by the uneven shares of the callers.
func (p *play) instance() int {
	at := p.rng.Float64() * p.shares[len(p.shares)-1]
	for i, share := range p.shares {
		if at <= share {
			return i
		}
	}
	return 0
}

// send is a caller's attempt, the first one or that after its return.
func (p *play) send(instance int, first time.Duration, returned bool) {
	arrived := p.now
	timeLeft := playedDeadline - (p.now - first)
	admitted, retryAfter := p.policy(p, instance, timeLeft)
	if !admitted {
		p.refuse(first, returned, retryAfter)
		return
	}
	p.attempt(instance, first, arrived, returned, nil)
}

func (p *play) refuse(first time.Duration, returned bool, retryAfter time.Duration) {
	p.refused++
	if returned {
		p.failed++
		return
	}
	p.after(retryAfter, func() { p.send(p.instance(), first, true) })
}

// attempt sends the request to the best server that was not tried.
func (p *play) attempt(instance int, first, arrived time.Duration, returned bool, tried []int) {
	best := -1
	for s := range p.servers {
		if contains(tried, s) {
			continue
		}
		if best < 0 || p.responseTimes[instance][s] < p.responseTimes[instance][best] {
			best = s
		}
	}
	if best < 0 {
		p.refuse(first, returned, plainRetryAfter)
		return
	}
	sentAt := p.now
	p.after(playedLink, func() {
		server := &p.servers[best]
		if server.down || len(server.queue) >= playedQueue {
			p.after(playedLink, func() {
				p.tables[instance].Observe("ledger", RefusalLevel, p.clock())
				// A refusal counts as a failure of the server, which is avoided for a while.
				p.responseTimes[instance][best] += playedTarget
				p.attempt(instance, first, arrived, returned, append(tried, best))
			})
			return
		}
		p.enqueue(server, func() {
			p.after(playedLink, func() {
				took := p.now - sentAt
				average := &p.responseTimes[instance][best]
				*average += (took - *average) / 5
				p.tables[instance].Observe("ledger", float64(took)/float64(playedTarget), p.clock())
				switch {
				case p.now-arrived > playedTimeout:
					p.failed++
				case p.now-first <= playedTarget:
					p.onTime++
				default:
					p.late++
				}
			})
		})
	})
}

func contains(list []int, n int) bool {
	for _, x := range list {
		if x == n {
			return true
		}
	}
	return false
}

// enqueue runs the work at the server when it has a free slot, and calls done at its end.
func (p *play) enqueue(server *playedServer, done func()) {
	start := func() {
		server.running++
		work := float64(playedWork) * math.Exp(0.5*p.rng.NormFloat64()-0.125)
		if p.rng.IntN(100) == 0 {
			work *= 5
		}
		p.after(time.Duration(work), func() {
			server.running--
			if len(server.queue) > 0 {
				next := server.queue[0]
				server.queue = server.queue[1:]
				next()
			}
			done()
		})
	}
	if server.running < playedSlots {
		start()
		return
	}
	server.queue = append(server.queue, start)
}

// admitEverything is the code before: a request is refused after all servers have refused it.
func admitEverything(*play, int, time.Duration) (bool, time.Duration) { return true, 0 }

// admitByTable is the decision of the product.
func admitByTable(p *play, instance int, timeLeft time.Duration) (bool, time.Duration) {
	d := p.tables[instance].Decide(Request{Service: "ledger", Route: "post", TimeLeft: timeLeft}, p.rng, p.clock())
	return d.Admitted, d.RetryAfter
}

// admitByOracle knows the queues of all servers and admits what can be on time, and every caller who returned.
func admitByOracle(p *play, _ int, timeLeft time.Duration) (bool, time.Duration) {
	shortest := playedQueue
	for s := range p.servers {
		if !p.servers[s].down {
			shortest = min(shortest, len(p.servers[s].queue))
		}
	}
	wait := playedWork * time.Duration(shortest) / playedSlots
	if timeLeft < playedDeadline*9/10 {
		wait *= 2
	}
	if wait < playedTarget/2 {
		return true, 0
	}
	return false, time.Duration((minReturnFraction + (maxReturnFraction-minReturnFraction)*p.rng.Float64()) * float64(timeLeft))
}

// burstOf returns a load of 123 requests a second that is x times as high from second 5 to 15, and half as much more from second 18 to 26.
func burstOf(x float64) func(float64) float64 {
	return func(second float64) float64 {
		switch {
		case second >= 5 && second < 15:
			return 123 * x
		case second >= 18 && second < 26:
			return 123 * (1 + (x-1)/2)
		}
		return 123
	}
}

// Guards against servers with few places whose queues stay full in a burst, so that nearly every answer is late and the refused callers have been
// sent to all servers in vain. The bounds: a tenth of what the oracle gains would be chance, and no more callers than before may fail for it.
func TestBurstAtFewPlaces(t *testing.T) {
	const seeds = 8
	for _, x := range []float64{2.5, 3, 4} {
		var before, now, oracle totals
		for seed := range uint64(seeds) {
			before.add(playLoad(seed, admitEverything, burstOf(x), nil))
			now.add(playLoad(seed, admitByTable, burstOf(x), nil))
			oracle.add(playLoad(seed, admitByOracle, burstOf(x), nil))
		}
		t.Logf("burst of %g: before %s; now %s; oracle %s", x, before, now, oracle)
		if now.onTime < before.onTime+(oracle.onTime-before.onTime)/2 || now.failed > before.failed+0.02 {
			t.Errorf("burst of %g: on time %.3f and failed %.3f, before %.3f and %.3f", x, now.onTime, now.failed, before.onTime, before.failed)
		}
	}
}

// totals are shares of the callers, as means over plays.
type totals struct {
	plays                         int
	onTime, late, failed, refused float64
}

func (s *totals) add(p *play) {
	s.plays++
	mean := func(sum *float64, n int) { *sum += (float64(n)/float64(p.sent) - *sum) / float64(s.plays) }
	mean(&s.onTime, p.onTime)
	mean(&s.late, p.late)
	mean(&s.failed, p.failed)
	mean(&s.refused, p.refused)
}

// String returns the shares of callers.
func (s totals) String() string {
	return fmt.Sprintf("on time %.3f, late %.3f, failed %.3f, refusals %.3f", s.onTime, s.late, s.failed, s.refused)
}

// Guards against refusals while there is room: in calm, with long answers among short ones, and with a server less.
func TestNothingIsRefusedWhileThereIsRoom(t *testing.T) {
	for name, prepare := range map[string]func(*play){"all servers": nil, "a server less": func(p *play) { p.servers[0].down = true }} {
		for seed := range uint64(5) {
			p := playLoad(seed, admitByTable, func(float64) float64 { return 123 }, prepare)
			if p.refused > 0 {
				t.Errorf("%s, seed %d: %d refusals", name, seed, p.refused)
			}
		}
	}
}
