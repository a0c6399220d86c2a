package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// random is a random source that is safe for concurrent use by several duties.
type random struct {
	mu     *lockorder.Mutex
	source *rand.Rand
}

func newRandom(source *rand.Rand) *random {
	return &random{mu: lockorder.New(lockorder.RankPeers), source: source}
}

// durationBelow returns a random duration in [0, limit).
func (r *random) durationBelow(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.source.Int64N(int64(limit)))
}

// sample returns up to n of the addresses in random order. It reorders the given slice.
func (r *random) sample(addresses []Address, n int) []Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}
