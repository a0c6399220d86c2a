// Package admission implements the queue between the callers' front end and the workers. The queue is bounded. It serves
// class priorities in strict order, divides service at one priority between organisations in proportion to their weights,
// measured in tokens, and refuses a request on arrival if it cannot start before its deadline. The decisions (fair.go,
// rate.go) are pure; queue.go adds the lock and the waiting.
package admission

import (
	"container/list"
	"time"

	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/worker"
)

// Item is one request that waits for a worker.
type Item struct {
	Organisation string
	Class        string
	// Priority is the class priority, 0 to 9; a higher one is served first.
	Priority int
	// Weight is the organisation's weight in the fair queue; values below 1 count as 1.
	Weight int
	// Tokens is the estimated number of prompt and answer tokens; values below 1 count as 1.
	Tokens int
	// Deadline is the time by which the job must have finished; zero means no deadline.
	Deadline time.Time
	// MinServiceTime is the shortest time that the job runs once a worker has started it; zero if unknown.
	MinServiceTime time.Duration
	// Job runs on a worker if the item is served.
	Job worker.Job
	// Refuse is called once if an accepted item is not served; its job is then never run. The outcome of the error is always
	// not_run. Refuse is called without the queue's lock and must not block.
	Refuse func(*fault.Error)
}

// entry is an item in the queue.
type entry struct {
	item    Item
	flow    *flow
	element *list.Element
	// expiryIndex is the index in the heap Queue.deadlines, or -1 if the item has no deadline.
	expiryIndex int
}

func (i *Item) tokens() float64 { return float64(max(1, i.Tokens)) }

func (i *Item) weight() float64 { return float64(max(1, i.Weight)) }

// latestStart returns the latest time at which the item can start and still meet its deadline.
func (i *Item) latestStart() time.Time { return i.Deadline.Add(-i.MinServiceTime) }
