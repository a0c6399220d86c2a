package gateway

import (
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
		chosen := candidateByID(candidates, choice.Server)
		if chosen.ColdFor <= 0 {
			return choice
		}
		chosen.ColdWait = r.gateway.ColdStarts.Take(chosen.ID, r.service.ColdStart, chosen.ColdFor, now)
		if chosen.ColdWait <= 0 {
			return choice
		}
	}
}

func candidateByID(candidates []routing.Candidate, id string) *routing.Candidate {
	i := 0
	for candidates[i].ID != id {
		i++
	}
	return &candidates[i]
}
