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

// execution is one run of Execute.
type execution struct {
	service *Service
	req     Request
	key     string
	digest  string
	// sentTo is the backend server that may have run the order for this execution; empty if certainly none has.
	sentTo string
}

// grant is a claim that this execution holds. Only its holder sends, at most once.
type grant struct {
	row    row
	server Server
	// sendBefore ends the claim window by the monotonic clock.
	sendBefore time.Time
}

// run executes the order. Once a send of this execution may have run, no later failure is reported as not_run, also when
// the failing step itself sent nothing.
func (e *execution) run(ctx context.Context) (Response, *fault.Error) {
	resp, refused := e.claim(ctx)
	if refused != nil && refused.Outcome == api.OutcomeNotRun && e.sentTo != "" {
		return Response{}, e.unknown("the backend server did not answer and the order could not be resolved", e.sentTo).WithCause(refused)
	}
	return resp, refused
}

func (e *execution) claim(ctx context.Context) (Response, *fault.Error) {
	server, refused := e.service.config.Servers.Pick(e.req.Organisation, e.req.Service)
	if refused != nil {
		return Response{}, refused
	}
	claim := e.newClaim(server, 1)
	started := e.service.config.Now()
	present, mine, err := e.service.claims.write(ctx, e.key, claim, platform.IfAbsent())
	if err != nil {
		return Response{}, e.unclaimed(claim, err)
	}
	if !mine {
		return e.follow(ctx, present)
	}
	return e.dispatch(ctx, e.grant(present, server, started))
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

func (e *execution) grant(present row, server Server, started time.Time) grant {
	return grant{row: present, server: server, sendBefore: started.Add(e.service.config.ClaimWindow)}
}

// unclaimed ends an execution that does not know whether it holds the claim. It sends nothing; if the claim may be in the
// row, it is marked as abandoned later.
func (e *execution) unclaimed(claim api.OrderClaim, err error) *fault.Error {
	if !errors.Is(err, errNoEffect) {
		e.service.pending.add(pendingWrite{key: e.key, claim: abandoned(claim)})
	}
	return storeUnavailable("the order could not be claimed in the table service").WithCause(err)
}

func abandoned(claim api.OrderClaim) api.OrderClaim {
	claim.State = api.ClaimAbandoned
	return claim
}

// dispatch sends the order under a claim that this execution holds.
func (e *execution) dispatch(ctx context.Context, g grant) (Response, *fault.Error) {
	if !e.service.config.Now().Before(g.sendBefore) {
		return Response{}, e.abandon(ctx, g, SendResult{Err: errors.New("the claim window has passed")})
	}
	result := e.service.config.Dispatcher.Send(ctx, Send{
		OrderKey:     e.key,
		Organisation: e.req.Organisation,
		Service:      e.req.Service,
		Server:       g.server,
		Fence:        g.row.claim.Fence,
		Method:       e.req.Method,
		Path:         e.req.Path,
		ContentType:  e.req.ContentType,
		Body:         e.req.Body,
		SendBefore:   g.sendBefore,
	})
	if result.Sent && !result.StaleFence {
		e.sentTo = g.server.ID
	}
	switch {
	case !result.Sent:
		return Response{}, e.abandon(ctx, g, result)
	case result.StaleFence:
		return e.follow(ctx, g.row)
	case result.Answered:
		return e.answer(ctx, g, answer{result.Status, result.ContentType, result.Body}, false), nil
	case g.server.ChecksFencing:
		return e.followAfterSend(ctx, g.row)
	}
	return Response{}, e.unknown("the backend server did not answer", g.server.ID).WithCause(result.Err)
}

// abandon ends a claim under which nothing was and will be sent.
func (e *execution) abandon(ctx context.Context, g grant, result SendResult) *fault.Error {
	claim := abandoned(g.row.claim)
	_, mine, err := e.service.claims.write(context.WithoutCancel(ctx), e.key, claim, platform.IfVersion(g.row.version))
	if err != nil {
		e.service.pending.add(pendingWrite{key: e.key, claim: claim})
	}
	code, message := fault.CodeBackendServerFailed, "the order was not sent to the backend server"
	if !e.service.config.Now().Before(g.sendBefore) {
		code, message = fault.CodeDeadlineExceeded, fmt.Sprintf("the order was not sent within %s", e.service.config.ClaimWindow)
	}
	advice := "repeat under the same idempotency key"
	if err != nil || !mine {
		advice += "; until the table service has recorded that nothing was sent, repeats are answered as unknown"
	}
	return fault.NotRun(fault.StepDispatch, code, message).
		WithPeer(g.server.ID).WithCause(result.Err).WithAdvice(advice).WithRetryAfter(time.Second)
}

// answer records the result and returns it to the caller. A result that cannot be recorded now is written later.
func (e *execution) answer(ctx context.Context, g grant, a answer, replayed bool) Response {
	claim := e.service.done(g.row.claim, a)
	if !e.service.record(context.WithoutCancel(ctx), e.key, claim, g.row.version) {
		e.service.pending.add(pendingWrite{key: e.key, claim: claim})
	}
	return Response{Status: a.status, ContentType: a.contentType, Body: a.body, Replayed: replayed, BackendServer: g.server.ID}
}

// answer is the answer of a backend server.
type answer struct {
	status      int
	contentType string
	body        []byte
}

// done returns the claim with the result of the order.
func (s *Service) done(claim api.OrderClaim, a answer) api.OrderClaim {
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

func (e *execution) unknown(message, server string) *fault.Error {
	return fault.Unknown(fault.StepDispatch, fault.CodeOrderUnknown, message).
		WithPeer(server).
		WithAdvice("repeat under the same idempotency key to learn the result; do not send the order under a new key")
}
