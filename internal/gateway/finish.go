package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// finishUnanswered ends a request without a success: it aborts an answer that has begun, passes on the failure of a server, or
// refuses the request.
func (r *requestJob) finishUnanswered() {
	cause := context.Cause(r.ctx)
	switch {
	case errors.Is(cause, context.Canceled):
		r.log("caller disconnected before the answer was complete", "runs", r.executions, "after", r.lastEventID)
		r.gateway.Metrics.countFinished(r, api.OutcomeUnknown, fault.CodeCallerGone)
		r.caller.Abort()
	case r.headSent:
		r.log("answer to the caller was interrupted", "after", r.lastEventID, "runs", r.executions, "cause", cutReason(cause),
			"stopped_by", r.stopReason)
		r.gateway.Metrics.countFinished(r, api.OutcomeUnknown, fault.CodeStreamCut)
		r.caller.Abort()
	case r.serverFailure != nil:
		r.log("backend server's failure response returned to the caller", "runs", r.executions, "stopped_by", r.stopReason)
		r.gateway.Metrics.countFinished(r, api.OutcomeAnswered, fault.CodeBackendServerFailed)
		_ = r.caller.Answer(r.serverFailure, r.serverFailureBody)
	default:
		r.refuse(r.finalRefusal())
	}
}

// cutReason says why a stream ended early. Without a cause the server ended it, and no other server could resume it.
func cutReason(cause error) string {
	if cause == nil {
		return "the backend server interrupted the stream and it could not be resumed"
	}
	return cause.Error()
}

// mayHaveRun reports whether a server may have run the request. That includes a run whose answer was dropped for a larger model.
func (r *requestJob) mayHaveRun() bool { return r.executions > 0 }

// finalRefusal returns the error for a request that got no answer. It states whether a server may have run the request.
func (r *requestJob) finalRefusal() *fault.Error {
	switch {
	case r.hold.Held && r.mayHaveRun():
		return fault.Unknown(fault.StepChoose, fault.CodePromptHeld, heldMessage)
	case r.hold.Held:
		return fault.NotRun(fault.StepChoose, fault.CodePromptHeld, heldMessage).WithRetryAfter(r.hold.RetryAfter)
	}
	deadlinePassed := r.ctx.Err() != nil
	switch {
	case errors.Is(context.Cause(r.ctx), errStopping) && r.mayHaveRun():
		return fault.Unknown(fault.StepDrain, fault.CodeDraining, "the instance stopped before the answer was complete")
	case errors.Is(context.Cause(r.ctx), errStopping):
		return DrainingRefusal()
	case r.mayHaveRun() && deadlinePassed:
		return fault.Unknown(fault.StepDispatch, fault.CodeDeadlineExceeded, "no answer before the deadline")
	case r.mayHaveRun():
		return fault.Unknown(fault.StepDispatch, fault.CodeBackendServerFailed, "the backend server did not return a complete answer")
	case deadlinePassed:
		return fault.NotRun(fault.StepChoose, fault.CodeDeadlineExceeded,
			"the deadline passed before a backend server accepted the request")
	case r.backoff > 0:
		// Callers return one after the other when servers want requests again, rather than in one burst.
		return fault.NotRun(fault.StepChoose, fault.CodeNoBackendServer,
			"all backend servers ask for time").WithRetryAfter(r.backoff + spread(r.backoff, r.rng))
	case r.coldWait > 0:
		return fault.NotRun(fault.StepChoose, fault.CodeNoBackendServer,
			"all backend servers are cold and take no further request now").WithRetryAfter(r.coldWait)
	default:
		return fault.NotRun(fault.StepChoose, fault.CodeNoBackendServer,
			"no backend server accepts the request now").WithRetryAfter(refusalRetryAfter)
	}
}

// DrainingRefusal returns the error for a request that no server has run because the instance stops. Other instances accept it at once.
func DrainingRefusal() *fault.Error {
	return fault.NotRun(fault.StepDrain, fault.CodeDraining, "the instance is shutting down").WithRetryAfter(drainRetryAfter)
}

// refuse answers the caller with an error of this instance.
func (r *requestJob) refuse(refusal *fault.Error) {
	r.log("error response returned to the caller", "step", refusal.Step, "code", refusal.Code, "outcome", refusal.Outcome,
		"sends", r.sentAttempts, "configuration", r.gateway.Configurations.Version(), "stopped_by", r.stopReason)
	r.gateway.Metrics.countFinished(r, refusal.Outcome, refusal.Code)
	r.caller.Refuse(refusal)
}

// recordDelivery logs and counts an answer that was sent to the caller; err is the failure to send it.
func (r *requestJob) recordDelivery(err error) {
	if err != nil {
		r.log("caller disconnected while the answer was being sent", "error", err.Error())
		r.gateway.Metrics.countFinished(r, api.OutcomeUnknown, fault.CodeCallerGone)
		return
	}
	r.log("request answered", "model", r.model, "sends", r.sentAttempts, "last", r.lastEventID,
		"first_ms", r.timeToFirstEvent.Milliseconds(), "pause_ms", r.longestPause.Milliseconds())
	r.gateway.Metrics.countFinished(r, api.OutcomeAnswered, "")
	r.gateway.Metrics.observeAnswer(r, time.Since(r.request.Arrived))
}
