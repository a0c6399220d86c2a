package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cicadawall/cicadawall/internal/admission"
	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/order"
	"github.com/cicadawall/cicadawall/internal/retry"
	"github.com/cicadawall/cicadawall/internal/table"
)

// plainClass is the class name under which plain service calls are queued, retried and counted in metrics.
const plainClass = "service"

// plainPriority is the second highest priority, because plain service calls are short.
const plainPriority = 8

// defaultPlainTimeout is the timeout of a call that declares none.
const defaultPlainTimeout = 10 * time.Second

// plainJob executes one plain service call.
type plainJob struct {
	router   *Router
	ctx      context.Context
	request  PlainRequest
	call     *api.ServiceCall
	deadline time.Time
	reply    *Reply
	random   *rand.Rand
}

// SubmitPlain checks a plain service call, queues it and returns its reply.
func (r *Router) SubmitPlain(ctx context.Context, request PlainRequest) (*Reply, *fault.Error) {
	job, item, problem := r.admitPlain(ctx, request)
	if problem == nil {
		problem = r.Queue.Submit(item, request.Arrived)
	}
	if problem != nil {
		r.recordOutcome(request.ID, request.Organisation, plainClass, 0, problem)
		return nil, problem
	}
	return job.reply, nil
}

func (r *Router) admitPlain(ctx context.Context, request PlainRequest) (*plainJob, admission.Item, *fault.Error) {
	snapshot, problem := r.Config.SnapshotIfEligible(request.Arrived)
	if problem != nil {
		return nil, admission.Item{}, problem
	}
	organisation, ok := snapshot.Organisation(request.Organisation)
	if !ok {
		return nil, admission.Item{}, fault.NotRun(fault.StepAdmit, fault.CodeUnauthenticated, "the organisation is no longer declared")
	}
	path, _, _ := strings.Cut(request.Path, "?")
	call, ok := snapshot.ServiceCall(request.Organisation, request.Service, request.Method, path)
	if !ok {
		return nil, admission.Item{}, fault.NotRun(fault.StepAdmit, fault.CodeUnknownService,
			fmt.Sprintf("organisation %q may not call %s %s of service %q", request.Organisation, request.Method, path, request.Service))
	}
	if !call.Repeatable && request.IdempotencyKey == "" {
		return nil, admission.Item{}, fault.NotRun(fault.StepAdmit, fault.CodeIdempotencyKeyRequired,
			"the call is not declared repeatable; send an Idempotency-Key header")
	}
	if !r.Ledger.HasCapacity() {
		return nil, admission.Item{}, fault.NotRun(fault.StepAdmit, fault.CodeBillingBufferFull, "the billing buffer has no capacity for another bill")
	}
	if problem := r.Limiter.Admit(organisation.Name, organisation.Limits, 0, 0, request.Arrived); problem != nil {
		return nil, admission.Item{}, problem
	}
	timeout := defaultPlainTimeout
	if call.TimeoutMillis > 0 {
		timeout = time.Duration(call.TimeoutMillis) * time.Millisecond
	}
	job := &plainJob{
		router:   r,
		ctx:      ctx,
		request:  request,
		call:     call,
		deadline: request.Arrived.Add(timeout),
		reply:    NewReply(),
		random:   r.newRandom(),
	}
	return job, admission.Item{
		Organisation: organisation.Name,
		Class:        plainClass,
		Priority:     plainPriority,
		Weight:       organisation.Weight,
		Tokens:       1,
		Deadline:     job.deadline,
		Job:          job,
		Refuse:       job.endRequest,
	}, nil
}

// endRequest finishes the reply and records the outcome.
func (j *plainJob) endRequest(problem *fault.Error) {
	j.reply.Finish(problem)
	j.router.recordOutcome(j.request.ID, j.request.Organisation, plainClass, 0, problem)
}

// Run implements worker.Job.
func (j *plainJob) Run(poolCtx context.Context) {
	recorder := j.router.Metrics.RecorderFor(j.request.Organisation, plainClass)
	recorder.QueueWait(time.Since(j.request.Arrived))
	problem := j.serve(poolCtx)
	if problem == nil {
		recorder.ResponseTime(time.Since(j.request.Arrived))
	}
	j.endRequest(problem)
}

func (j *plainJob) serve(poolCtx context.Context) *fault.Error {
	if _, problem := j.router.Config.SnapshotIfEligible(time.Now()); problem != nil {
		return problem
	}
	response, problem := j.execute(poolCtx)
	if problem != nil {
		return problem
	}
	// The call ran, so its bill must become durable even if the caller has disconnected.
	ctx, cancel := context.WithDeadline(context.Background(), j.deadline.Add(billGracePeriod))
	defer cancel()
	lines := []api.BillLine{{Kind: billLineService, Model: j.request.Service}}
	bill := newBill(j.request.ID, j.request.Organisation, plainClass, j.billKey(), api.OutcomeAnswered, lines)
	if err := j.router.Ledger.Commit(ctx, bill); err != nil {
		return fault.Unknown(fault.StepBill, fault.CodeBillNotDurable, "the call is complete but its bill is not durable").
			WithCause(err).
			WithAdvice("repeat the call with the same idempotency key")
	}
	if err := j.reply.Send(ctx, Event{Kind: EventEnd, PlainResponse: response}); err != nil {
		return fault.Unknown(fault.StepStream, fault.CodeCallerGone, "the caller disconnected before the response was sent").WithCause(err)
	}
	return nil
}

