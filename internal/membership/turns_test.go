package membership

import (
	"math/rand/v2"
	"testing"
)

// Guards against a peer that is not asked for longer than the freshness bound of 6 s (rounds of 1 s), after which a bare
// majority of a small fleet would lapse.
func TestEachPeerIsAskedWithinTheBound(t *testing.T) {
	const peers, bound = 5, 6
	random := newRandom(rand.New(rand.NewPCG(1, 2)))
	known := make([]Address, peers)
	for i := range known {
		known[i] = Address{IP: "127.0.0.1", Port: i + 1}
	}
	turns := newTurns()
	last := map[Address]int{}
	for round := range 1000 {
		for _, target := range turns.next(random.pick(append([]Address(nil), known...), peers)) {
			last[target] = round
		}
		for _, address := range known {
			if round > bound && round-last[address] > bound {
				t.Fatalf("round %d: %s was last asked in round %d", round, address, last[address])
			}
		}
	}
}
