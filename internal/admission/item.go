// Package admission holds the queue between the callers' front end and the workers. The queue is bounded, serves class
// priorities strictly, shares the service of one priority between organisations by weighted tokens, and refuses early what
// could not start before its deadline. The decisions (fair.go, rate.go) are pure; queue.go adds the lock and the waiting.
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
	// Weight is the organisation's fair-queue weight; values below 1 count as 1.
	Weight int
	// Tokens is the estimated number of prompt and answer tokens; values below 1 count as 1.
	Tokens int
	// Deadline is the time by which the work must have ended; zero means none.
	Deadline time.Time
	// Service is the shortest time that the work itself needs after the queue; zero if unknown.
	Service time.Duration
	// Job runs on a worker if the item is served.
	Job worker.Job
	// Refuse is called once, instead of the job, if an accepted item is not served. The outcome is always not_run. It is
	// called without the queue's lock and must not block.
	Refuse func(*fault.Error)
}

// entry is an item in the queue.
type entry struct {
	item     Item
	flow     *flow
	position *list.Element
	// expiry is the index in the deadline heap, or -1 without a deadline.
	expiry int
}

func (i *Item) tokens() float64 { return float64(max(1, i.Tokens)) }

func (i *Item) weight() float64 { return float64(max(1, i.Weight)) }

// latestStart returns the last moment at which a start can still meet the deadline.
func (i *Item) latestStart() time.Time { return i.Deadline.Add(-i.Service) }
