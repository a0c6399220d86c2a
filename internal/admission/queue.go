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
	// priorityCount is the number of class priorities, 0 to 9.
	priorityCount = 10
	// maxPredictedWait caps the predicted queue wait.
	maxPredictedWait = 10 * time.Minute
	// minRetryAfter and maxRetryAfter bound the retry wait suggested to callers. A retry after less than minRetryAfter finds
	// the queue unchanged; beyond maxRetryAfter the prediction is unreliable.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Queue is the bounded fair queue of one instance. It implements worker.Source. It is safe for concurrent use.
type Queue struct {
	capacity int

	mu          *lockorder.Mutex
	fairQueues  [priorityCount]*fairQueue
	length      int
	deadlines   expiryHeap
	rate        serviceRate
	idleWorkers *list.List // of chan worker.Job, the longest idle worker first
	closed      bool
	// expiryTimer refuses items that can no longer meet their deadline, also while every worker is busy.
	expiryTimer   *time.Timer
	expiryTimerAt time.Time
}

// Stats is a snapshot of the queue's state.
type Stats struct {
	Length int
	// Tokens is the estimated number of queued tokens.
	Tokens float64
	// TokensPerSecond is the observed service rate; zero while unknown.
	TokensPerSecond float64
	IdleWorkers     int
}

var _ worker.Source = (*Queue)(nil)

// NewQueue returns an empty queue for at most capacity items.
func NewQueue(capacity int) *Queue {
	q := &Queue{capacity: capacity, mu: lockorder.New(lockorder.RankQueue), idleWorkers: list.New()}
	for p := range q.fairQueues {
		q.fairQueues[p] = newFairQueue(p)
	}
	return q
}

// refusal is an item that left the queue without being served. Its Refuse function is called after the lock is released.
type refusal struct {
	item  Item
	fault *fault.Error
}

func callRefuse(refusals []refusal) {
	for _, r := range refusals {
		if r.item.Refuse != nil {
			r.item.Refuse(r.fault)
		}
	}
}

// Submit accepts an item or returns the error with which it is refused: queue_full, deadline_unreachable or draining, with
// the outcome not_run. The item's Refuse is not called in that case. Accepting an item into a full queue sheds another
// item, of lower priority or of an organisation with a larger backlog.
func (q *Queue) Submit(item Item, now time.Time) *fault.Error {
	item.Priority = min(max(item.Priority, 0), priorityCount-1)
	shed, rejection := q.submit(item, now)
	callRefuse(shed)
	return rejection
}

func (q *Queue) submit(item Item, now time.Time) ([]refusal, *fault.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	decision, rejection := q.decide(&item, &q.rate, now)
	if rejection != nil {
		return nil, rejection
	}
	if decision.idleWorker != nil {
		q.idleWorkers.Remove(decision.idleWorker)
		decision.idleWorker.Value.(chan worker.Job) <- item.Job
		return nil, nil
	}
	var shed []refusal
	if victim := decision.shed; victim != nil {
		q.remove(victim)
		shed = append(shed, refusal{item: victim.item, fault: q.queueFullError(&q.rate)})
	}
	q.push(item, now)
	return shed, nil
}

// tokensAhead returns the queued tokens that are served before a new item.
func (q *Queue) tokensAhead(item *Item) float64 {
	total := q.fairQueues[item.Priority].tokensAhead(item)
	for p := item.Priority + 1; p < priorityCount; p++ {
		total += q.fairQueues[p].queuedTokens
	}
	return total
}

