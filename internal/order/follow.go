package order

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// Poll intervals of a call that waits for another holder's result.
const (
	firstPoll   = 50 * time.Millisecond
	longestPoll = time.Second
)

// follow answers a call whose key is claimed by another call: it replays the result, claims an abandoned order anew, or
// waits. Where the backend server checks fencing numbers, it takes over a claim that has not changed for a claim window.
func (e *execution) follow(ctx context.Context, present row) (Response, *fault.Error) {
	return e.watch(ctx, present, e.service.config.Now().Add(e.service.config.ClaimWindow))
}

// followAfterSend resolves this call's own send that got no answer; there is no reason to wait for another holder.
func (e *execution) followAfterSend(ctx context.Context, present row) (Response, *fault.Error) {
	return e.watch(ctx, present, e.service.config.Now())
}

func (e *execution) watch(ctx context.Context, present row, raiseAt time.Time) (Response, *fault.Error) {
	poll := firstPoll
	for {
		if present.claim.Digest != e.digest {
			return Response{}, fault.NotRun(fault.StepClaim, fault.CodeIdempotencyKeyReused,
				"the idempotency key was used for a call with another method, path or body")
		}
		if present.claim.State == api.ClaimDone {
			return e.replay(present)
		}
		if present.claim.State == api.ClaimAbandoned {
			next, resp, refused, ended := e.reclaim(ctx, present)
			if ended {
				return resp, refused
			}
			present = next
		} else if server, ok := e.raisable(present, raiseAt); ok {
			next, resp, refused, ended := e.raise(ctx, present, server)
			if ended {
				return resp, refused
			}
			present, raiseAt = next, e.service.config.Now().Add(e.service.config.ClaimWindow)
		}
		if !sleep(ctx, poll) {
			return Response{}, e.inProgress(present)
		}
		poll = min(2*poll, longestPoll)
		if next, err := e.service.claims.read(ctx, e.key); err == nil {
			if next.version != present.version {
				raiseAt = e.service.config.Now().Add(e.service.config.ClaimWindow)
			}
			present = next
		}
	}
}

// raisable reports whether the claim may be taken over now, and at which backend server.
func (e *execution) raisable(present row, raiseAt time.Time) (Server, bool) {
	if e.service.config.Now().Before(raiseAt) {
		return Server{}, false
	}
	server, ok := e.service.config.Servers.Server(present.claim.BackendServer)
	return server, ok && server.ChecksFencing
}

func (e *execution) replay(present row) (Response, *fault.Error) {
	claim := present.claim
	age := e.service.config.Now().Sub(time.UnixMilli(claim.UnixMillis))
	if age > e.service.config.Retention {
		return Response{}, e.unknown(fmt.Sprintf("the order ran %s ago and its result is kept for %s",
			age.Round(time.Hour), e.service.config.Retention), claim.BackendServer)
	}
	if claim.BodyOmitted {
		return Response{}, e.unknown(fmt.Sprintf("the order ran with status %d; its answer was too large to keep", claim.Status), claim.BackendServer)
	}
	return Response{
		Status:        claim.Status,
		ContentType:   claim.ContentType,
		Body:          claim.Body,
		Replayed:      true,
		BackendServer: claim.BackendServer,
	}, nil
}

// reclaim claims an abandoned order under the next fence. If another call was faster, it returns that call's row.
func (e *execution) reclaim(ctx context.Context, present row) (row, Response, *fault.Error, bool) {
	server, refused := e.service.config.Servers.Pick(e.req.Organisation, e.req.Service)
	if refused != nil {
		return row{}, Response{}, refused, true
	}
	claim := e.newClaim(server, present.claim.Fence+1)
	started := e.service.config.Now()
	next, mine, err := e.service.claims.write(ctx, e.key, claim, platform.IfVersion(present.version))
	if err != nil {
		return row{}, Response{}, e.unclaimed(claim, err), true
	}
	if !mine {
		return next, Response{}, nil, false
	}
	resp, refused := e.dispatch(ctx, e.grant(next, server, started))
	return row{}, resp, refused, true
}

func (e *execution) inProgress(present row) *fault.Error {
	return fault.Unknown(fault.StepClaim, fault.CodeOrderInProgress, "another call under the same idempotency key has no result yet").
		WithPeer(present.claim.BackendServer).
		WithAdvice("repeat under the same idempotency key").
		WithRetryAfter(time.Second)
}

// sleep waits and returns false if the context ends first.
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
