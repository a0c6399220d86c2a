package e2e

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// load is a number of callers that send completions one after the other until the load is stopped. A caller repeats a
// request at the next instance only if the outcome is not_run.
type load struct {
	w       *world
	stop    chan struct{}
	group   sync.WaitGroup
	sent    atomic.Int64
	retried atomic.Int64

	mu       sync.Mutex
	answered []answer
	failed   []answer
	retries  map[string]int
}

// load begins the load. pick returns the instances to try for one request in this order.
func (w *world) load(callers int, pick func(number int64) []*instance) *load {
	l := &load{w: w, stop: make(chan struct{}), retries: map[string]int{}}
	for range callers {
		l.group.Go(func() { l.caller(pick) })
	}
	return l
}

func (l *load) caller(pick func(int64) []*instance) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		number := l.sent.Add(1)
		l.record(l.request(number, pick(number)))
	}
}

// maxRounds bounds the rounds over all instances for one request; a refusal costs a caller little time.
const maxRounds = 3

func (l *load) request(number int64, instances []*instance) answer {
	var last answer
	for range maxRounds {
		for _, i := range instances {
			last = i.chat(chat{text: fmt.Sprintf("request %d", number), seed: number})
			if last.complete || !last.notRun() {
				return last
			}
			l.retried.Add(1)
			l.mu.Lock()
			l.retries[last.problem.Code]++
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

func (l *load) answers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answered)
}

// more waits until n more requests are answered.
func (l *load) more(n int) {
	l.w.t.Helper()
	from := l.answers()
	eventually(l.w.t, 30*time.Second, fmt.Sprintf("%d more answers", n), func() bool { return l.answers() >= from+n })
}

// end stops the load, waits for its last request and checks that none failed.
func (l *load) end() {
	l.w.t.Helper()
	close(l.stop)
	l.group.Wait()
	for _, a := range l.failed {
		l.w.t.Errorf("request failed: %+v", a)
	}
	l.w.t.Logf("%d requests answered, %d failed, retries after not_run: %d %v", len(l.answered), len(l.failed), l.retried.Load(), l.retries)
}

// allBilled waits until each answered request has one bill after the roll-up.
func (l *load) allBilled(limit time.Duration) {
	l.w.t.Helper()
	missing := 0
	billed := within(limit, func() bool {
		bills := l.w.bills()
		missing = 0
		for _, a := range l.answered {
			if _, ok := bills["guild/request/"+a.id]; !ok {
				missing++
			}
		}
		return missing == 0
	})
	if !billed {
		l.w.t.Errorf("%d of %d answered requests have no bill", missing, len(l.answered))
	}
}

// balanced returns a choice that starts at the ready instances, as the platform's balancer does, with the others after them.
func (w *world) balanced() func(number int64) []*instance {
	type choice struct{ up, down []*instance }
	var current atomic.Pointer[choice]
	refresh := func() {
		var next choice
		for _, i := range w.instances {
			if succeeds("http://" + i.operator + "/readyz") {
				next.up = append(next.up, i)
			} else {
				next.down = append(next.down, i)
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
	w.t.Cleanup(func() { close(done); group.Wait() })
	return func(number int64) []*instance {
		now := current.Load()
		var order []*instance
		for offset := range now.up {
			order = append(order, now.up[(int(number)+offset)%len(now.up)])
		}
		return append(order, now.down...)
	}
}
