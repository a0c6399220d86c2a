package e2e

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// load is a closed-loop load generator: each of its callers sends one completion after the other until it is stopped. A caller
// retries a request at the next instance only if the outcome is not_run.
type load struct {
	cluster *cluster
	stop    chan struct{}
	callers sync.WaitGroup
	sent    atomic.Int64
	retried atomic.Int64

	mu       sync.Mutex
	answered []answer
	failed   []answer
	retries  map[string]int
}

// load starts the callers. pick returns the instances to try for one request, in order of preference.
func (c *cluster) load(callers int, pick func(number int64) []*instance) *load {
	l := &load{cluster: c, stop: make(chan struct{}), retries: map[string]int{}}
	for range callers {
		l.callers.Go(func() { l.runCaller(pick) })
	}
	return l
}

func (l *load) runCaller(pick func(int64) []*instance) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		number := l.sent.Add(1)
		l.record(l.sendWithRetries(number, pick(number)))
	}
}

// maxRounds limits how often one request is tried at all instances. A refused attempt returns quickly, so rounds take little time.
const maxRounds = 3

func (l *load) sendWithRetries(number int64, instances []*instance) answer {
	var last answer
	for range maxRounds {
		for _, i := range instances {
			last = i.sendChat(chatRequest{text: fmt.Sprintf("request %d", number), seed: number})
			if last.complete || !last.notRun() {
				return last
			}
			l.retried.Add(1)
			l.mu.Lock()
			l.retries[last.errorDetail.Code]++
			l.mu.Unlock()
		}
	}
	return last
}

func (l *load) record(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.complete {
		l.answered = append(l.answered, a)
		return
	}
	l.failed = append(l.failed, a)
}

func (l *load) answerCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answered)
}

// waitForAnswers waits until n more requests have been answered.
func (l *load) waitForAnswers(n int) {
	l.cluster.t.Helper()
	from := l.answerCount()
	eventually(l.cluster.t, 30*time.Second, fmt.Sprintf("%d more requests are answered", n), func() bool { return l.answerCount() >= from+n })
}

// stopAndCheck stops the callers, waits for their last requests and checks that no request failed.
func (l *load) stopAndCheck() {
	l.cluster.t.Helper()
	close(l.stop)
	l.callers.Wait()
	for _, a := range l.failed {
		l.cluster.t.Errorf("request failed: %+v", a)
	}
	l.cluster.t.Logf("%d requests answered, %d failed, retries after not_run: %d %v", len(l.answered), len(l.failed), l.retried.Load(), l.retries)
}

// checkAllBilled waits until each answered request has a bill after the roll-up and fails the test after the timeout.
func (l *load) checkAllBilled(timeout time.Duration) {
	l.cluster.t.Helper()
	unbilled := 0
	billed := pollUntil(timeout, func() bool {
		bills := l.cluster.bills()
		unbilled = 0
		for _, a := range l.answered {
			if _, ok := bills["guild/request/"+a.id]; !ok {
				unbilled++
			}
		}
		return unbilled == 0
	})
	if !billed {
		l.cluster.t.Errorf("%d of %d answered requests have no bill", unbilled, len(l.answered))
	}
}

// readyFirst returns a function that orders the instances for one request: first the ready ones in round-robin order, as the
// platform's load balancer does, then the others.
func (c *cluster) readyFirst() func(number int64) []*instance {
	type readiness struct{ ready, notReady []*instance }
	var current atomic.Pointer[readiness]
	refresh := func() {
		var next readiness
		for _, i := range c.instances {
			if returnsOK("http://" + i.operatorAddress + "/readyz") {
				next.ready = append(next.ready, i)
			} else {
				next.notReady = append(next.notReady, i)
			}
		}
		current.Store(&next)
	}
	refresh()
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				refresh()
			}
		}
	})
	c.t.Cleanup(func() { close(done); group.Wait() })
	return func(number int64) []*instance {
		snapshot := current.Load()
		var order []*instance
		for offset := range snapshot.ready {
			order = append(order, snapshot.ready[(int(number)+offset)%len(snapshot.ready)])
		}
		return append(order, snapshot.notReady...)
	}
}
