package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/session"
	"github.com/cicadawall/cicadawall/internal/telemetry"

	"github.com/google/uuid"
)

// billGracePeriod is the time after the request's deadline within which the bill may still become durable.
const billGracePeriod = 5 * time.Second

// modelJob executes one model request: it is queued, run by a worker and ended once.
type modelJob struct {
	router   *Router
	ctx      context.Context
	request  ModelRequest
	class    *api.Class
	deadline time.Time
	reply    *Reply
	recorder *telemetry.Recorder
	random   *rand.Rand

	// sessionHandle is the session that the caller may name in later requests; empty until it is resolved.
	sessionHandle string
	// replyStarted means that the start event was sent, so that the reply can no longer change its version.
	replyStarted bool
	// mayHaveRun means that an engine may have run an attempt, so that the request can no longer end as not_run.
	mayHaveRun bool
	// firstTextAt and lastTextAt are the times at which the first and the latest text were sent; zero before the first.
	firstTextAt time.Time
	lastTextAt  time.Time
	billLines   []api.BillLine
	trace       []api.ExplainStep
}

func newModelJob(ctx context.Context, router *Router, request ModelRequest, class *api.Class) *modelJob {
	return &modelJob{
		router:   router,
		ctx:      ctx,
		request:  request,
		class:    class,
		deadline: requestDeadline(class, request.Arrived),
		reply:    NewReply(),
		recorder: router.Metrics.RecorderFor(request.Organisation, class.Name),
		random:   router.newRequestRandom(),
	}
}

func (r *Router) newRequestRandom() *rand.Rand {
	if r.Random != nil {
		return r.Random()
	}
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// refuse ends a request that the queue did not hand to a worker.
func (j *modelJob) refuse(problem *fault.Error) {
	j.endRequest(problem)
}

// endRequest finishes the reply, stores the trace and records the outcome and the cost.
func (j *modelJob) endRequest(problem *fault.Error) {
	j.reply.Finish(problem)
	if problem != nil {
		j.trace = append(j.trace, newExplainStep(problem.Step, problem.Peer, verdictFailed, problem.Error()))
	}
	j.router.Traces.Put(j.request.ID, j.trace)
	cost := 0.0
	for _, line := range j.billLines {
		cost += line.Cost
	}
	j.router.recordOutcome(j.request.ID, j.request.Organisation, j.class.Name, cost, problem)
}

// Run implements worker.Job.
func (j *modelJob) Run(poolCtx context.Context) {
	now := time.Now()
	j.recorder.QueueWait(now.Sub(j.request.Arrived))
	ctx, cancel := context.WithDeadline(j.ctx, j.deadline)
	defer cancel()
	defer context.AfterFunc(poolCtx, cancel)()
	problem := j.serve(ctx)
	if problem == nil {
		j.recorder.ResponseTime(time.Since(j.request.Arrived))
	}
	j.endRequest(problem)
}

func (j *modelJob) serve(ctx context.Context) *fault.Error {
	snapshot, problem := j.router.Config.SnapshotIfEligible(time.Now())
	if problem != nil {
		return problem
	}
	candidates, problem := j.resolveSession(ctx, snapshot)
	if problem != nil {
		return problem
	}
	plan, problem := j.router.Planner.Plan(PlanInput{
		Snapshot:   snapshot,
		Class:      j.class,
		Model:      j.request.Model,
		Candidates: candidates,
		Tokens:     j.request.EstimatedTokens(),
		TimeLeft:   time.Until(j.deadline),
		Random:     j.random,
	})
	if problem != nil {
		return problem
	}
	j.trace = append(j.trace, explainPlan(plan))
	answer, problem := j.runChain(ctx, plan)
	if problem != nil {
		j.billCancelled()
		return j.correctOutcome(problem)
	}
	return j.finishAnswer(ctx, plan, answer)
}

// correctOutcome changes the outcome not_run to unknown if an earlier attempt may have run: an error describes only the
// attempt that it ended.
func (j *modelJob) correctOutcome(problem *fault.Error) *fault.Error {
	if !j.mayHaveRun || problem.Outcome != api.OutcomeNotRun {
		return problem
	}
	corrected := *problem
	corrected.Outcome = api.OutcomeUnknown
	return &corrected
}

// resolveSession returns the versions that the request may use, one for each model. A request without a session starts a new
// one; the caller may send its handle with later requests.
func (j *modelJob) resolveSession(ctx context.Context, snapshot *declaration.Snapshot) ([]declaration.VersionID, *fault.Error) {
	allowed := j.router.assignableVersions(snapshot, j.request.Organisation, j.class.Name)
	proposed := j.router.Planner.Propose(snapshot, j.class.Name, allowed, j.random)
	now := time.Now()
	if j.request.Session == "" {
		sessionHandle, err := j.router.Sessions.IssueHandle(uuid.NewString(), j.request.Organisation, proposed, now)
		if err != nil {
			return nil, fault.NotRun(fault.StepSession, fault.CodeInternal, "the session handle could not be signed").WithCause(err)
		}
		j.sessionHandle = sessionHandle
		return proposed, nil
	}
	pin, problem := j.router.Sessions.Resolve(ctx, session.Lookup{
		Organisation:     j.request.Organisation,
		Class:            j.class.Name,
		Session:          j.request.Session,
		ProposedVersions: proposed,
		Policy:           snapshot,
	}, now)
	if problem != nil {
		return nil, problem
	}
	if problem := pin.CheckModel(snapshot, j.request.Organisation, j.class.Name, j.request.Model); problem != nil {
		return nil, problem
	}
	j.sessionHandle = j.request.Session
	return pin.AllowedVersions(snapshot, j.request.Organisation, j.class.Name), nil
}

// runChain runs the first step of the chain, and the second if the first answer is escalated or failed before any text was
// sent.
func (j *modelJob) runChain(ctx context.Context, plan Plan) (*answer, *fault.Error) {
	chain := plan.Chain
	if !chain.TwoSteps() {
		return j.runStep(ctx, chain.FirstVersion, newConfidenceGate(nil, false))
	}
	firstAnswer, problem := j.runStep(ctx, chain.FirstVersion, newConfidenceGate(&chain, plan.Explored))
	if problem == nil && !firstAnswer.escalate {
		return firstAnswer, nil
	}
	if problem != nil && (j.replyStarted || ctx.Err() != nil) {
		return nil, problem
	}
	if firstAnswer != nil {
		j.billLines = append(j.billLines, firstAnswer.billLine(billLineCascade, j.router.Config.Snapshot()))
		if plan.Explored {
			j.sampleAnswer(plan, firstAnswer)
		}
	}
	secondAnswer, problem := j.runStep(ctx, chain.SecondVersion, newConfidenceGate(nil, false))
	if problem != nil {
		return nil, problem
	}
	if firstAnswer != nil {
		secondAnswer.confidence = firstAnswer.confidence
	}
	secondAnswer.secondStep = true
	return secondAnswer, nil
}
