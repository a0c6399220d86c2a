package gateway

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/migration"
	"github.com/cicadawall/cicadawall/internal/routing"
	"github.com/cicadawall/cicadawall/internal/serverload"
)

// Fallback names the step of chooseServer that found the server, or the last one if none was found.
type Fallback string

// The fallback steps, in their order.
const (
	FallbackNone     Fallback = ""
	FallbackLoadTest Fallback = "servers outside the load test"
	FallbackTried    Fallback = "servers of earlier attempts"
	FallbackEjected  Fallback = "ejected servers"
	FallbackVersion  Fallback = "servers of other versions"
)

// attemptDecision is the decision on the next attempt of a request.
type attemptDecision struct {
	query      backend.Query
	candidates []routing.Candidate
	// choice is the server; if none was found the request ends.
	choice routing.Choice
	// view is the load that the other instances put on the servers; nil if it is unknown or not used.
	view *serverload.View
	// stopping is set if the request is refused because the instance stops.
	stopping bool
}

// decisionTrace records the decisions on a request that is explained.
type decisionTrace struct {
	preference migration.Preference
	// policy, request and verdicts are those of the last fallback step.
	fallback Fallback
	policy   routing.Policy
	request  routing.Request
	verdicts []routing.Verdict
}

// decide chooses the server of the next attempt. It sends nothing and does not change the load of the server.
func (r *requestJob) decide(now time.Time) attemptDecision {
	if !r.mayHaveRun() && r.endsAfterStop(now) {
		return attemptDecision{stopping: true}
	}
	if r.isHeld(now) || r.sentAttempts+r.unsentAttempts > 0 && !r.mayRetry(now) {
		return attemptDecision{}
	}
	query := r.query()
	candidates := r.candidates(query, now)
	choice := r.chooseAllowedServer(candidates, now)
	if !choice.Found {
		r.backoff, r.coldWait = routing.ShortestBackoff(candidates, now), routing.ShortestColdWait(candidates, now)
	}
	view := r.loadView(now)
	if view != nil {
		query.CachedTokens, query.ExpectedPrefill = choice.CachedTokens, choice.ExpectedPrefill
	}
	return attemptDecision{query: query, candidates: candidates, choice: choice, view: view}
}

// versionPreference returns the software versions that may serve the request.
func (r *requestJob) versionPreference(now time.Time) migration.Preference {
	sessionless := len(r.request.Prompt) == 0
	if r.trace == nil {
		return r.gateway.Versions.Choose(r.service.Name, r.request.sessionID(), sessionless, now)
	}
	r.trace.preference = r.gateway.Versions.Preview(r.service.Name, r.request.sessionID(), sessionless, now)
	return r.trace.preference
}

// serverRange returns the servers that the model should use, as a range between 0 and 1.
func (r *requestJob) serverRange(now time.Time) (from, to float64) {
	if r.trace == nil {
		return r.gateway.models.serverRange(r.service, r.model, now)
	}
	return r.gateway.models.previewServerRange(r.service, r.model, now)
}

// applyPolicy applies the routing policy in one fallback step.
func (r *requestJob) applyPolicy(
	step Fallback, policy routing.Policy, candidates []routing.Candidate, request routing.Request, now time.Time,
) routing.Choice {
	choice, verdicts := policy.Choose(candidates, request, now, r.rng)
	if r.trace != nil {
		r.trace.fallback, r.trace.policy, r.trace.request, r.trace.verdicts = step, policy, request, verdicts
	}
	return choice
}
