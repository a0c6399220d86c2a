package membership

import (
	"math/rand/v2"
	"testing"
)

// Guards against a peer whose digest is not pulled for longer than the freshness bound of 6 s (rounds of 1 s). After that
// time its reports no longer count, and a small fleet could lose a majority that has no member to spare.
func TestEachPeerIsPulledWithinFreshnessBound(t *testing.T) {
	const peers, bound = 5, 6
	random := newRandom(rand.New(rand.NewPCG(1, 2)))
	known := make([]Address, peers)
	for i := range known {
		known[i] = Address{IP: "127.0.0.1", Port: i + 1}
	}
	rotation := newPullRotation()
	lastAsked := map[Address]int{}
	for round := range 1000 {
		for _, target := range rotation.chooseTargets(random.sample(append([]Address(nil), known...), peers)) {
			lastAsked[target] = round
		}
		for _, address := range known {
			if round > bound && round-lastAsked[address] > bound {
				t.Fatalf("round %d: %s was last asked in round %d", round, address, lastAsked[address])
			}
		}
	}
}
