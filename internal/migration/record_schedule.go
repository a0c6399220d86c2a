package migration

import "time"

// turnDelay is the time after which the next instance records a state that the one before it has not recorded.
const turnDelay = 900 * time.Millisecond

// Turns spreads the recording of states over the instances: one records at once, the others in turn if they do not hear of
// the record. One goroutine uses it.
type Turns struct {
	// pending holds since when a state waits to be recorded.
	pending map[string]time.Time
}

// Due returns the decisions that this instance should record now. Rank is its place among the instances for a service.
func (t *Turns) Due(decisions []Decision, rank func(service string) int, now time.Time) []Decision {
	pending := map[string]time.Time{}
	var due []Decision
	for _, decision := range decisions {
		status := decision.Status
		name := status.Service + "\x00" + status.Target + "\x00" + string(status.State)
		since, ok := t.pending[name]
		if !ok {
			since = now
		}
		pending[name] = since
		if now.Sub(since) >= time.Duration(rank(status.Service))*turnDelay {
			due = append(due, decision)
		}
	}
	t.pending = pending
	return due
}
