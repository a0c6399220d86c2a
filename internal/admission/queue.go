package admission

import (
	"container/heap"
	"container/list"
	"context"
	"fmt"
	"time"

	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/worker"
)

const (
	// priorities is the number of class priorities, 0 to 9.
	priorities = 10
	// longestWait caps predictions.
	longestWait = 10 * time.Minute
	// shortestRetry and longestRetry bound the advice to callers: below the first a repeat meets the same queue, above
	// the second the prediction says little.
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 30 * time.Second
)

// Queue is the bounded fair queue of one instance. It implements worker.Source. It is safe for concurrent use.
type Queue struct {
	capacity int

	mu      *lockorder.Mutex
	levels  [priorities]*level
	length  int
	expiry  expiryHeap
	rate    serviceRate
	waiting *list.List // of chan worker.Job
	closed  bool
	// timer refuses items at their deadline even while every worker is busy.
	timer   *time.Timer
	timerAt time.Time
}

// Stats is a copy of the queue's figures at one moment.
type Stats struct {
	Length int
	// Tokens is the estimated work that waits.
	Tokens float64
	// TokensPerSecond is the observed service rate; zero while unknown.
	TokensPerSecond float64
	IdleWorkers     int
}

var _ worker.Source = (*Queue)(nil)

// NewQueue returns an empty queue for at most capacity items.
func NewQueue(capacity int) *Queue {
	q := &Queue{capacity: capacity, mu: lockorder.New(lockorder.RankQueue), waiting: list.New()}
	for p := range q.levels {
		q.levels[p] = newLevel(p)
	}
	return q
}

// refusal is an item that leaves the queue without being served. It is delivered after the lock was released.
type refusal struct {
	item  Item
	fault *fault.Error
}

func deliver(refused []refusal) {
	for _, r := range refused {
		if r.item.Refuse != nil {
			r.item.Refuse(r.fault)
		}
	}
}

// Submit accepts an item or returns why it is refused: queue_full, deadline_unreachable or draining, always not_run. The
// item's own Refuse is not called for a refusal that Submit returns. Accepting an item may shed one of lower priority.
func (q *Queue) Submit(item Item, now time.Time) *fault.Error {
	item.Priority = min(max(item.Priority, 0), priorities-1)
	shed, refused := q.submit(item, now)
	deliver(shed)
	return refused
}

func (q *Queue) submit(item Item, now time.Time) ([]refusal, *fault.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, draining()
	}
	if !item.Deadline.IsZero() && !now.Before(item.latestStart()) {
		return nil, unreachable(&item, now, 0)
	}
	if first := q.waiting.Front(); first != nil {
		q.waiting.Remove(first)
		first.Value.(chan worker.Job) <- item.Job
		return nil, nil
	}
	q.rate.advance(now)
	wait, known := q.rate.wait(q.ahead(&item))
	if known && !item.Deadline.IsZero() && now.Add(wait).After(item.latestStart()) {
		return nil, unreachable(&item, now, wait)
	}
	var shed []refusal
	if q.length >= q.capacity {
		victim := q.victim(&item)
		if victim == nil {
			return nil, q.full()
		}
		q.remove(victim)
		shed = append(shed, refusal{item: victim.item, fault: q.full()})
	}
	q.push(item, now)
	return shed, nil
}

// ahead returns the tokens that are served before a new item.
func (q *Queue) ahead(item *Item) float64 {
	total := q.levels[item.Priority].ahead(item)
	for p := item.Priority + 1; p < priorities; p++ {
		total += q.levels[p].tokens
	}
	return total
}

// victim returns the entry that makes room for the item in a full queue, or nil if the item itself is the one to refuse.
// It is the newest entry of the organisation with the largest backlog in the lowest priority. Within the item's own
// priority the organisation with the larger backlog gives way, so a flood by one cannot shut out the others.
func (q *Queue) victim(item *Item) *entry {
	for p := 0; p <= item.Priority; p++ {
		f := q.levels[p].longest()
		if f == nil {
			continue
		}
		if p == item.Priority && f.backlog() <= q.backlogWith(item) {
			return nil
		}
		return f.entries.Back().Value.(*entry)
	}
	return nil
}

// backlogWith returns the backlog per weight that the item's organisation would have with the item.
func (q *Queue) backlogWith(item *Item) float64 {
	tokens := item.tokens()
	if f := q.levels[item.Priority].flows[item.Organisation]; f != nil {
		tokens += f.tokens
	}
	return tokens / item.weight()
}

func (q *Queue) push(item Item, now time.Time) {
	if q.length == 0 {
		q.rate.start(now)
	}
	e := q.levels[item.Priority].push(item)
	q.length++
	if !item.Deadline.IsZero() {
		heap.Push(&q.expiry, e)
		q.arm(now)
	}
}

// remove takes an entry out of its level and the deadline heap.
func (q *Queue) remove(e *entry) {
	e.flow.level.remove(e)
	q.forget(e)
}

func (q *Queue) forget(e *entry) {
	if e.expiry >= 0 {
		heap.Remove(&q.expiry, e.expiry)
	}
	q.length--
}

