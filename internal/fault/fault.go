// Package fault defines the typed errors of the request path. Each error carries the step and the peer at which it arose,
// and an outcome that tells whether a backend server may have run the request.
package fault

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Step names the processing step in which an error arose.
type Step string

// Steps of handling requests, orders, sessions, bills, configuration changes and engine commands.
const (
	StepAuthenticate  Step = "authenticate"
	StepDecode        Step = "decode"
	StepAdmit         Step = "admit"
	StepQueue         Step = "queue"
	StepSession       Step = "session"
	StepChoose        Step = "choose"
	StepPermit        Step = "permit"
	StepDispatch      Step = "dispatch"
	StepStream        Step = "stream"
	StepClaim         Step = "claim"
	StepResult        Step = "result"
	StepBill          Step = "bill"
	StepConfigure     Step = "configure"
	StepStore         Step = "store"
	StepMembership    Step = "membership"
	StepLease         Step = "lease"
	StepEngineCommand Step = "engine_command"
	StepDrain         Step = "drain"
)

// Code is a stable machine-readable error code.
type Code string

// Error codes returned to callers and operators. docs/operators/callers.md describes each of them.
const (
	CodeUnauthenticated         Code = "unauthenticated"
	CodeInvalidRequest          Code = "invalid_request"
	CodeBodyTooLarge            Code = "body_too_large"
	CodeUnknownClass            Code = "unknown_class"
	CodeUnknownModel            Code = "unknown_model"
	CodeUnknownService          Code = "unknown_service"
	CodeNotAllowed              Code = "not_allowed"
	CodeVersionWithdrawn        Code = "version_withdrawn"
	CodeTargetUnmet             Code = "target_unmet"
	CodeConfigurationStale      Code = "configuration_stale"
	CodeSessionUnavailable      Code = "session_unavailable"
	CodeSessionInvalid          Code = "session_invalid"
	CodeSessionVersionWithdrawn Code = "session_version_withdrawn"
	CodeLimitExceeded           Code = "limit_exceeded"
	CodeQueueFull               Code = "queue_full"
	CodeDeadlineUnreachable     Code = "deadline_unreachable"
	CodeDeadlineExceeded        Code = "deadline_exceeded"
	CodeDraining                Code = "draining"
	CodeNoBackendServer         Code = "no_backend_server"
	CodeOverloaded              Code = "overloaded"
	CodeBackendServerFailed     Code = "backend_server_failed"
	CodeStreamCut               Code = "stream_cut"
	CodePromptHeld              Code = "prompt_held"
	CodeCallerGone              Code = "caller_gone"
	CodeIdempotencyKeyRequired  Code = "idempotency_key_required"
	CodeIdempotencyKeyReused    Code = "idempotency_key_reused"
	CodeOrderInProgress         Code = "order_in_progress"
	CodeOrderUnknown            Code = "order_unknown"
	CodeOrderStoreUnavailable   Code = "order_store_unavailable"
	CodeBillingBufferFull       Code = "billing_buffer_full"
	CodeBillNotDurable          Code = "bill_not_durable"
	CodeLeaseLost               Code = "lease_lost"
	CodeStaleFence              Code = "stale_fence"
	CodeInternal                Code = "internal"
)

// Error is a typed error with the step and peer at which it arose.
type Error struct {
	Step    Step
	Peer    string
	Code    Code
	Outcome api.Outcome
	Message string
	// Advice tells the caller what to do next; it may be empty.
	Advice string
	// RetryAfter is the suggested minimum delay before a retry; zero means that no delay is suggested.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s: %s", e.Step, e.Code, e.Message)
	if e.Peer != "" {
		text = fmt.Sprintf("%s (peer %s)", text, e.Peer)
	}
	if e.Cause != nil {
		text = fmt.Sprintf("%s: %v", text, e.Cause)
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NotRun returns an error for a request that no backend server has run or will run.
func NotRun(step Step, code Code, message string) *Error {
	return &Error{Step: step, Code: code, Outcome: api.OutcomeNotRun, Message: message}
}

// Unknown returns an error for a request that a backend server may have run.
func Unknown(step Step, code Code, message string) *Error {
	return &Error{Step: step, Code: code, Outcome: api.OutcomeUnknown, Message: message}
}

// WithPeer sets the peer and returns the error.
func (e *Error) WithPeer(peer string) *Error {
	e.Peer = peer
	return e
}

// WithCause sets the cause and returns the error.
func (e *Error) WithCause(cause error) *Error {
	e.Cause = cause
	return e
}

// WithAdvice sets the advice and returns the error.
func (e *Error) WithAdvice(advice string) *Error {
	e.Advice = advice
	return e
}

// WithRetryAfter sets the suggested delay before a retry and returns the error.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	e.RetryAfter = wait
	return e
}

// From returns the typed error in err's chain. If the chain holds none, the result has the given step and the outcome
// unknown, because nothing proves that the request was not run.
func From(err error, step Step) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Unknown(step, CodeInternal, "unexpected error").WithCause(err)
}
