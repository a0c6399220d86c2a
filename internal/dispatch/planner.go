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

// Planner chooses the versions and the chain of a request from what the instance knows about versions.
type Planner struct {
	versions *quality.Table
}

// NewPlanner returns a planner over the table.
func NewPlanner(versions *quality.Table) *Planner { return &Planner{versions: versions} }

// PlanInput is what the choice of a chain depends on.
type PlanInput struct {
	Snapshot *declaration.Snapshot
	Class    *api.Class
	// Model restricts the choice; empty means any.
	Model string
	// Candidates are the versions that the session may use, one for each model.
	Candidates []declaration.VersionID
	Tokens     int
	TimeLeft   time.Duration
	Random     *rand.Rand
}

// Plan is the chosen chain.
type Plan struct {
	cascade.Decision
	// Explored means that the chain runs to learn about a cheaper version and that each of its answers is to be rated.
	Explored bool
}

// Propose chooses one version of each model for a new session: a version in roll-out for its share of sessions, else the
// first serving one.
func (p *Planner) Propose(snapshot *declaration.Snapshot, class string, allowed []declaration.VersionID, random *rand.Rand) []declaration.VersionID {
	chosen := map[string]declaration.VersionID{}
	var models []string
	for _, id := range allowed {
		version, ok := snapshot.Version(id)
		if !ok || !snapshot.Usable(id) {
			continue
		}
		present, seen := chosen[id.Model]
		if !seen {
			models = append(models, id.Model)
			chosen[id.Model] = id
			if version.State != api.VersionRollout {
				continue
			}
		}
		chosen[id.Model] = p.prefer(snapshot, class, present, id, version, random)
	}
	proposed := make([]declaration.VersionID, 0, len(models))
	for _, model := range models {
		proposed = append(proposed, chosen[model])
	}
	return proposed
}

// prefer decides between the version chosen so far and another one of the same model.
func (p *Planner) prefer(snapshot *declaration.Snapshot, class string, present, other declaration.VersionID, version *api.Version, random *rand.Rand) declaration.VersionID {
	none := declaration.VersionID{}
	if version.State == api.VersionRollout {
		if present == none || rollout.Includes(p.versions.RequestFraction(class, other), random.Uint64()) {
			return other
		}
		return present
	}
	chosen, ok := snapshot.Version(present)
	if ok && chosen.State == api.VersionRollout && !rollout.Includes(p.versions.RequestFraction(class, present), random.Uint64()) {
		return other
	}
	return present
}

// Plan chooses the chain, or refuses if the class says so when no chain meets its target.
func (p *Planner) Plan(in PlanInput) (Plan, *fault.Error) {
	options := p.options(in)
	if len(options) == 0 {
		return Plan{}, noVersion(in)
	}
	request := cascade.Targets{
		Class:            in.Class.Name,
		MinQuality:       in.Class.Target.Quality,
		TimeToFirstToken: time.Duration(in.Class.Target.FirstTokenMillis) * time.Millisecond,
		TimeToDeadline:   in.TimeLeft,
		CostPer1000:      in.Class.Target.CostPer1000,
	}
	decision := cascade.Choose(p.versions.Ratings(), request, options)
	if decision.Unmet != cascade.UnmetNone && in.Class.WhenUnmet == api.UnmetRefuse {
		return Plan{}, fault.NotRun(fault.StepChoose, fault.CodeTargetUnmet,
			fmt.Sprintf("no allowed chain meets the %s target of class %q", decision.Unmet, in.Class.Name))
	}
	plan := Plan{Decision: decision}
	if chain, ok := cascade.Explore(p.versions.Ratings(), decision, request, options, in.Random); ok {
		plan.Chain, plan.Explored = chain, true
	}
	return plan, nil
}

func noVersion(in PlanInput) *fault.Error {
	if in.Model == "" {
		return fault.NotRun(fault.StepChoose, fault.CodeVersionWithdrawn, "no version of the session takes new work").
			WithAdvice("start a new session")
	}
	return fault.NotRun(fault.StepChoose, fault.CodeUnknownModel,
		fmt.Sprintf("model %q has no serving version that the organisation may use for class %q", in.Model, in.Class.Name))
}

func (p *Planner) options(in PlanInput) []cascade.Option {
	var options []cascade.Option
	for _, id := range in.Candidates {
		version, ok := in.Snapshot.Version(id)
		if !ok || !in.Snapshot.Usable(id) || (in.Model != "" && id.Model != in.Model) {
			continue
		}
		predicted := p.versions.Latency(id)
		options = append(options, cascade.Option{
			Version:          id,
			ExpectedQuality:  version.ExpectedQuality,
			Cost:             costOf(in.Snapshot, id, 0, in.Tokens),
			TimeToFirstToken: predicted.TimeToFirstToken,
			TotalTime:        predicted.TimeToFirstToken + time.Duration(in.Tokens)*predicted.InterTokenLatency,
			TimeToConfidence: predicted.TimeToFirstToken + confidenceTokens*predicted.InterTokenLatency,
		})
	}
	return options
}

// ObserveFirstToken records a version's time to the first token.
func (p *Planner) ObserveFirstToken(id declaration.VersionID, took time.Duration) {
	p.versions.ObserveFirstToken(id, took)
}

// ObserveTokens records the time that a version took for the tokens after the first.
func (p *Planner) ObserveTokens(id declaration.VersionID, tokens int, took time.Duration) {
	p.versions.ObserveTokens(id, tokens, took)
}
