package order

import (
	"context"

	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// raise takes over a claim without a result at a backend server that checks fencing numbers. The higher fence is written
// to the row first, so that only one call holds it. The server then either returns the recorded result or refuses every
// send under a lower fence, so that the order can be sent under the new one.
func (e *execution) raise(ctx context.Context, present row, server Server) (row, Response, *fault.Error, bool) {
	claim := e.newClaim(server, present.claim.Fence+1)
	started := e.service.config.Now()
	next, mine, err := e.service.claims.write(ctx, e.key, claim, platform.IfVersion(present.version))
	if err != nil {
		return present, Response{}, nil, false // nothing was sent under the new fence; a later round raises it further
	}
	if !mine {
		return next, Response{}, nil, false
	}
	result, ok := e.askServer(ctx, next, server)
	if !ok {
		return row{}, Response{}, e.inProgress(next), true
	}
	if result.Ran {
		g := grant{row: next, server: server}
		return row{}, e.answer(ctx, g, answer{result.Status, result.ContentType, result.Body}, true), nil, true
	}
	g := e.grant(next, server, started)
	if !e.service.config.Now().Before(g.sendBefore) {
		return e.raise(ctx, next, server) // the server answered too late for this claim
	}
	resp, refused := e.dispatch(ctx, g)
	return row{}, resp, refused, true
}

// askServer raises the fence at the server until it gives a definite answer or the context ends.
func (e *execution) askServer(ctx context.Context, held row, server Server) (FenceResult, bool) {
	poll := firstPoll
	for {
		result, err := e.service.config.Dispatcher.Fence(ctx, FenceRaise{
			OrderKey: e.key,
			Service:  e.req.Service,
			Server:   server,
			Fence:    held.claim.Fence,
		})
		running := result.Ran && result.Status == 0
		if err == nil && !running {
			return result, true
		}
		if !sleep(ctx, poll) {
			return FenceResult{}, false
		}
		poll = min(2*poll, longestPoll)
	}
}
