package platform

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// defaultWeightBytes is the size of one version's weights if none is set.
const defaultWeightBytes = 16 << 30

// weightTable limits the rate at which weights are handed out. One load may start when the previous one has been paid for.
type weightTable struct {
	mu     *lockorder.Mutex
	freeAt time.Time
}

func newWeightTable() *weightTable {
	return &weightTable{mu: lockorder.New(lockorder.RankStandin)}
}

// request returns a grant, or a grant of 0 bytes with the wait.
func (t *weightTable) request(faults api.PlatformFaults, now time.Time) api.WeightGrant {
	size := faults.WeightBytes
	if size == 0 {
		size = defaultWeightBytes
	}
	if faults.WeightBytesPerSecond == 0 {
		return api.WeightGrant{GrantedBytes: size}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if wait := t.freeAt.Sub(now); wait > 0 {
		return api.WeightGrant{RetryAfterMillis: int(wait.Milliseconds()) + 1}
	}
	duration := float64(size) / float64(faults.WeightBytesPerSecond) * float64(time.Second)
	t.freeAt = now.Add(time.Duration(duration))
	return api.WeightGrant{GrantedBytes: size}
}
