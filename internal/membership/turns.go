package membership

// pullRotation records in which round this instance last pulled the digest of each peer. Only the pull duty uses it.
type pullRotation struct {
	round     int64
	lastAsked map[Address]int64
}

func newPullRotation() *pullRotation { return &pullRotation{lastAsked: map[Address]int64{}} }

// chooseTargets returns the peers of one round from the shuffled ones. The first is the peer that was asked longest ago, so
// that in a small fleet every peer is asked within the freshness bound, also if some peers are dead. The second is random, so
// that changes spread quickly.
func (t *pullRotation) chooseTargets(shuffled []Address) []Address {
	if len(shuffled) == 0 {
		return nil
	}
	t.round++
	leastRecent := 0
	for i := range shuffled {
		if t.lastAsked[shuffled[i]] < t.lastAsked[shuffled[leastRecent]] {
			leastRecent = i
		}
	}
	shuffled[0], shuffled[leastRecent] = shuffled[leastRecent], shuffled[0]
	targets := shuffled[:min(pullsPerRound, len(shuffled))]
	t.dropUnknown(shuffled)
	for _, target := range targets {
		t.lastAsked[target] = t.round
	}
	return targets
}

// dropUnknown deletes peers that are no longer known, once more than twice as many peers are recorded as are known.
func (t *pullRotation) dropUnknown(known []Address) {
	if len(t.lastAsked) <= 2*len(known) {
		return
	}
	kept := make(map[Address]int64, len(known))
	for _, address := range known {
		if round, ok := t.lastAsked[address]; ok {
			kept[address] = round
		}
	}
	t.lastAsked = kept
}
