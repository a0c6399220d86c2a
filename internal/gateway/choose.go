package gateway

import (
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/routing"
)

// chooseServer applies the routing policy. If no server is eligible it also considers, step by step, servers that were tried
// before, ejected servers, and servers of another version.
func (r *requestJob) chooseServer(candidates []routing.Candidate, now time.Time) routing.Choice {
	preference := r.versionPreference(now)
	policy := routing.PlainPolicy()
	if r.route.HasPrompt {
		policy = routing.PromptPolicy()
	}
	request := routing.Request{
		Zone: r.gateway.AvailabilityZone, Exclude: r.triedServers, RequiredSoftware: preference.Use, ExcludedSoftware: preference.Withdrawn,
		PromptTokens: backend.PromptTokens(r.request.Prompt),
	}
	if preference.Avoid != "" {
		request.ExcludedSoftware = append(slices.Clone(request.ExcludedSoftware), preference.Avoid)
	}
	if r.route.HasPrompt {
		from, to := r.serverRange(now)
		policy.MarkPartition(candidates, request, from, to, now)
		backend.MarkHomeServer(candidates, r.model, r.request.Prompt)
	}
	choice := r.applyPolicy(FallbackNone, policy, candidates, request, now)
	if !choice.Found && len(r.triedServers) > 0 {
		request.Exclude = nil
		choice = r.applyPolicy(FallbackTried, policy, candidates, request, now)
	}
	if !choice.Found {
		for i := range candidates {
			candidates[i].EjectedUntil = time.Time{}
		}
		choice = r.applyPolicy(FallbackEjected, policy, candidates, request, now)
	}
	if !choice.Found && (preference.Use != "" || preference.Avoid != "") {
		request.RequiredSoftware, request.ExcludedSoftware = "", preference.Withdrawn
		choice = r.applyPolicy(FallbackVersion, policy, candidates, request, now)
	}
	return choice
}

// maxInFlight returns this instance's share of a server's connections, doubled because the load on instances is uneven.
func (r *requestJob) maxInFlight() int {
	if r.service.MaxConnections == 0 {
		return 0
	}
	return max(2, 2*r.service.MaxConnections/max(2, r.gateway.InstanceCount()))
}
