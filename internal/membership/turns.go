package membership

// turns remembers in which round each peer was last asked. Only the pull duty uses it.
type turns struct {
	round int64
	asked map[Address]int64
}

func newTurns() *turns { return &turns{asked: map[Address]int64{}} }

// next returns the peers of one round from the shuffled ones: the one that was not asked for the longest time, so that each
// of a small fleet is heard within the freshness bound also beside dead ones, and a random one, so that news spreads.
func (t *turns) next(shuffled []Address) []Address {
	if len(shuffled) == 0 {
		return nil
	}
	t.round++
	longest := 0
	for i := range shuffled {
		if t.asked[shuffled[i]] < t.asked[shuffled[longest]] {
			longest = i
		}
	}
	shuffled[0], shuffled[longest] = shuffled[longest], shuffled[0]
	targets := shuffled[:min(pullsPerRound, len(shuffled))]
	t.forget(shuffled)
	for _, target := range targets {
		t.asked[target] = t.round
	}
	return targets
}

// forget drops peers that are not known any more.
func (t *turns) forget(known []Address) {
	if len(t.asked) <= 2*len(known) {
		return
	}
	kept := make(map[Address]int64, len(known))
	for _, address := range known {
		if round, ok := t.asked[address]; ok {
			kept[address] = round
		}
	}
	t.asked = kept
}
