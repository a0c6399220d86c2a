package order

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// Bounds of the exponentially growing poll interval of a call that waits for the result of another call.
const (
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
)

// awaitResult answers a call whose idempotency key is claimed by another call. It replays the result if there is one, claims
// an abandoned order again, and waits otherwise. If the backend server checks fencing tokens, it takes over a claim that has
// not changed for the length of a claim window.
func (e *execution) awaitResult(ctx context.Context, present row) (Response, *fault.Error) {
	return e.pollClaim(ctx, present, e.service.config.Now().Add(e.service.config.ClaimWindow))
}

// resolveUnansweredSend determines the result after this call sent the order and got no answer. It may take over the claim
// at once, because no other call holds it.
func (e *execution) resolveUnansweredSend(ctx context.Context, present row) (Response, *fault.Error) {
	return e.pollClaim(ctx, present, e.service.config.Now())
}

// pollClaim reads the order row until the order has a result or the context ends. From takeOverAt on, it may take over the
// claim.
func (e *execution) pollClaim(ctx context.Context, present row, takeOverAt time.Time) (Response, *fault.Error) {
	pollInterval := minPollInterval
	for {
		if present.claim.Digest != e.digest {
			return Response{}, fault.NotRun(fault.StepClaim, fault.CodeIdempotencyKeyReused,
				"the idempotency key was used for a call with another method, path or body")
		}
		if present.claim.State == api.ClaimDone {
			return e.replay(present)
		}
		if present.claim.State == api.ClaimAbandoned {
			next, resp, refused, finished := e.reclaim(ctx, present)
			if finished {
				return resp, refused
			}
			present = next
		} else if server, ok := e.canTakeOver(present, takeOverAt); ok {
			next, resp, refused, finished := e.takeOver(ctx, present, server)
			if finished {
				return resp, refused
			}
			present, takeOverAt = next, e.service.config.Now().Add(e.service.config.ClaimWindow)
		}
		if !sleep(ctx, pollInterval) {
			return Response{}, e.orderInProgress(present)
		}
		pollInterval = min(2*pollInterval, maxPollInterval)
		if next, err := e.service.claims.read(ctx, e.key); err == nil {
			if next.version != present.version {
				takeOverAt = e.service.config.Now().Add(e.service.config.ClaimWindow)
			}
			present = next
		}
	}
}

// canTakeOver reports whether the claim may be taken over now, and returns the backend server that the claim names.
func (e *execution) canTakeOver(present row, takeOverAt time.Time) (Server, bool) {
	if e.service.config.Now().Before(takeOverAt) {
		return Server{}, false
	}
	server, ok := e.service.config.Servers.Server(present.claim.BackendServer)
	return server, ok && server.ChecksFencing
}

// replay returns the recorded result of the order.
func (e *execution) replay(present row) (Response, *fault.Error) {
	claim := present.claim
	age := e.service.config.Now().Sub(time.UnixMilli(claim.UnixMillis))
	if age > e.service.config.Retention {
		return Response{}, e.orderUnknown(fmt.Sprintf("the order ran %s ago; results are kept only for %s",
			age.Round(time.Hour), e.service.config.Retention), claim.BackendServer)
	}
	if claim.BodyOmitted {
		return Response{}, e.orderUnknown(fmt.Sprintf("the order ran with status %d; its answer was too large to record", claim.Status), claim.BackendServer)
	}
	return Response{
		Status:        claim.Status,
		ContentType:   claim.ContentType,
		Body:          claim.Body,
		Replayed:      true,
		BackendServer: claim.BackendServer,
	}, nil
}

// reclaim claims an abandoned order with the next higher fence and sends it. The last result is false if another call
// changed the row first; the returned row is then the current one.
func (e *execution) reclaim(ctx context.Context, present row) (row, Response, *fault.Error, bool) {
	server, refused := e.service.config.Servers.Pick(e.req.Organisation, e.req.Service)
	if refused != nil {
		return row{}, Response{}, refused, true
	}
	claim := e.newClaim(server, present.claim.Fence+1)
	started := e.service.config.Now()
	next, written, err := e.service.claims.write(ctx, e.key, claim, platform.IfVersion(present.version))
	if err != nil {
		return row{}, Response{}, e.claimFailed(claim, err), true
	}
	if !written {
		return next, Response{}, nil, false
	}
	resp, refused := e.dispatch(ctx, e.newHeldClaim(next, server, started))
	return row{}, resp, refused, true
}

func (e *execution) orderInProgress(present row) *fault.Error {
	return fault.Unknown(fault.StepClaim, fault.CodeOrderInProgress, "another call under the same idempotency key has no result yet").
		WithPeer(present.claim.BackendServer).
		WithAdvice("repeat under the same idempotency key").
		WithRetryAfter(time.Second)
}

// sleep waits for the duration. It returns false if the context ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