// billKey returns the idempotency key prefixed with the service, so that the same key at two services gives two bills.
func (j *plainJob) billKey() string {
	if j.request.IdempotencyKey == "" {
		return ""
	}
	return j.request.Service + "/" + j.request.IdempotencyKey
}

// execute runs a repeatable call with retries, and any other call as an order.
func (j *plainJob) execute(poolCtx context.Context) (*PlainResponse, *fault.Error) {
	if j.call.Repeatable {
		ctx, cancel := context.WithDeadline(j.ctx, j.deadline)
		defer cancel()
		defer context.AfterFunc(poolCtx, cancel)()
		return j.executeRepeatable(ctx)
	}
	// An order is not cancelled when the caller disconnects, because its result must be recorded for a repeated request.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(j.ctx), j.deadline)
	defer cancel()
	response, problem := j.router.Orders.Execute(ctx, order.Request{
		Organisation:   j.request.Organisation,
		Service:        j.request.Service,
		IdempotencyKey: j.request.IdempotencyKey,
		Method:         j.request.Method,
		Path:           j.request.Path,
		ContentType:    j.request.ContentType,
		Body:           j.request.Body,
	})
	if problem != nil {
		return nil, problem
	}
	return &PlainResponse{Status: response.Status, ContentType: response.ContentType, Body: response.Body, Replayed: response.Replayed}, nil
}

// executeRepeatable makes attempts until one succeeds or no retry is allowed.
func (j *plainJob) executeRepeatable(ctx context.Context) (*PlainResponse, *fault.Error) {
	j.router.Retries.Budgets.CountRequest(plainClass, time.Now())
	servers := PlainServers{Config: j.router.Config, Servers: j.router.Servers, AvailabilityZone: j.router.AvailabilityZone}
	var triedServers []string
	for attemptNumber := 1; ; attemptNumber++ {
		server, problem := servers.Choose(j.request.Service, triedServers)
		if problem != nil {
			return nil, problem
		}
		triedServers = append(triedServers, server.Entry.Id)
		response, attempt, err := j.attempt(ctx, server)
		if err == nil {
			return response, nil
		}
		if ctx.Err() != nil {
			return nil, contextError(ctx, j.ctx, attempt, server.Entry.Id)
		}
		verdict := j.router.Retries.Budgets.Decide(plainClass, retry.RequestState{
			Attempt: attempt, AttemptsMade: attemptNumber, Repeatable: true, Deadline: j.deadline,
		}, time.Now(), j.random)
		if !verdict.Retry {
			return nil, &fault.Error{Step: fault.StepDispatch, Peer: server.Entry.Id, Code: fault.CodeBackendServerFailed,
				Outcome: verdict.Outcome, Message: fmt.Sprintf("service %q failed after %d attempts and is not retried: %s",
					j.request.Service, attemptNumber, verdict.Reason), Cause: err}
		}
		if problem := waitBeforeRetry(ctx, verdict.Backoff); problem != nil {
			return nil, problem
		}
	}
}

// waitBeforeRetry waits for the backoff, or returns an error if the context ends first.
func waitBeforeRetry(ctx context.Context, wait time.Duration) *fault.Error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fault.Unknown(fault.StepDispatch, fault.CodeDeadlineExceeded, "the deadline passed between attempts").WithCause(ctx.Err())
	}
}

// minServerErrorStatus is the lowest HTTP status that counts as a failure of the backend server.
const minServerErrorStatus = 500

// attempt sends the call once to the backend server.
func (j *plainJob) attempt(ctx context.Context, server table.Server) (*PlainResponse, retry.Attempt, error) {
	id := server.Entry.Id
	if !j.router.Servers.BeginAttempt(id) {
		return nil, retry.Attempt{}, fault.NotRun(fault.StepDispatch, fault.CodeNoBackendServer, "the backend server is leaving")
	}
	response, failure := j.router.Services.Call(ctx, PlainCall{
		Organisation: j.request.Organisation,
		Service:      j.request.Service,
		Server:       server,
		Method:       j.request.Method,
		Path:         j.request.Path,
		ContentType:  j.request.ContentType,
		Body:         j.request.Body,
		Timeout:      time.Until(j.deadline),
	})
	attempt := retry.Attempt{Sent: true, Responded: true, Complete: true}
	var err error
	switch {
	case failure != nil:
		attempt = retry.Attempt{Sent: failure.Sent, Responded: failure.Status != 0, Status: failure.Status, Refused: failure.Refused}
		err = failure
	case response.Status >= minServerErrorStatus:
		attempt.Status = response.Status
		err = fault.Unknown(fault.StepDispatch, fault.CodeBackendServerFailed, fmt.Sprintf("the backend server responded with status %d", response.Status)).WithPeer(id)
	default:
		attempt.Status = response.Status
	}
	failed := err != nil && retry.Failed(attempt) && ctx.Err() == nil
	now := time.Now()
	j.router.Servers.EndAttempt(id, failed, now)
	ejectedUntil := j.router.Retries.Ejections.EndAttempt(id, failed, now, j.random)
	j.router.Servers.Update(id, func(row *table.Server) { row.EjectedUntil = ejectedUntil })
	return response, attempt, err
}