// entryToShed returns the entry to remove from a full queue to make room for the item, or nil if the item itself must be
// refused. It is the newest entry of the organisation with the largest backlog at the lowest backlogged priority. At the
// item's own priority the organisation with the larger backlog loses an entry, so that a flood by one organisation cannot
// shut out the others.
func (q *Queue) entryToShed(item *Item) *entry {
	for p := 0; p <= item.Priority; p++ {
		f := q.fairQueues[p].largestBacklog()
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

// backlogWith returns the backlog, in tokens per unit of weight, of the item's organisation if the item were queued.
func (q *Queue) backlogWith(item *Item) float64 {
	tokens := item.tokens()
	if f := q.fairQueues[item.Priority].flows[item.Organisation]; f != nil {
		tokens += f.queuedTokens
	}
	return tokens / item.weight()
}

func (q *Queue) push(item Item, now time.Time) {
	if q.length == 0 {
		q.rate.startBusy(now)
	}
	e := q.fairQueues[item.Priority].push(item)
	q.length++
	if !item.Deadline.IsZero() {
		heap.Push(&q.deadlines, e)
		q.armExpiryTimer(now)
	}
}

// remove removes an entry from its fair queue and from the deadline heap.
func (q *Queue) remove(e *entry) {
	e.flow.queue.remove(e)
	q.untrack(e)
}

// untrack removes an entry that has left its fair queue from the deadline heap and decrements the length.
func (q *Queue) untrack(e *entry) {
	if e.expiryIndex >= 0 {
		heap.Remove(&q.deadlines, e.expiryIndex)
	}
	q.length--
}

// Next implements worker.Source. A job handed over while the context is being cancelled is still returned, so that no job
// is lost.
func (q *Queue) Next(ctx context.Context) (worker.Job, bool) {
	job, idle, ok := q.popOrWait(time.Now())
	if idle == nil {
		return job, ok
	}
	handedOver := idle.Value.(chan worker.Job)
	select {
	case job, ok = <-handedOver:
		return job, ok
	case <-ctx.Done():
	}
	q.removeIdleWorker(idle)
	select {
	case job, ok = <-handedOver:
		return job, ok
	default:
		return nil, false
	}
}

// popOrWait returns the next job. If there is none and the queue is open, it adds the caller to idleWorkers and returns
// the list element.
func (q *Queue) popOrWait(now time.Time) (worker.Job, *list.Element, bool) {
	var refused []refusal
	defer func() { callRefuse(refused) }()
	q.mu.Lock()
	defer q.mu.Unlock()
	refused = q.removeExpired(now)
	if e := q.pop(now); e != nil {
		return e.item.Job, nil, true
	}
	if q.closed {
		return nil, nil, false
	}
	return nil, q.idleWorkers.PushBack(make(chan worker.Job, 1)), false
}

func (q *Queue) removeIdleWorker(idle *list.Element) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.idleWorkers.Remove(idle)
}

// pop removes and returns the entry to serve next, or returns nil if the queue is empty.
func (q *Queue) pop(now time.Time) *entry {
	for p := priorityCount - 1; p >= 0; p-- {
		if len(q.fairQueues[p].backlogged) == 0 {
			continue
		}
		q.rate.advance(now)
		e := q.fairQueues[p].pop()
		q.untrack(e)
		q.rate.recordServed(e.item.tokens())
		if q.length == 0 {
			q.rate.stopBusy(now)
		}
		return e
	}
	return nil
}

// removeExpired removes the entries that can no longer meet their deadline and returns their refusals.
func (q *Queue) removeExpired(now time.Time) []refusal {
	var refused []refusal
	for len(q.deadlines) > 0 && !now.Before(q.deadlines[0].item.latestStart()) {
		e := q.deadlines[0]
		q.remove(e)
		refused = append(refused, refusal{item: e.item, fault: deadlineExceededError(&e.item)})
	}
	if q.length == 0 && refused != nil {
		q.rate.stopBusy(now)
	}
	return refused
}

// armExpiryTimer sets the timer to the earliest time at which a queued entry can no longer meet its deadline.
func (q *Queue) armExpiryTimer(now time.Time) {
	if len(q.deadlines) == 0 || q.closed && q.length == 0 {
		return
	}
	earliest := q.deadlines[0].item.latestStart()
	if !q.expiryTimerAt.IsZero() && !earliest.Before(q.expiryTimerAt) {
		return
	}
	q.expiryTimerAt = earliest
	if q.expiryTimer == nil {
		q.expiryTimer = time.AfterFunc(earliest.Sub(now), q.onExpiryTimer)
		return
	}
	q.expiryTimer.Reset(earliest.Sub(now))
}

func (q *Queue) onExpiryTimer() {
	now := time.Now()
	q.mu.Lock()
	refused := q.removeExpired(now)
	q.expiryTimerAt = time.Time{}
	q.armExpiryTimer(now)
	q.mu.Unlock()
	callRefuse(refused)
}

// Close stops admission. Queued items are still served; Next returns false once the queue is empty.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.close()
}

func (q *Queue) close() {
	q.closed = true
	for idle := q.idleWorkers.Front(); idle != nil; idle = q.idleWorkers.Front() {
		close(idle.Value.(chan worker.Job))
		q.idleWorkers.Remove(idle)
	}
}

// Abort stops admission and refuses every queued item.
func (q *Queue) Abort() {
	callRefuse(q.abort())
}

func (q *Queue) abort() []refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.close()
	if q.expiryTimer != nil {
		q.expiryTimer.Stop()
	}
	var refused []refusal
	for e := q.pop(time.Now()); e != nil; e = q.pop(time.Now()) {
		refused = append(refused, refusal{item: e.item, fault: drainingError()})
	}
	return refused
}

// Stats returns a snapshot of the queue's state.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	stats := Stats{Length: q.length, TokensPerSecond: q.rate.tokensPerSecond(), IdleWorkers: q.idleWorkers.Len()}
	for _, fq := range q.fairQueues {
		stats.Tokens += fq.queuedTokens
	}
	return stats
}

func (q *Queue) queueFullError(rate *serviceRate) *fault.Error {
	var tokens float64
	for _, fq := range q.fairQueues {
		tokens += fq.queuedTokens
	}
	// Once a tenth of the queue has been served, a retry is likely to be accepted.
	wait, _ := rate.predictWait(tokens / 10)
	return fault.NotRun(fault.StepAdmit, fault.CodeQueueFull, fmt.Sprintf("the queue of %d requests is full", q.capacity)).
		WithAdvice("repeat the request after the stated wait").
		WithRetryAfter(clampRetryAfter(wait))
}

func deadlineUnreachableError(item *Item, now time.Time, wait time.Duration) *fault.Error {
	remaining := item.latestStart().Sub(now)
	message := fmt.Sprintf("the predicted queue wait of %s exceeds the %s left before the deadline", wait.Round(time.Millisecond), remaining.Round(time.Millisecond))
	return fault.NotRun(fault.StepAdmit, fault.CodeDeadlineUnreachable, message).
		WithAdvice("repeat the request after the stated wait, or allow it more time").
		WithRetryAfter(clampRetryAfter(wait - remaining))
}

func deadlineExceededError(item *Item) *fault.Error {
	return fault.NotRun(fault.StepQueue, fault.CodeDeadlineExceeded, fmt.Sprintf("no worker was free before the deadline of the %q request", item.Class)).
		WithAdvice("repeat the request").
		WithRetryAfter(minRetryAfter)
}

func drainingError() *fault.Error {
	return fault.NotRun(fault.StepDrain, fault.CodeDraining, "this instance is shutting down").
		WithAdvice("repeat the request; another instance can take it").
		WithRetryAfter(minRetryAfter)
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
