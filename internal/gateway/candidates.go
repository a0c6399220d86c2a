package gateway

import (
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/routing"
)

// candidates returns the servers of the request's service, including those of evacuated zones and cold ones, which are marked.
func (r *requestJob) candidates(query backend.Query, now time.Time) []routing.Candidate {
	query.Evacuations = r.gateway.Evacuations.View()
	if !r.boundsColdServers() {
		return r.gateway.Directory.Candidates(query, now)
	}
	query.Cold = &backend.ColdStart{Duration: r.service.ColdStart.Duration, UnknownUntil: r.gateway.Evacuations.EndsKnownFrom(now)}
	candidates := r.gateway.Directory.Candidates(query, now)
	r.gateway.ColdStarts.Mark(candidates, r.service.ColdStart, now)
	return candidates
}

func (r *requestJob) boundsColdServers() bool { return r.service.ColdStart.PerSecond > 0 }

// chooseAllowedServer chooses a server and, if that is cold, uses a unit of the allowance for it. Another worker may have used the last unit
// since the candidates were marked; then another server is chosen.
func (r *requestJob) chooseAllowedServer(candidates []routing.Candidate, now time.Time) routing.Choice {
	for {
		choice := r.chooseServer(candidates, now)
		if !choice.Found || !r.boundsColdServers() || r.trace != nil {
			return choice
		}
		i := slices.IndexFunc(candidates, func(c routing.Candidate) bool { return c.ID == choice.Server })
		if candidates[i].ColdFor <= 0 {
			return choice
		}
		candidates[i].ColdWait = r.gateway.ColdStarts.Take(choice.Server, r.service.ColdStart, candidates[i].ColdFor, now)
		if candidates[i].ColdWait <= 0 {
			return choice
		}
	}
}
