package engine

import "github.com/cicadawall/cicadawall/internal/api"

// plan is what the faults do to one completion.
type plan struct {
	fail, close                   bool
	cut, stall                    bool
	cutAfter                      int
	stallAfter, stallMillis       int
	duplicate, reorder, foreigner bool
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

// plan uses up one of each counted fault.
func (t *stateTable) plan() plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	return plan{
		fail:        take(&t.faults.FailNext),
		close:       take(&t.faults.CloseNext),
		cut:         take(&t.faults.CutNext),
		cutAfter:    t.faults.CutAfter,
		stall:       take(&t.faults.StallNext),
		stallAfter:  t.faults.StallAfter,
		stallMillis: t.faults.StallMillis,
		duplicate:   take(&t.faults.DuplicateNext),
		reorder:     take(&t.faults.ReorderNext),
		foreigner:   take(&t.faults.ForeignNext),
	}
}

func take(counter *int) bool {
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
		state.started++
	}
}

// countEnded records the end of a completion that was started.
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
		if started := t.versions[key].started; started > 0 {
			counts.Executions = append(counts.Executions, api.VersionCount{Model: key.model, Version: key.version, Count: started})
		}
	}
	return counts
}
