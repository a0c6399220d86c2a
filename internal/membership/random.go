package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// random is a random source that several duties share.
type random struct {
	mu     *lockorder.Mutex
	source *rand.Rand
}

func newRandom(source *rand.Rand) *random {
	return &random{mu: lockorder.New(lockorder.RankPeers), source: source}
}

// duration returns a time from 0 to below the limit.
func (r *random) duration(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.source.Int64N(int64(limit)))
}

// pick returns up to n different addresses in random order. It reorders the slice.
func (r *random) pick(from []Address, n int) []Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}
