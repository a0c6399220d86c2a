package gateway

import (
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/routing"
	"github.com/cicadawall/cicadawall/internal/serverload"
)

// chooseFor returns the server that an attempt with the model would use now, other than the tried ones. It changes no state.
func (r *requestJob) chooseFor(model string, tried []string, now time.Time) routing.Choice {
	chosenModel, triedServers, trace := r.model, r.triedServers, r.trace
	defer func() { r.model, r.triedServers, r.trace = chosenModel, triedServers, trace }()
	r.model, r.triedServers, r.trace = model, tried, &decisionTrace{}
	return r.chooseServer(r.candidates(r.query(), now), now)
}

// query describes an attempt with the current model.
func (r *requestJob) query() backend.Query {
	return backend.Query{Service: r.service.Name, Model: r.model, Prompt: r.request.Prompt, MaxInFlight: r.maxInFlight(),
		WorkWeight: r.service.workWeight(r.model)}
}

// chooseServer applies the routing policy. If no server is eligible it also considers, step by step, servers outside the load test of a version,
// servers that were tried before, ejected servers, and servers of another version.
func (r *requestJob) chooseServer(candidates []routing.Candidate, now time.Time) routing.Choice {
	preference := r.versionPreference(now)
	policy := r.policy(candidates, now)
	request := routing.Request{
		Zone: r.gateway.AvailabilityZone, Exclude: r.triedServers, RequiredSoftware: preference.Use, ExcludedSoftware: preference.Withdrawn,
		PromptTokens: backend.PromptTokens(r.request.Prompt), WorkWeight: r.service.workWeight(r.model), TargetGap: r.route.TargetGap,
	}
	if preference.Avoid != "" {
		request.ExcludedSoftware = append(slices.Clone(request.ExcludedSoftware), preference.Avoid)
	}
	if r.route.HasPrompt {
		from, to := r.serverRange(now)
		policy.MarkPartition(candidates, request, from, to, now)
		backend.MarkHomeServer(candidates, r.model, r.request.Prompt)
	}
	if preference.LoadTest > 0 {
		request.OutsideLoadTest = routing.OutsideLoadTest(candidates, preference.Use, preference.LoadTest)
	}
	choice := r.applyPolicy(FallbackNone, policy, candidates, request, now)
	if !choice.Found && len(request.OutsideLoadTest) > 0 {
		request.OutsideLoadTest = nil
		choice = r.applyPolicy(FallbackLoadTest, policy, candidates, request, now)
	}
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

// policy returns the policy by which a server is chosen. If the load that all instances put on the servers is known, it sets that load in the
// candidates.
func (r *requestJob) policy(candidates []routing.Candidate, now time.Time) routing.Policy {
	if !r.route.HasPrompt {
		return routing.PlainPolicy()
	}
	view := r.loadView(now)
	if view == nil {
		return routing.PromptPolicy()
	}
	for i := range candidates {
		if s, ok := view.Servers[candidates[i].ID]; ok {
			candidates[i].Fleet = routing.FleetLoad{
				Running: s.Running, Streaming: s.Streaming, PendingWork: s.PendingWork, Slowdown: s.Slowdown,
			}
		}
	}
	return routing.FleetPolicy()
}

// loadView returns the load that the other instances put on the servers; nil if it is unknown or not used for the service.
func (r *requestJob) loadView(now time.Time) *serverload.View {
	if !r.service.sharesLoad(r.gateway.InstanceCount()) {
		return nil
	}
	return r.gateway.Loads.View(now)
}

// maxInFlight returns this instance's share of a server's connections, doubled because the load on instances is uneven.
func (r *requestJob) maxInFlight() int {
	if r.service.MaxConnections == 0 {
		return 0
	}
	return max(2, 2*r.service.MaxConnections/max(2, r.gateway.InstanceCount()))
}
