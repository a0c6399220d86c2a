package engine

import "github.com/cicadawall/cicadawall/internal/api"

// faultPlan holds the faults that apply to one completion.
type faultPlan struct {
	fail, close                 bool
	cut, stall                  bool
	cutAfter                    int
	stallAfter, stallMillis     int
	duplicate, reorder, foreign bool
}

func (t *stateTable) setFaults(faults api.EngineStandinFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

func (t *stateTable) getFaults() api.EngineStandinFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// nextFaultPlan returns the faults of the next completion and decrements the counter of each of them.
func (t *stateTable) nextFaultPlan() faultPlan {
	t.mu.Lock()
	defer t.mu.Unlock()
	return faultPlan{
		fail:        useUp(&t.faults.FailNext),
		close:       useUp(&t.faults.CloseNext),
		cut:         useUp(&t.faults.CutNext),
		cutAfter:    t.faults.CutAfter,
		stall:       useUp(&t.faults.StallNext),
		stallAfter:  t.faults.StallAfter,
		stallMillis: t.faults.StallMillis,
		duplicate:   useUp(&t.faults.DuplicateNext),
		reorder:     useUp(&t.faults.ReorderNext),
		foreign:     useUp(&t.faults.ForeignNext),
	}
}

// useUp decrements the counter and reports true, or reports false if the counter is zero already.
func useUp(counter *int) bool {
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

func (t *stateTable) countStarted(model, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Started++
	if state := t.versions[versionKey{model, version}]; state != nil {
		state.startCount++
	}
}

// countEnded counts a started completion as finished or cancelled.
func (t *stateTable) countEnded(cancelled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancelled {
		t.counts.Cancelled++
		return
	}
	t.counts.Finished++
}

func (t *stateTable) countRefused() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Refused++
}

func (t *stateTable) getCounts() api.EngineStandinCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	counts.Executions = []api.VersionCount{}
	for _, key := range t.keysLocked() {
		if started := t.versions[key].startCount; started > 0 {
			counts.Executions = append(counts.Executions, api.VersionCount{Model: key.model, Version: key.version, Count: started})
		}
	}
	return counts
}
