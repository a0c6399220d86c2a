package platform

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// defaultWeightBytes is the size of one version's weights if none is set.
const defaultWeightBytes = 16 << 30

// weightTable limits the rate at which weights are granted. A load is granted when the previous one, at the configured rate,
// has been transferred.
type weightTable struct {
	mu *lockorder.Mutex
	// nextGrantAt is the time from which the next load can be granted.
	nextGrantAt time.Time
}

func newWeightTable() *weightTable {
	return &weightTable{mu: lockorder.New(lockorder.RankStandin)}
}

// requestGrant returns a grant, or a grant of 0 bytes with the time to wait.
func (t *weightTable) requestGrant(faults api.PlatformFaults, now time.Time) api.WeightGrant {
	size := faults.WeightBytes
	if size == 0 {
		size = defaultWeightBytes
	}
	if faults.WeightBytesPerSecond == 0 {
		return api.WeightGrant{GrantedBytes: size}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if wait := t.nextGrantAt.Sub(now); wait > 0 {
		return api.WeightGrant{RetryAfterMillis: int(wait.Milliseconds()) + 1}
	}
	duration := float64(size) / float64(faults.WeightBytesPerSecond) * float64(time.Second)
	t.nextGrantAt = now.Add(time.Duration(duration))
	return api.WeightGrant{GrantedBytes: size}
}
