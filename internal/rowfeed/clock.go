package rowfeed

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// Clock counts the store's steady clock on from its last answer. It is safe for concurrent use.
type Clock struct {
	mu   *lockorder.Mutex
	last time.Duration
	at   time.Time
}

// NewClock returns a clock that has not been set.
func NewClock() *Clock { return &Clock{mu: lockorder.New(lockorder.RankLeases)} }

// Set takes the clock of an answer that arrived at a time.
func (c *Clock) Set(last time.Duration, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.at = last, at
}

// Now returns the store's clock at a time.
func (c *Clock) Now(at time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last + at.Sub(c.at)
}