// Next implements worker.Source. A job that was handed over while the context ended is returned, so that it is never lost.
func (q *Queue) Next(ctx context.Context) (worker.Job, bool) {
	job, slot, ok := q.take(time.Now())
	if slot == nil {
		return job, ok
	}
	handed := slot.Value.(chan worker.Job)
	select {
	case job, ok = <-handed:
		return job, ok
	case <-ctx.Done():
	}
	q.withdraw(slot)
	select {
	case job, ok = <-handed:
		return job, ok
	default:
		return nil, false
	}
}

// take returns the next job, or the place in the line of idle workers if there is none and the queue is open.
func (q *Queue) take(now time.Time) (worker.Job, *list.Element, bool) {
	var refused []refusal
	defer func() { deliver(refused) }()
	q.mu.Lock()
	defer q.mu.Unlock()
	refused = q.expire(now)
	if e := q.pop(now); e != nil {
		return e.item.Job, nil, true
	}
	if q.closed {
		return nil, nil, false
	}
	return nil, q.waiting.PushBack(make(chan worker.Job, 1)), false
}

func (q *Queue) withdraw(slot *list.Element) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting.Remove(slot)
}

// pop removes the entry to serve next, or returns nil.
func (q *Queue) pop(now time.Time) *entry {
	for p := priorities - 1; p >= 0; p-- {
		if len(q.levels[p].ready) == 0 {
			continue
		}
		q.rate.advance(now)
		e := q.levels[p].pop()
		q.forget(e)
		q.rate.served(e.item.tokens())
		if q.length == 0 {
			q.rate.stop(now)
		}
		return e
	}
	return nil
}

// expire removes the entries that can no longer meet their deadline.
func (q *Queue) expire(now time.Time) []refusal {
	var refused []refusal
	for len(q.expiry) > 0 && !now.Before(q.expiry[0].item.latestStart()) {
		e := q.expiry[0]
		q.remove(e)
		refused = append(refused, refusal{item: e.item, fault: expired(&e.item)})
	}
	if q.length == 0 && refused != nil {
		q.rate.stop(now)
	}
	return refused
}

// arm sets the timer to the earliest deadline.
func (q *Queue) arm(now time.Time) {
	if len(q.expiry) == 0 || q.closed && q.length == 0 {
		return
	}
	at := q.expiry[0].item.latestStart()
	if !q.timerAt.IsZero() && !at.Before(q.timerAt) {
		return
	}
	q.timerAt = at
	if q.timer == nil {
		q.timer = time.AfterFunc(at.Sub(now), q.onTimer)
		return
	}
	q.timer.Reset(at.Sub(now))
}

func (q *Queue) onTimer() {
	now := time.Now()
	q.mu.Lock()
	refused := q.expire(now)
	q.timerAt = time.Time{}
	q.arm(now)
	q.mu.Unlock()
	deliver(refused)
}

// Close stops admission. Items that wait are still served; Next returns false once the queue is empty.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.close()
}

func (q *Queue) close() {
	q.closed = true
	for slot := q.waiting.Front(); slot != nil; slot = q.waiting.Front() {
		close(slot.Value.(chan worker.Job))
		q.waiting.Remove(slot)
	}
}

// Abort stops admission and refuses every item that waits.
func (q *Queue) Abort() {
	deliver(q.abort())
}

func (q *Queue) abort() []refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.close()
	if q.timer != nil {
		q.timer.Stop()
	}
	var refused []refusal
	for e := q.pop(time.Now()); e != nil; e = q.pop(time.Now()) {
		refused = append(refused, refusal{item: e.item, fault: draining()})
	}
	return refused
}

// Stats returns the queue's figures.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	stats := Stats{Length: q.length, TokensPerSecond: q.rate.perSecond(), IdleWorkers: q.waiting.Len()}
	for _, l := range q.levels {
		stats.Tokens += l.tokens
	}
	return stats
}

func (q *Queue) full() *fault.Error {
	var tokens float64
	for _, l := range q.levels {
		tokens += l.tokens
	}
	// A tenth of the queue is the room after which a repeat is likely to find a place.
	wait, _ := q.rate.wait(tokens / 10)
	return fault.NotRun(fault.StepAdmit, fault.CodeQueueFull, fmt.Sprintf("the queue of %d requests is full", q.capacity)).
		WithAdvice("repeat the request after the stated wait").
		WithRetryAfter(clampRetry(wait))
}

func unreachable(item *Item, now time.Time, wait time.Duration) *fault.Error {
	left := item.latestStart().Sub(now)
	message := fmt.Sprintf("the predicted wait of %s exceeds the %s left before the deadline", wait.Round(time.Millisecond), left.Round(time.Millisecond))
	return fault.NotRun(fault.StepAdmit, fault.CodeDeadlineUnreachable, message).
		WithAdvice("repeat the request after the stated wait, or allow it more time").
		WithRetryAfter(clampRetry(wait - left))
}

func expired(item *Item) *fault.Error {
	return fault.NotRun(fault.StepQueue, fault.CodeDeadlineExceeded, fmt.Sprintf("no worker was free before the deadline of the %q request", item.Class)).
		WithAdvice("repeat the request").
		WithRetryAfter(shortestRetry)
}

func draining() *fault.Error {
	return fault.NotRun(fault.StepDrain, fault.CodeDraining, "this instance is shutting down").
		WithAdvice("repeat the request; another instance takes it").
		WithRetryAfter(shortestRetry)
}

func clampRetry(wait time.Duration) time.Duration {
	return min(max(wait, shortestRetry), longestRetry)
}
