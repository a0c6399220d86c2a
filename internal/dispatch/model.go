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

// billGrace is the time past the request's deadline within which the bill of a finished answer may become durable.
const billGrace = 5 * time.Second

// modelJob carries one model request from the queue to its last byte.
type modelJob struct {
	router   *Router
	ctx      context.Context
	request  ModelRequest
	class    *api.Class
	deadline time.Time
	reply    *Reply
	recorder *telemetry.Recorder
	random   *rand.Rand

	handle  string
	started bool
	// ran means that an attempt may have run, so that the request can no longer end as not_run.
	ran bool
	// firstText and lastText are the times of the first and the last text that reached the reply; zero before the first.
	firstText time.Time
	lastText  time.Time
	lines     []api.BillLine
	trace     []api.ExplainStep
}

func newModelJob(ctx context.Context, router *Router, request ModelRequest, class *api.Class) *modelJob {
	return &modelJob{
		router:   router,
		ctx:      ctx,
		request:  request,
		class:    class,
		deadline: deadlineOf(class, request.Arrived),
		reply:    NewReply(),
		recorder: router.Metrics.For(request.Organisation, class.Name),
		random:   router.random(),
	}
}

func (r *Router) random() *rand.Rand {
	if r.Random != nil {
		return r.Random()
	}
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// refuse ends a request that the queue did not hand to a worker.
func (j *modelJob) refuse(problem *fault.Error) {
	j.end(problem)
}

func (j *modelJob) end(problem *fault.Error) {
	j.reply.Finish(problem)
	if problem != nil {
		j.trace = append(j.trace, explained(problem.Step, problem.Peer, verdictFailed, problem.Error()))
	}
	j.router.Traces.Put(j.request.ID, j.trace)
	cost := 0.0
	for _, line := range j.lines {
		cost += line.Cost
	}
	j.router.finished(j.request.ID, j.request.Organisation, j.class.Name, cost, problem)
}

// Run implements worker.Job.
func (j *modelJob) Run(pool context.Context) {
	now := time.Now()
	j.recorder.QueueWait(now.Sub(j.request.Arrived))
	ctx, cancel := context.WithDeadline(j.ctx, j.deadline)
	defer cancel()
	defer context.AfterFunc(pool, cancel)()
	problem := j.serve(ctx)
	if problem == nil {
		j.recorder.WholeAnswer(time.Since(j.request.Arrived))
	}
	j.end(problem)
}

func (j *modelJob) serve(ctx context.Context) *fault.Error {
	snapshot, problem := j.router.Config.Current(time.Now())
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
		Tokens:     j.request.Tokens(),
		TimeLeft:   time.Until(j.deadline),
		Random:     j.random,
	})
	if problem != nil {
		return problem
	}
	j.trace = append(j.trace, explainPlan(plan))
	answer, problem := j.runChain(ctx, plan)
	if problem != nil {
		j.billCut()
		return j.truthful(problem)
	}
	return j.finish(ctx, plan, answer)
}

// truthful corrects the outcome of an error that speaks of its own attempt only: another attempt may have run before it.
func (j *modelJob) truthful(problem *fault.Error) *fault.Error {
	if !j.ran || problem.Outcome != api.OutcomeNotRun {
		return problem
	}
	corrected := *problem
	corrected.Outcome = api.OutcomeUnknown
	return &corrected
}

// resolveSession returns the versions that the request may use, one for each model. A request without a session starts one
// of its own, whose handle the caller may send back.
func (j *modelJob) resolveSession(ctx context.Context, snapshot *declaration.Snapshot) ([]declaration.VersionID, *fault.Error) {
	allowed := j.router.offered(snapshot, j.request.Organisation, j.class.Name)
	proposed := j.router.Planner.Propose(snapshot, j.class.Name, allowed, j.random)
	now := time.Now()
	if j.request.Session == "" {
		handle, err := j.router.Sessions.Issue(uuid.NewString(), j.request.Organisation, proposed, now)
		if err != nil {
			return nil, fault.NotRun(fault.StepSession, fault.CodeInternal, "the session handle could not be signed").WithCause(err)
		}
		j.handle = handle
		return proposed, nil
	}
	pin, problem := j.router.Sessions.Resolve(ctx, session.Lookup{
		Organisation: j.request.Organisation,
		Class:        j.class.Name,
		Session:      j.request.Session,
		Proposed:     proposed,
		Policy:       snapshot,
	}, now)
	if problem != nil {
		return nil, problem
	}
	if problem := pin.CheckModel(snapshot, j.request.Organisation, j.class.Name, j.request.Model); problem != nil {
		return nil, problem
	}
	j.handle = j.request.Session
	return pin.Serving(snapshot, j.request.Organisation, j.class.Name), nil
}

// runChain runs the steps of the chain until one answer is accepted.
func (j *modelJob) runChain(ctx context.Context, plan Plan) (*answer, *fault.Error) {
	chain := plan.Chain
	if !chain.TwoSteps() {
		return j.runStep(ctx, chain.FirstVersion, newGate(nil, false))
	}
	first, problem := j.runStep(ctx, chain.FirstVersion, newGate(&chain, plan.Explored))
	if problem == nil && !first.escalate {
		return first, nil
	}
	if problem != nil && (j.started || ctx.Err() != nil) {
		return nil, problem
	}
	if first != nil {
		j.lines = append(j.lines, first.line(lineCascade, j.router.Config.Snapshot()))
		if plan.Explored {
			j.sample(plan, first)
		}
	}
	second, problem := j.runStep(ctx, chain.SecondVersion, newGate(nil, false))
	if problem != nil {
		return nil, problem
	}
	if first != nil {
		second.confidence = first.confidence
	}
	second.second = true
	return second, nil
}
