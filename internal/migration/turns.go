package migration

import "time"

// recordDelay is the time that an instance waits for the instance ranked before it to record a state.
const recordDelay = 900 * time.Millisecond

// RecordSchedule staggers the recording of a state over the instances, so that they do not all write at once: the first one
// writes immediately, and each further one only if the state is still unrecorded after its delay. It is not safe for
// concurrent use.
type RecordSchedule struct {
	// pendingSince holds the time since when each state waits to be recorded.
	pendingSince map[string]time.Time
}

// Due returns the decisions that this instance must record now. Rank returns its position among the instances for a service.
func (t *RecordSchedule) Due(decisions []Decision, rank func(service string) int, now time.Time) []Decision {
	pending := map[string]time.Time{}
	var due []Decision
	for _, decision := range decisions {
		status := decision.Status
		key := status.Service + "\x00" + status.Target + "\x00" + string(status.State)
		since, ok := t.pendingSince[key]
		if !ok {
			since = now
		}
		pending[key] = since
		if now.Sub(since) >= time.Duration(rank(status.Service))*recordDelay {
			due = append(due, decision)
		}
	}
	t.pendingSince = pending
	return due
}
