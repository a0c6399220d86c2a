package admission

import (
	"container/list"
	"time"

	"github.com/cicadawall/cicadawall/internal/fault"
)

// decision says what happens to an item that is accepted. It waits in the queue unless a worker is idle.
type decision struct {
	// idleWorker is the worker that takes the item at once; nil if there is none.
	idleWorker *list.Element
	// shed is the entry that must leave the full queue to make room; nil if there is room.
	shed *entry
}

// Preview returns whether the item would wait, or the error with which Submit would refuse it now. It changes nothing.
func (q *Queue) Preview(item Item, now time.Time) (waits bool, rejection *fault.Error) {
	item.Priority = min(max(item.Priority, 0), priorityCount-1)
	q.mu.Lock()
	defer q.mu.Unlock()
	rate := q.rate
	decision, rejection := q.decide(&item, &rate, now)
	return rejection == nil && decision.idleWorker == nil, rejection
}

// decide decides on an item that arrives now. It changes nothing but the rate, which it advances. The caller holds the lock.
func (q *Queue) decide(item *Item, rate *serviceRate, now time.Time) (decision, *fault.Error) {
	if q.closed {
		return decision{}, drainingError()
	}
	if !item.Deadline.IsZero() && !now.Before(item.latestStart()) {
		return decision{}, deadlineUnreachableError(item, now, 0)
	}
	if nextIdle := q.idleWorkers.Front(); nextIdle != nil {
		return decision{idleWorker: nextIdle}, nil
	}
	rate.advance(now)
	wait, known := rate.predictWait(q.tokensAhead(item))
	if known && !item.Deadline.IsZero() && now.Add(wait).After(item.latestStart()) {
		return decision{}, deadlineUnreachableError(item, now, wait)
	}
	if q.length < q.capacity {
		return decision{}, nil
	}
	victim := q.entryToShed(item)
	if victim == nil {
		return decision{}, q.queueFullError(rate)
	}
	return decision{shed: victim}, nil
}
