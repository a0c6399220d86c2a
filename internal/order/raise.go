package order

import (
	"context"

	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// takeOver takes over a claim that has no result, at a backend server that checks fencing tokens. It first writes the higher
// fence to the row, so that only one call holds that fence. The server then either returns the result that it recorded or
// refuses every later send under a lower fence, so that the order can be sent under the new fence. The last result is false
// if the caller has to go on polling the returned row.
func (e *execution) takeOver(ctx context.Context, present row, server Server) (row, Response, *fault.Error, bool) {
	claim := e.newClaim(server, present.claim.Fence+1)
	started := e.service.config.Now()
	next, written, err := e.service.claims.write(ctx, e.key, claim, platform.IfVersion(present.version))
	if err != nil {
		return present, Response{}, nil, false // nothing was sent under the new fence; a later attempt raises it further
	}
	if !written {
		return next, Response{}, nil, false
	}
	result, ok := e.raiseFence(ctx, next, server)
	if !ok {
		return row{}, Response{}, e.orderInProgress(next), true
	}
	if result.Ran {
		held := heldClaim{row: next, server: server}
		return row{}, e.recordAnswer(ctx, held, answer{result.Status, result.ContentType, result.Body}, true), nil, true
	}
	held := e.newHeldClaim(next, server, started)
	if !e.service.config.Now().Before(held.sendBefore) {
		return e.takeOver(ctx, next, server) // the claim window ended before the server answered
	}
	resp, refused := e.dispatch(ctx, held)
	return row{}, resp, refused, true
}

// raiseFence sends the fence of the claim to the server until it returns a definite answer or the context ends. An error and
// an order that is still running are not definite.
func (e *execution) raiseFence(ctx context.Context, claimed row, server Server) (FenceResult, bool) {
	pollInterval := minPollInterval
	for {
		result, err := e.service.config.Dispatcher.RaiseFence(ctx, FenceRaise{
			OrderKey: e.key,
			Service:  e.req.Service,
			Server:   server,
			Fence:    claimed.claim.Fence,
		})
		running := result.Ran && result.Status == 0
		if err == nil && !running {
			return result, true
		}
		if !sleep(ctx, pollInterval) {
			return FenceResult{}, false
		}
		pollInterval = min(2*pollInterval, maxPollInterval)
	}
}
