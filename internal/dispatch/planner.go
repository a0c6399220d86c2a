package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/cascade"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/quality"
	"github.com/cicadawall/cicadawall/internal/rollout"
)

// Planner chooses the versions and the chain of a request from the ratings and latencies of the versions.
type Planner struct {
	qualityTable *quality.Table
}

// NewPlanner returns a planner that reads the quality table.
func NewPlanner(qualityTable *quality.Table) *Planner { return &Planner{qualityTable: qualityTable} }

// PlanInput is the input of the choice of a chain.
type PlanInput struct {
	Snapshot *declaration.Snapshot
	Class    *api.Class
	// Model restricts the choice to one model; empty means any.
	Model string
	// Candidates are the versions that the session may use, one for each model.
	Candidates []declaration.VersionID
	// Tokens is the estimated number of prompt and answer tokens.
	Tokens int
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	Random   *rand.Rand
}

// Plan is the chosen chain with its estimated quality and cost.
type Plan struct {
	cascade.Decision
	// Explored means that the chain runs to collect ratings of a cheaper version; each of its answers is rated.
	Explored bool
}

// Propose chooses one version of each model for a new session: a version in roll-out for its fraction of the sessions,
// otherwise the first serving version.
func (p *Planner) Propose(snapshot *declaration.Snapshot, class string, allowed []declaration.VersionID, random *rand.Rand) []declaration.VersionID {
	chosen := map[string]declaration.VersionID{}
	var models []string
	for _, id := range allowed {
		version, ok := snapshot.Version(id)
		if !ok || !snapshot.Usable(id) {
			continue
		}
		current, seen := chosen[id.Model]
		if !seen {
			models = append(models, id.Model)
			chosen[id.Model] = id
			if version.State != api.VersionRollout {
				continue
			}
		}
		chosen[id.Model] = p.chooseVersion(snapshot, class, current, id, version, random)
	}
	proposed := make([]declaration.VersionID, 0, len(models))
	for _, model := range models {
		proposed = append(proposed, chosen[model])
	}
	return proposed
}

// chooseVersion chooses between the current version of a model and another version of it, whose declaration is given.
func (p *Planner) chooseVersion(snapshot *declaration.Snapshot, class string, current, other declaration.VersionID, version *api.Version, random *rand.Rand) declaration.VersionID {
	unset := declaration.VersionID{}
	if version.State == api.VersionRollout {
		if current == unset || rollout.Includes(p.qualityTable.RequestFraction(class, other), random.Uint64()) {
			return other
		}
		return current
	}
	chosen, ok := snapshot.Version(current)
	if ok && chosen.State == api.VersionRollout && !rollout.Includes(p.qualityTable.RequestFraction(class, current), random.Uint64()) {
		return other
	}
	return current
}

// Plan chooses the chain of a request. If no chain meets the target of the class, it returns the best effort, or an error if
// the class declares that such requests are refused.
func (p *Planner) Plan(in PlanInput) (Plan, *fault.Error) {
	options := p.cascadeOptions(in)
	if len(options) == 0 {
		return Plan{}, noCandidateError(in)
	}
	request := cascade.Targets{
		Class:            in.Class.Name,
		MinQuality:       in.Class.Target.Quality,
		TimeToFirstToken: time.Duration(in.Class.Target.FirstTokenMillis) * time.Millisecond,
		TimeToDeadline:   in.TimeLeft,
		CostPer1000:      in.Class.Target.CostPer1000,
	}
	decision := cascade.Choose(p.qualityTable.Ratings(), request, options)
	if decision.Unmet != cascade.UnmetNone && in.Class.WhenUnmet == api.UnmetRefuse {
		return Plan{}, fault.NotRun(fault.StepChoose, fault.CodeTargetUnmet,
			fmt.Sprintf("no allowed chain meets the %s target of class %q", decision.Unmet, in.Class.Name))
	}
	plan := Plan{Decision: decision}
	if chain, ok := cascade.Explore(p.qualityTable.Ratings(), decision, request, options, in.Random); ok {
		plan.Chain, plan.Explored = chain, true
	}
	return plan, nil
}

// noCandidateError returns the error of a request for which no candidate version is usable.
func noCandidateError(in PlanInput) *fault.Error {
	if in.Model == "" {
		return fault.NotRun(fault.StepChoose, fault.CodeVersionWithdrawn, "no version of the session accepts new requests").
			WithAdvice("start a new session")
	}
	return fault.NotRun(fault.StepChoose, fault.CodeUnknownModel,
		fmt.Sprintf("model %q has no serving version that the organisation may use for class %q", in.Model, in.Class.Name))
}

// cascadeOptions returns the usable candidates with their costs and predicted latencies.
func (p *Planner) cascadeOptions(in PlanInput) []cascade.Option {
	var options []cascade.Option
	for _, id := range in.Candidates {
		version, ok := in.Snapshot.Version(id)
		if !ok || !in.Snapshot.Usable(id) || (in.Model != "" && id.Model != in.Model) {
			continue
		}
		predictedLatency := p.qualityTable.Latency(id)
		options = append(options, cascade.Option{
			Version:          id,
			ExpectedQuality:  version.ExpectedQuality,
			Cost:             tokenCost(in.Snapshot, id, 0, in.Tokens),
			TimeToFirstToken: predictedLatency.TimeToFirstToken,
			TotalTime:        predictedLatency.TimeToFirstToken + time.Duration(in.Tokens)*predictedLatency.InterTokenLatency,
			TimeToConfidence: predictedLatency.TimeToFirstToken + confidenceTokens*predictedLatency.InterTokenLatency,
		})
	}
	return options
}

// ObserveFirstToken records a version's time to the first token.
func (p *Planner) ObserveFirstToken(id declaration.VersionID, latency time.Duration) {
	p.qualityTable.ObserveFirstToken(id, latency)
}

// ObserveTokens records the time that a version took to generate the given number of tokens after the first.
func (p *Planner) ObserveTokens(id declaration.VersionID, tokens int, elapsed time.Duration) {
	p.qualityTable.ObserveTokens(id, tokens, elapsed)
}
