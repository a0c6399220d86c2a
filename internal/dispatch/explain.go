package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/routing"
)

// Verdicts of explained steps.
const (
	verdictKept    = "kept"
	verdictDropped = "dropped"
	verdictChosen  = "chosen"
	verdictFailed  = "failed"
)

// tracedRequests is the number of requests whose decisions an instance remembers.
const tracedRequests = 2000

// Traces remembers the decisions of the last requests. It is safe for concurrent use.
type Traces struct {
	recent *lru.Cache[string, []api.ExplainStep]
}

// NewTraces returns an empty memory.
func NewTraces() *Traces {
	recent, err := lru.New[string, []api.ExplainStep](tracedRequests)
	if err != nil {
		panic(err) // The size is a positive constant, which is the only condition.
	}
	return &Traces{recent: recent}
}

// Put remembers the decisions of a request.
func (t *Traces) Put(requestID string, steps []api.ExplainStep) { t.recent.Add(requestID, steps) }

// Get returns the decisions of a request.
func (t *Traces) Get(requestID string) ([]api.ExplainStep, bool) { return t.recent.Get(requestID) }

func explained(step fault.Step, subject, verdict, reason string) api.ExplainStep {
	return api.ExplainStep{Step: string(step), Subject: subject, Verdict: verdict, Reason: reason}
}

// Explain returns the decisions of a past request at this instance, or those that a request would meet now.
func (r *Router) Explain(request api.ExplainRequest) ([]api.ExplainStep, *fault.Error) {
	if request.RequestID != "" {
		steps, ok := r.Traces.Get(request.RequestID)
		if !ok {
			return nil, fault.NotRun(fault.StepDecode, fault.CodeInvalidRequest,
				fmt.Sprintf("this instance remembers no request %q; ask the instance that served it", request.RequestID))
		}
		return steps, nil
	}
	snapshot := r.Config.Snapshot()
	if snapshot == nil {
		return nil, fault.NotRun(fault.StepPermit, fault.CodeConfigurationStale, "no configuration is in force yet")
	}
	class, ok := snapshot.Class(request.Class)
	if !ok {
		return nil, fault.NotRun(fault.StepAdmit, fault.CodeUnknownClass, fmt.Sprintf("class %q is not declared", request.Class))
	}
	if _, ok := snapshot.Organisation(request.Organisation); !ok {
		return nil, fault.NotRun(fault.StepAdmit, fault.CodeInvalidRequest, fmt.Sprintf("organisation %q is not declared", request.Organisation))
	}
	return r.explainHypothetical(snapshot, request, class), nil
}

func (r *Router) explainHypothetical(snapshot *declaration.Snapshot, request api.ExplainRequest, class *api.Class) []api.ExplainStep {
	var steps []api.ExplainStep
	for _, id := range snapshot.Versions() {
		steps = append(steps, r.explainVersion(snapshot, request.Organisation, class.Name, id))
	}
	random := rand.New(rand.NewPCG(1, 1))
	allowed := snapshot.AllowedVersions(request.Organisation, class.Name)
	plan, problem := r.Planner.Plan(PlanInput{
		Snapshot:   snapshot,
		Class:      class,
		Model:      request.Model,
		Candidates: r.Planner.Propose(snapshot, class.Name, allowed, random),
		Tokens:     defaultExplainTokens,
		TimeLeft:   time.Until(deadlineOf(class, time.Now())),
		Random:     random,
	})
	if problem != nil {
		return append(steps, explained(fault.StepChoose, "chain", verdictFailed, problem.Message))
	}
	steps = append(steps, explainPlan(plan))
	return append(steps, r.explainServers(plan.Chain.FirstVersion, random)...)
}

// defaultExplainTokens is the size of a hypothetical request.
const defaultExplainTokens = 512

// ClassChain returns the chain that a request of the class would use now if its organisation may use all versions.
func (r *Router) ClassChain(snapshot *declaration.Snapshot, class *api.Class) []declaration.VersionID {
	random := rand.New(rand.NewPCG(1, 1))
	plan, problem := r.Planner.Plan(PlanInput{
		Snapshot:   snapshot,
		Class:      class,
		Candidates: r.Planner.Propose(snapshot, class.Name, snapshot.Versions(), random),
		Tokens:     defaultExplainTokens,
		TimeLeft:   time.Until(deadlineOf(class, time.Now())),
		Random:     random,
	})
	if problem != nil {
		return nil
	}
	if !plan.Chain.TwoSteps() {
		return []declaration.VersionID{plan.Chain.FirstVersion}
	}
	return []declaration.VersionID{plan.Chain.FirstVersion, plan.Chain.SecondVersion}
}

func (r *Router) explainVersion(snapshot *declaration.Snapshot, organisation, class string, id declaration.VersionID) api.ExplainStep {
	reason, held := r.Config.Held(id)
	switch {
	case !snapshot.Allowed(organisation, class, id):
		return explained(fault.StepPermit, id.String(), verdictDropped, "the organisation may not use it for the class")
	case !snapshot.Usable(id):
		version, _ := snapshot.Version(id)
		return explained(fault.StepPermit, id.String(), verdictDropped, "state "+string(version.State))
	case held:
		return explained(fault.StepPermit, id.String(), verdictDropped, "held: "+reason)
	}
	state := api.VersionServing
	if version, ok := snapshot.Version(id); ok && version.State != "" {
		state = version.State
	}
	return explained(fault.StepPermit, id.String(), verdictKept, "allowed, state "+string(state))
}

func explainPlan(plan Plan) api.ExplainStep {
	subject := plan.Chain.FirstVersion.String()
	if plan.Chain.TwoSteps() {
		subject += " then " + plan.Chain.SecondVersion.String()
	}
	reason := fmt.Sprintf("cheapest chain in target: quality %.3f (at least %.3f), cost %.4g, second step for %.0f%%",
		plan.Quality, plan.QualityBound, plan.Cost, 100*plan.EscalationFraction)
	if plan.Unmet != "" {
		reason = fmt.Sprintf("best effort, no chain meets the %s target: quality %.3f, cost %.4g", plan.Unmet, plan.Quality, plan.Cost)
	}
	if plan.Explored {
		reason = "runs to learn about a cheaper version; always continues with the second"
	}
	return explained(fault.StepChoose, subject, verdictChosen, reason)
}

func (r *Router) explainServers(id declaration.VersionID, random *rand.Rand) []api.ExplainStep {
	rows := r.Servers.Select(isEngine)
	candidates := make([]routing.Candidate, 0, len(rows))
	for i := range rows {
		candidates = append(candidates, candidate(&rows[i]))
	}
	choice, verdicts := routing.Choose(candidates, routing.Request{Version: id, Zone: r.AvailabilityZone}, time.Now(), random)
	var steps []api.ExplainStep
	for _, verdict := range verdicts {
		steps = append(steps, explained(fault.StepDispatch, verdict.Server, verdictDropped, string(verdict.Reason)))
	}
	if !choice.Found {
		return append(steps, explained(fault.StepDispatch, id.String(), verdictFailed, "no backend server can take it"))
	}
	return append(steps, explained(fault.StepDispatch, choice.Server, verdictChosen,
		fmt.Sprintf("lowest estimated delay of the sampled servers: %s over an idle one, %d eligible", choice.Score.Round(time.Microsecond), choice.Eligible)))
}
