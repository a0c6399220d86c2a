package admission

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/worker"
)

type job struct {
	run func()
}

func (j job) Run(context.Context) { j.run() }

// outcomes collects what was served and refused, in order.
type outcomes struct {
	mu      sync.Mutex
	served  []string
	refused []string
	codes   []fault.Code
}

func (r *outcomes) item(name, organisation string, priority, tokens int) Item {
	return Item{
		Organisation: organisation, Class: "chat", Priority: priority, Tokens: tokens,
		Job: job{run: func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.served = append(r.served, name)
		}},
		Refuse: func(f *fault.Error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.refused = append(r.refused, name)
			r.codes = append(r.codes, f.Code)
		},
	}
}

func mustSubmit(t *testing.T, q *Queue, item Item) {
	t.Helper()
	if refused := q.Submit(item, time.Now()); refused != nil {
		t.Fatalf("item of %s refused: %v", item.Organisation, refused)
	}
}

// serveNext serves n items in order on the calling goroutine.
func serveNext(q *Queue, n int) {
	for range n {
		next, ok := q.Next(context.Background())
		if !ok {
			return
		}
		next.Run(context.Background())
	}
}

// Guards against a service order that ignores priority, weight or tokens.
func TestOrder(t *testing.T) {
	var r outcomes
	q := NewQueue(100)
	for i := range 3 {
		mustSubmit(t, q, r.item(fmt.Sprintf("big%d", i), "big", 1, 100))
	}
	mustSubmit(t, q, r.item("small0", "small", 1, 100))
	weighted := r.item("heavy0", "heavy", 1, 100)
	weighted.Weight = 4
	mustSubmit(t, q, weighted)
	weighted = r.item("heavy1", "heavy", 1, 100)
	weighted.Weight = 4
	mustSubmit(t, q, weighted)
	mustSubmit(t, q, r.item("urgent", "big", 5, 100))
	serveNext(q, 7)
	want := "[urgent big0 heavy0 small0 heavy1 big1 big2]"
	if got := fmt.Sprint(r.served); got != want {
		t.Errorf("served %s, want %s", got, want)
	}
}

// Guards against a full queue that refuses small organisations or high priorities, or sheds the wrong item.
func TestFullQueueSheds(t *testing.T) {
	var r outcomes
	q := NewQueue(4)
	for i := range 4 {
		mustSubmit(t, q, r.item(fmt.Sprintf("big%d", i), "big", 1, 10))
	}
	refused := q.Submit(r.item("big4", "big", 1, 10), time.Now())
	if refused == nil || refused.Code != fault.CodeQueueFull || refused.Outcome != api.OutcomeNotRun || refused.RetryAfter <= 0 {
		t.Fatalf("fifth item of the flooding organisation: %v, want queue_full, not_run with a retry wait", refused)
	}
	mustSubmit(t, q, r.item("small0", "small", 1, 10))
	mustSubmit(t, q, r.item("urgent", "big", 2, 10))
	if got, want := fmt.Sprint(r.refused), "[big3 big2]"; got != want {
		t.Errorf("shed %s, want %s", got, want)
	}
	if refused := q.Submit(r.item("low", "small", 0, 1), time.Now()); refused == nil {
		t.Error("a full queue accepted an item of the lowest priority")
	}
}

// Guards against accepting an item that cannot start before its deadline, and against refusing one that can.
func TestDeadlineUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r outcomes
		q := NewQueue(1000)
		for range 100 {
			mustSubmit(t, q, r.item("a", "a", 1, 10))
		}
		for range 10 {
			<-time.After(100 * time.Millisecond)
			serveNext(q, 1)
		}
		if got := q.Stats().TokensPerSecond; got < 95 || got > 105 {
			t.Fatalf("observed rate %.1f tokens/s, want about 100", got)
		}
		late := r.item("late", "a", 1, 10)
		late.Deadline = time.Now().Add(8 * time.Second)
		refused := q.Submit(late, time.Now())
		if refused == nil || refused.Code != fault.CodeDeadlineUnreachable {
			t.Fatalf("item queued behind 9 s of work with 8 s until its deadline: %v, want deadline_unreachable", refused)
		}
		if refused.RetryAfter < 500*time.Millisecond || refused.RetryAfter > 2*time.Second {
			t.Errorf("retry after %s, want about 1 s", refused.RetryAfter)
		}
		other := r.item("other", "b", 1, 10)
		other.Deadline = time.Now().Add(2 * time.Second)
		mustSubmit(t, q, other)
		q.Abort()
	})
}

