package backend

import "time"

// ColdStart describes when the servers of a service count as cold.
type ColdStart struct {
	// Duration is how long a server is cold after its start.
	Duration time.Duration
	// UnknownUntil is the time until which each server may be cold without its entry saying so; zero if none may.
	UnknownUntil time.Time
}

// coldFor returns how long requests to the server remain bounded because it is cold; zero if they are not. The entry may not say yet that the
// server is cold: after its zone was evacuated, and after a failure to connect, because it may have restarted.
func (r *row) coldFor(q Query, now time.Time) time.Duration {
	if q.Cold == nil {
		return 0
	}
	remaining := max(0, r.coldUntil.Sub(now), r.peerColdUntil.Sub(now), q.Cold.UnknownUntil.Sub(now))
	for _, since := range [...]time.Time{r.health.lastConnectFailure, q.Evacuations.EndedAt(r.entry.AvailabilityZone)} {
		if !since.IsZero() {
			remaining = max(remaining, since.Add(q.Cold.Duration).Sub(now))
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
