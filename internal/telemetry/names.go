package telemetry

import "github.com/cicadawall/cicadawall/internal/lockorder"

// otherLabel is the label value that all names beyond the bound share.
const otherLabel = "other"

// labelSet is a bounded set of label values. A value is never removed, so that a series keeps its meaning and changing
// declarations cannot add series without bound.
type labelSet struct {
	limit  int
	mu     *lockorder.RWMutex
	values map[string]bool
}

func newLabelSet(limit int) *labelSet {
	return &labelSet{limit: limit, mu: lockorder.NewRW(lockorder.RankTelemetry), values: map[string]bool{}}
}

// add inserts values in the given order until the set is full.
func (s *labelSet) add(values []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, value := range values {
		if len(s.values) >= s.limit {
			return
		}
		s.values[value] = true
	}
}

// label returns the value if it is in the set, else otherLabel.
func (s *labelSet) label(value string) string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.values[value] {
		return value
	}
	return otherLabel
}
