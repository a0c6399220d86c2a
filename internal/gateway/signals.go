package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
)

const (
	// backoffSpread is the fraction of a server's backoff by which instances return later, so that they do not return together, and
	// maxBackoffSpread bounds it.
	backoffSpread    = 0.25
	maxBackoffSpread = 2 * time.Second
)

// recordSignals records what an answer says about its server beside the answer itself. On an address that now belongs to another server
// it says nothing about the expected one.
func (r *requestJob) recordSignals(server *backend.Attempt, reply *Reply) {
	if reply.Verdict == VerdictMisdirected {
		return
	}
	now := time.Now()
	if reply.ServerLeaving && server.MarkLeaving(now) {
		r.log("backend server says that it leaves", "server", server.Entry.ID, "address", server.Entry.Address)
	}
	if reply.Backoff > 0 {
		wait := reply.Backoff + spread(reply.Backoff, r.rng)
		server.MarkBackoff(wait, now)
		r.log("backend server wants no requests for some time", "server", server.Entry.ID, "asked_ms", reply.Backoff.Milliseconds(),
			"wait_ms", wait.Milliseconds())
	}
	if reply.InvalidSignal != "" && server.FirstInvalidSignal() {
		r.log("header of the backend server ignored", "server", server.Entry.ID, "reason", reply.InvalidSignal)
	}
}

// spread returns a random time by which a return after a wait is delayed.
func spread(wait time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(rng.Float64() * float64(min(maxBackoffSpread, time.Duration(backoffSpread*float64(wait)))))
}
