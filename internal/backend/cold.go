package backend

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/evacuation"
)

// ColdStart describes when the servers of a service count as cold.
type ColdStart struct {
	// Duration is how long a server is cold after its start.
	Duration time.Duration
	// UnknownUntil is the time until which each server may be cold without its entry saying so; zero if none may.
	UnknownUntil time.Time

	// recentEnds are the evacuations that ended so recently that the servers of their zones may be cold.
	recentEnds []evacuation.Record
}

// coldFor returns how long requests to the server remain bounded because it is cold; zero if they are not. The entry may not say yet that the
// server is cold: after its zone was evacuated, and after a failure to connect, because it may have restarted.
func (r *row) coldFor(q *Query, now time.Time) time.Duration {
	if q.Cold == nil {
		return 0
	}
	remaining := max(0, r.coldUntil.Sub(now), r.peerColdUntil.Sub(now), q.Cold.UnknownUntil.Sub(now))
	if failure := r.health.lastConnectFailure; !failure.IsZero() {
		remaining = max(remaining, failure.Add(q.Cold.Duration).Sub(now))
	}
	for _, end := range q.Cold.recentEnds {
		if end.Zone == r.entry.AvailabilityZone {
			remaining = max(remaining, end.EndedAt.Add(q.Cold.Duration).Sub(now))
		}
	}
	return remaining
}

func (r *row) extendCold(until time.Time) {
	if until.After(r.peerColdUntil) {
		r.peerColdUntil = until
	}
}

// ColdServers returns how long the servers that are cold by their entries remain so, by identifier.
func (d *Directory) ColdServers(now time.Time) map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	cold := map[string]time.Duration{}
	for id, r := range d.rows {
		if remaining := max(r.coldUntil.Sub(now), r.peerColdUntil.Sub(now)); remaining > 0 {
			cold[id] = remaining
		}
	}
	return cold
}
