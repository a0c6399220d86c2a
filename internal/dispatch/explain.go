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

// Verdicts of explanation steps.
const (
	verdictKept    = "kept"
	verdictDropped = "dropped"
	verdictChosen  = "chosen"
	verdictFailed  = "failed"
)

// maxTracedRequests is the number of most recent requests whose decisions an instance keeps.
const maxTracedRequests = 2000

// Traces keeps the decisions of the most recent requests. It is safe for concurrent use.
type Traces struct {
	recent *lru.Cache[string, []api.ExplainStep]
}

// NewTraces returns an empty set of traces.
func NewTraces() *Traces {
	recent, err := lru.New[string, []api.ExplainStep](maxTracedRequests)
	if err != nil {
		panic(err) // Unreachable: lru.New fails only if the size is not positive.
	}
	return &Traces{recent: recent}
}

// Put stores the decisions of a request.
func (t *Traces) Put(requestID string, steps []api.ExplainStep) { t.recent.Add(requestID, steps) }

// Get returns the decisions of a request, if they are still kept.
func (t *Traces) Get(requestID string) ([]api.ExplainStep, bool) { return t.recent.Get(requestID) }

func newExplainStep(step fault.Step, subject, verdict, reason string) api.ExplainStep {
	return api.ExplainStep{Step: string(step), Subject: subject, Verdict: verdict, Reason: reason}
}

// Explain returns the decisions that this instance made for a past request, or those that it would make for a hypothetical
// request now.
func (r *Router) Explain(request api.ExplainRequest) ([]api.ExplainStep, *fault.Error) {
	if request.RequestID != "" {
		steps, ok := r.Traces.Get(request.RequestID)
		if !ok {
			return nil, fault.NotRun(fault.StepDecode, fault.CodeInvalidRequest,
				fmt.Sprintf("this instance has no trace of request %q; ask the instance that served it", request.RequestID))
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

// explainHypothetical returns the decisions for a request of the class if it arrived now. The random source has a fixed seed,
// which makes the explanation reproducible.
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
		Tokens:     hypotheticalRequestTokens,
		TimeLeft:   time.Until(requestDeadline(class, time.Now())),
		Random:     random,
	})
	if problem != nil {
		return append(steps, newExplainStep(fault.StepChoose, "chain", verdictFailed, problem.Message))
	}
	steps = append(steps, explainPlan(plan))
	return append(steps, r.explainServers(plan.Chain.FirstVersion, random)...)
}

// hypotheticalRequestTokens is the estimated number of prompt and answer tokens of a hypothetical request.
const hypotheticalRequestTokens = 512

// ClassChain returns the chain that a request of the class would use now if its organisation were allowed all versions.
func (r *Router) ClassChain(snapshot *declaration.Snapshot, class *api.Class) []declaration.VersionID {
	random := rand.New(rand.NewPCG(1, 1))
	plan, problem := r.Planner.Plan(PlanInput{
		Snapshot:   snapshot,
		Class:      class,
		Candidates: r.Planner.Propose(snapshot, class.Name, snapshot.Versions(), random),
		Tokens:     hypotheticalRequestTokens,
		TimeLeft:   time.Until(requestDeadline(class, time.Now())),
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
	reason, held := r.Config.HoldReason(id)
	switch {
	case !snapshot.Allowed(organisation, class, id):
		return newExplainStep(fault.StepPermit, id.String(), verdictDropped, "the organisation may not use this version for the class")
	case !snapshot.Usable(id):
		version, _ := snapshot.Version(id)
		return newExplainStep(fault.StepPermit, id.String(), verdictDropped, "state "+string(version.State))
	case held:
		return newExplainStep(fault.StepPermit, id.String(), verdictDropped, "held: "+reason)
	}
	state := api.VersionServing
	if version, ok := snapshot.Version(id); ok && version.State != "" {
		state = version.State
	}
	return newExplainStep(fault.StepPermit, id.String(), verdictKept, "allowed, state "+string(state))
}

func explainPlan(plan Plan) api.ExplainStep {
	subject := plan.Chain.FirstVersion.String()
	if plan.Chain.TwoSteps() {
		subject += " then " + plan.Chain.SecondVersion.String()
	}
	reason := fmt.Sprintf("cheapest chain that meets the target: quality %.3f (lower confidence bound %.3f), cost %.4g, second step for %.0f%% of requests",
		plan.Quality, plan.QualityBound, plan.Cost, 100*plan.EscalationFraction)
	if plan.Unmet != "" {
		reason = fmt.Sprintf("best effort, no chain meets the %s target: quality %.3f, cost %.4g", plan.Unmet, plan.Quality, plan.Cost)
	}
	if plan.Explored {
		reason = "exploration: collects ratings of a cheaper version; the second step always runs"
	}
	return newExplainStep(fault.StepChoose, subject, verdictChosen, reason)
}

func (r *Router) explainServers(id declaration.VersionID, random *rand.Rand) []api.ExplainStep {
	_, candidates := r.engineCandidates()
	choice, verdicts := routing.Choose(candidates, routing.Request{Version: id, Zone: r.AvailabilityZone}, time.Now(), random)
	var steps []api.ExplainStep
	for _, verdict := range verdicts {
		steps = append(steps, newExplainStep(fault.StepDispatch, verdict.Server, verdictDropped, string(verdict.Reason)))
	}
	if !choice.Found {
		return append(steps, newExplainStep(fault.StepDispatch, id.String(), verdictFailed, "no backend server can run this version"))
	}
	return append(steps, newExplainStep(fault.StepDispatch, choice.Server, verdictChosen,
		fmt.Sprintf("lowest estimated delay of the sampled backend servers: %s more than an idle one, %d eligible", choice.Score.Round(time.Microsecond), choice.Eligible)))
}
