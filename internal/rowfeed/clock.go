package rowfeed

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// Clock extrapolates the store's monotonic clock from the last answer of the store. It is safe for concurrent use.
type Clock struct {
	mu         *lockorder.Mutex
	lastClock  time.Duration
	receivedAt time.Time
}

// NewClock returns a clock that has not been set.
func NewClock() *Clock { return &Clock{mu: lockorder.New(lockorder.RankLeases)} }

// Set records the store's clock as read from an answer, and the local time at which the answer arrived.
func (c *Clock) Set(clock time.Duration, receivedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastClock, c.receivedAt = clock, receivedAt
}

// Now returns the estimate of the store's clock at the local time now.
func (c *Clock) Now(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastClock + now.Sub(c.receivedAt)
}