// Guards against items that stay queued beyond their deadline while every worker is busy, and against serving them late.
func TestExpiresWithoutWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r outcomes
		q := NewQueue(10)
		for i := range 3 {
			item := r.item(fmt.Sprint(i), "a", 1, 10)
			item.Deadline = time.Now().Add(time.Duration(3-i) * time.Second)
			item.MinServiceTime = 500 * time.Millisecond
			mustSubmit(t, q, item)
		}
		<-time.After(1600 * time.Millisecond)
		synctest.Wait()
		if got := fmt.Sprint(r.refused); got != "[2 1]" {
			t.Errorf("refused %s after 1.6 s, want [2 1]", got)
		}
		serveNext(q, 1)
		<-time.After(2 * time.Second)
		if got := fmt.Sprint(r.served, r.refused, r.codes); got != "[0] [2 1] [deadline_exceeded deadline_exceeded]" {
			t.Errorf("served, refused, codes: %s", got)
		}
	})
}

// Guards against a closed queue that drops queued items or accepts new ones, and against an abort that does not refuse the
// queued items.
func TestCloseAndAbort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r outcomes
		q := NewQueue(10)
		mustSubmit(t, q, r.item("a", "a", 1, 10))
		mustSubmit(t, q, r.item("b", "a", 1, 10))
		q.Close()
		if refused := q.Submit(r.item("c", "a", 1, 10), time.Now()); refused == nil || refused.Code != fault.CodeDraining {
			t.Errorf("Submit after Close: %v, want draining", refused)
		}
		serveNext(q, 1)
		q.Abort()
		if _, ok := q.Next(context.Background()); ok {
			t.Error("Next returned a job from an aborted queue")
		}
		if got := fmt.Sprint(r.served, r.refused); got != "[a] [b]" {
			t.Errorf("served and refused: %s, want [a] [b]", got)
		}
	})
}

// Guards against items that are lost or end twice when workers, submitters, deadlines and Close race.
func TestEveryItemEndsOnce(t *testing.T) {
	const submitters, itemsPerSubmitter = 8, 200
	var ran, refused, rejected atomic.Int64
	q := NewQueue(50)
	pool := worker.NewPool(4, q)
	var group sync.WaitGroup
	for s := range submitters {
		group.Go(func() {
			for i := range itemsPerSubmitter {
				item := Item{
					Organisation: fmt.Sprint(s), Priority: i % 3, Tokens: 1 + i%7,
					Job:    job{run: func() { ran.Add(1) }},
					Refuse: func(*fault.Error) { refused.Add(1) },
				}
				if i%5 == 0 {
					item.Deadline = time.Now().Add(time.Duration(i) * time.Microsecond)
				}
				if q.Submit(item, time.Now()) != nil {
					rejected.Add(1)
				}
			}
		})
	}
	group.Wait()
	q.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := pool.Wait(ctx); err != nil {
		t.Fatal(err)
	}
	if total := ran.Load() + refused.Load() + rejected.Load(); total != submitters*itemsPerSubmitter {
		t.Errorf("%d ran, %d refused after queueing, %d refused by Submit: %d in all, want %d", ran.Load(), refused.Load(), rejected.Load(), total, submitters*itemsPerSubmitter)
	}
}

// Guards against a cancelled worker that stays in the list of idle workers, where it would be handed a job that nobody runs.
func TestIdleWorkerEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r outcomes
		q := NewQueue(10)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan bool, 1)
		go func() {
			_, ok := q.Next(ctx)
			ended <- ok
		}()
		synctest.Wait()
		cancel()
		if <-ended {
			t.Error("Next returned a job from an empty queue")
		}
		mustSubmit(t, q, r.item("a", "a", 1, 10))
		if got := q.Stats(); got.Length != 1 || got.IdleWorkers != 0 {
			t.Errorf("%+v, want one queued item and no idle worker", got)
		}
	})
}
