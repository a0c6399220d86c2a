package order

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// execution is the state of one call of Execute.
type execution struct {
	service *Service
	req     Request
	key     string
	digest  string
	// sentToServer is the id of the backend server that may have run the order for this execution. It is empty as long as
	// certainly no server has run it.
	sentToServer string
}

// heldClaim is a claim held by this execution. Only the holder of a claim may send the order, and at most once.
type heldClaim struct {
	row    row
	server Server
	// sendBefore is the end of the claim window on the monotonic clock.
	sendBefore time.Time
}

// run executes the order. If a backend server may have run the order for this execution, a later failure is never reported
// as not_run, even if the step that failed sent nothing.
func (e *execution) run(ctx context.Context) (Response, *fault.Error) {
	resp, refused := e.claimAndDispatch(ctx)
	if refused != nil && refused.Outcome == api.OutcomeNotRun && e.sentToServer != "" {
		return Response{}, e.orderUnknown("the backend server did not answer and the result of the order could not be determined", e.sentToServer).WithCause(refused)
	}
	return resp, refused
}

// claimAndDispatch claims the order in the table service and sends it. If another call holds the claim, it waits for that
// call's result.
func (e *execution) claimAndDispatch(ctx context.Context) (Response, *fault.Error) {
	server, refused := e.service.config.Servers.Pick(e.req.Organisation, e.req.Service)
	if refused != nil {
		return Response{}, refused
	}
	claim := e.newClaim(server, 1)
	started := e.service.config.Now()
	present, written, err := e.service.claims.write(ctx, e.key, claim, platform.IfAbsent())
	if err != nil {
		return Response{}, e.claimFailed(claim, err)
	}
	if !written {
		return e.awaitResult(ctx, present)
	}
	return e.dispatch(ctx, e.newHeldClaim(present, server, started))
}

func (e *execution) newClaim(server Server, fence int64) api.OrderClaim {
	return api.OrderClaim{
		AttemptID:     e.service.config.NewID(),
		Incarnation:   e.service.config.Incarnation,
		Digest:        e.digest,
		BackendServer: server.ID,
		Fence:         fence,
		State:         api.ClaimClaimed,
		UnixMillis:    e.service.config.Now().UnixMilli(),
	}
}

func (e *execution) newHeldClaim(present row, server Server, started time.Time) heldClaim {
	return heldClaim{row: present, server: server, sendBefore: started.Add(e.service.config.ClaimWindow)}
}

// claimFailed ends an execution whose claim was not written or may not have been written; nothing was sent. If the row may
// contain the claim, a pending write marks it as abandoned later.
func (e *execution) claimFailed(claim api.OrderClaim, err error) *fault.Error {
	if !errors.Is(err, errNotWritten) {
		e.service.pending.add(pendingWrite{key: e.key, claim: abandonedClaim(claim)})
	}
	return storeUnavailable("the order could not be claimed in the table service").WithCause(err)
}

// abandonedClaim returns the claim in state abandoned: nothing was sent under it, so the order may be claimed again.
func abandonedClaim(claim api.OrderClaim) api.OrderClaim {
	claim.State = api.ClaimAbandoned
	return claim
}

// dispatch sends the order to the backend server under the claim held by this execution.
func (e *execution) dispatch(ctx context.Context, held heldClaim) (Response, *fault.Error) {
	if !e.service.config.Now().Before(held.sendBefore) {
		return Response{}, e.abandonUnsent(ctx, held, SendResult{Err: errors.New("the claim window has passed")})
	}
	result := e.service.config.Dispatcher.Send(ctx, Send{
		OrderKey:     e.key,
		Organisation: e.req.Organisation,
		Service:      e.req.Service,
		Server:       held.server,
		Fence:        held.row.claim.Fence,
		Method:       e.req.Method,
		Path:         e.req.Path,
		ContentType:  e.req.ContentType,
		Body:         e.req.Body,
		SendBefore:   held.sendBefore,
	})
	if result.Sent && !result.StaleFence {
		e.sentToServer = held.server.ID
	}
	switch {
	case !result.Sent:
		return Response{}, e.abandonUnsent(ctx, held, result)
	case result.StaleFence:
		return e.awaitResult(ctx, held.row)
	case result.Answered:
		return e.recordAnswer(ctx, held, answer{result.Status, result.ContentType, result.Body}, false), nil
	case held.server.ChecksFencing:
		return e.resolveUnansweredSend(ctx, held.row)
	}
	return Response{}, e.orderUnknown("the backend server did not answer", held.server.ID).WithCause(result.Err)
}

// abandonUnsent marks a claim as abandoned, because nothing was sent under it and nothing will be. It returns the error for
// the caller.
func (e *execution) abandonUnsent(ctx context.Context, held heldClaim, result SendResult) *fault.Error {
	claim := abandonedClaim(held.row.claim)
	_, written, err := e.service.claims.write(context.WithoutCancel(ctx), e.key, claim, platform.IfVersion(held.row.version))
	if err != nil {
		e.service.pending.add(pendingWrite{key: e.key, claim: claim})
	}
	code, message := fault.CodeBackendServerFailed, "the order was not sent to the backend server"
	if !e.service.config.Now().Before(held.sendBefore) {
		code, message = fault.CodeDeadlineExceeded, fmt.Sprintf("the order was not sent within the claim window of %s", e.service.config.ClaimWindow)
	}
	advice := "repeat under the same idempotency key"
	if err != nil || !written {
		advice += "; until the table service has recorded that nothing was sent, repeats are answered as unknown"
	}
	return fault.NotRun(fault.StepDispatch, code, message).
		WithPeer(held.server.ID).WithCause(result.Err).WithAdvice(advice).WithRetryAfter(time.Second)
}

// recordAnswer writes the result to the order row and returns the response for the caller. If the write fails, it is
// repeated later as a pending write.
func (e *execution) recordAnswer(ctx context.Context, held heldClaim, a answer, replayed bool) Response {
	claim := e.service.doneClaim(held.row.claim, a)
	if !e.service.record(context.WithoutCancel(ctx), e.key, claim, held.row.version) {
		e.service.pending.add(pendingWrite{key: e.key, claim: claim})
	}
	return Response{Status: a.status, ContentType: a.contentType, Body: a.body, Replayed: replayed, BackendServer: held.server.ID}
}

// answer is the complete answer of a backend server to an order.
type answer struct {
	status      int
	contentType string
	body        []byte
}

// doneClaim returns the claim in state done with the result of the order. It omits a body longer than MaxResultBytes.
func (s *Service) doneClaim(claim api.OrderClaim, a answer) api.OrderClaim {
	claim.State = api.ClaimDone
	claim.Status = a.status
	claim.ContentType = a.contentType
	claim.Body = a.body
	claim.UnixMillis = s.config.Now().UnixMilli()
	if len(a.body) > s.config.MaxResultBytes {
		claim.Body, claim.BodyOmitted = nil, true
	}
	return claim
}

func (e *execution) orderUnknown(message, server string) *fault.Error {
	return fault.Unknown(fault.StepDispatch, fault.CodeOrderUnknown, message).
		WithPeer(server).
		WithAdvice("repeat under the same idempotency key to learn the result; do not send the order under a new key")
}
