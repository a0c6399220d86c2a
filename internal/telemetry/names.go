package telemetry

import "github.com/cicadawall/cicadawall/internal/lockorder"

// other is the label value for names beyond the bound.
const other = "other"

// names is a bounded set of label values. A name keeps its place until the process ends, so that a series never changes
// its meaning and declarations that come and go cannot add series without end.
type names struct {
	limit int
	mu    *lockorder.RWMutex
	known map[string]bool
}

func newNames(limit int) *names {
	return &names{limit: limit, mu: lockorder.NewRW(lockorder.RankTelemetry), known: map[string]bool{}}
}

// declare adds names in the given order until the set is full.
func (n *names) declare(values []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, value := range values {
		if len(n.known) >= n.limit {
			return
		}
		n.known[value] = true
	}
}

// label returns the value, or other if it has no place.
func (n *names) label(value string) string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.known[value] {
		return value
	}
	return other
}
