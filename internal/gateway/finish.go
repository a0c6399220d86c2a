package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// finish ends a request that gets no success: with the failure that a server stated, or with this instance's refusal.
func (r *run) finish() {
	cause := context.Cause(r.ctx)
	switch {
	case errors.Is(cause, context.Canceled):
		r.log("caller left", "runs", r.runs, "after", r.last)
		r.gateway.Metrics.finished(r, api.OutcomeUnknown, fault.CodeCallerGone)
		r.caller.Cut()
	case r.began:
		r.log("answer ended early", "after", r.last, "runs", r.runs, "cause", causeText(cause))
		r.gateway.Metrics.finished(r, api.OutcomeUnknown, fault.CodeStreamCut)
		r.caller.Cut()
	case r.failure != nil:
		r.log("failure passed on", "runs", r.runs)
		r.gateway.Metrics.finished(r, api.OutcomeAnswered, fault.CodeBackendServerFailed)
		_ = r.caller.Answer(r.failure, r.failureBody)
	default:
		r.refuse(r.refusal())
	}
}

// causeText names what ended a stream early; without a cause it was the server, and no other could go on.
func causeText(cause error) string {
	if cause == nil {
		return "server broke off"
	}
	return cause.Error()
}

// refusal describes what is certain about the request.
func (r *run) refusal() *fault.Error {
	late := r.ctx.Err() != nil
	switch {
	case r.uncertain && late:
		return fault.Unknown(fault.StepDispatch, fault.CodeDeadlineExceeded, "no answer before the deadline")
	case r.uncertain:
		return fault.Unknown(fault.StepDispatch, fault.CodeBackendServerFailed, "the server gave no complete answer")
	case late:
		return fault.NotRun(fault.StepChoose, fault.CodeDeadlineExceeded, "the deadline passed before a server took the request")
	default:
		return fault.NotRun(fault.StepChoose, fault.CodeNoBackendServer, "no server takes the request now").WithRetryAfter(refusalWait)
	}
}

// refuse answers with this instance's own words.
func (r *run) refuse(refusal *fault.Error) {
	r.log("refused", "step", refusal.Step, "code", refusal.Code, "outcome", refusal.Outcome, "sends", r.sends,
		"configuration", r.gateway.Configurations.Version())
	r.gateway.Metrics.finished(r, refusal.Outcome, refusal.Code)
	r.caller.Refuse(refusal)
}

// answered records a delivered answer.
func (r *run) answered(err error) {
	if err != nil {
		r.log("caller left during the answer", "error", err.Error())
		r.gateway.Metrics.finished(r, api.OutcomeUnknown, fault.CodeCallerGone)
		return
	}
	r.log("answered", "model", r.model, "sends", r.sends, "last", r.last, "first_ms", r.first.Milliseconds(),
		"pause_ms", r.pause.Milliseconds())
	r.gateway.Metrics.finished(r, api.OutcomeAnswered, "")
	r.gateway.Metrics.whole(r, time.Since(r.request.Arrived))
}
