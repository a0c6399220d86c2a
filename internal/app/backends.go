package app

import (
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/dispatch"
	"github.com/cicadawall/cicadawall/internal/engine"
	"github.com/cicadawall/cicadawall/internal/engine/stream"
	"github.com/cicadawall/cicadawall/internal/order"
	"github.com/cicadawall/cicadawall/internal/table"
)

// stallTimeout is the longest silence of an engine between two chunks before the answer is resumed elsewhere. It is above
// any prefill and batch pause that the first-token target of 1.2 s allows.
const stallTimeout = 15 * time.Second

func peerOf(entry api.InstanceEntry) string {
	return net.JoinHostPort(entry.Ip, strconv.Itoa(entry.Port))
}

// engines adapts the engine client to the request path and keeps the load reports that come with answers.
type engines struct {
	client  *engine.Client
	servers *table.Servers
}

// Start implements dispatch.Engine.
func (e *engines) Start(ctx context.Context, server table.Server, attempt dispatch.Attempt) (dispatch.ChunkStream, *dispatch.AttemptError) {
	if err := attempt.CheckPermit(); err != nil {
		return nil, &dispatch.AttemptError{Cause: err}
	}
	body := attempt.Body
	body.Model = attempt.Version.String()
	body.Stream = true
	body.StreamOptions = &api.StreamOptions{IncludeUsage: true}
	body.Logprobs = true
	answer, err := e.client.Stream(ctx, peerOf(server.Entry), engine.Request{
		Body:         body,
		CompletionID: attempt.CompletionID,
		ResumeFrom:   attempt.ResumeAfter,
		Priority:     attempt.Priority,
		StallTimeout: stallTimeout,
	})
	if err != nil {
		return nil, e.failed(server, err)
	}
	e.observe(server, answer.Load())
	return &chunks{answer: answer}, nil
}

func (e *engines) failed(server table.Server, err error) *dispatch.AttemptError {
	var failure *engine.Error
	if !errors.As(err, &failure) {
		return &dispatch.AttemptError{Sent: true, Cause: err}
	}
	e.observe(server, failure.Load)
	return attemptError(failure)
}

func attemptError(failure *engine.Error) *dispatch.AttemptError {
	return &dispatch.AttemptError{
		Sent:    failure.Kind != engine.KindNotSent,
		Refused: failure.NotRun(),
		Status:  failure.Status,
		Cause:   failure,
	}
}

func (e *engines) observe(server table.Server, report *engine.LoadReport) {
	if report != nil {
		e.servers.ObserveLoad(server.Entry.Id, report.Load, report.MeasuredAt)
	}
}

// Load implements fleet.LoadReader.
func (e *engines) Load(ctx context.Context, server table.Server) (api.EngineLoad, time.Time, error) {
	report, err := e.client.Load(ctx, peerOf(server.Entry))
	if err != nil {
		return api.EngineLoad{}, time.Time{}, err
	}
	return report.Load, report.MeasuredAt, nil
}

// CacheEvents implements fleet.CacheReader.
func (e *engines) CacheEvents(ctx context.Context, server table.Server, after int64, limit int) (api.CacheEvents, error) {
	return e.client.CacheEvents(ctx, peerOf(server.Entry), after, limit)
}

// chunks adapts an engine's stream. Its context was given at the start.
type chunks struct {
	answer *engine.Stream
}

// Next implements dispatch.ChunkStream.
func (c *chunks) Next(context.Context) (stream.Chunk, error) { return c.answer.Next() }

// Close implements dispatch.ChunkStream.
func (c *chunks) Close() { c.answer.Close() }

// plainServices adapts the client of plain services to repeatable calls and to orders.
type plainServices struct {
	client  *engine.PlainClient
	servers *table.Servers
}

// Call implements dispatch.PlainSender.
func (p *plainServices) Call(ctx context.Context, call dispatch.PlainCall) (*dispatch.PlainResponse, *dispatch.AttemptError) {
	path, query, _ := strings.Cut(call.Path, "?")
	response, err := p.client.Call(ctx, peerOf(call.Server.Entry), engine.PlainRequest{
		Method:      call.Method,
		Path:        path,
		Query:       query,
		ContentType: call.ContentType,
		Body:        call.Body,
	})
	if err == nil {
		return &dispatch.PlainResponse{Status: response.Status, ContentType: response.ContentType, Body: response.Body}, nil
	}
	var failure *engine.Error
	if errors.As(err, &failure) {
		return nil, attemptError(failure)
	}
	return nil, &dispatch.AttemptError{Sent: true, Cause: err}
}

// Send implements order.Dispatcher.
func (p *plainServices) Send(ctx context.Context, send order.Send) order.SendResult {
	row, ok := p.servers.Get(send.Server.ID)
	if !ok || !p.servers.Begin(send.Server.ID) {
		return order.SendResult{Err: errors.Errorf("backend server %s is gone or leaving", send.Server.ID)}
	}
	if !time.Now().Before(send.SendBefore) {
		p.servers.End(send.Server.ID, false, time.Now())
		return order.SendResult{Err: errors.New("the time in which the claim may be dispatched has passed")}
	}
	path, query, _ := strings.Cut(send.Path, "?")
	response, err := p.client.Call(ctx, peerOf(row.Entry), engine.PlainRequest{
		Method:         send.Method,
		Path:           path,
		Query:          query,
		ContentType:    send.ContentType,
		Body:           send.Body,
		IdempotencyKey: send.OrderKey,
		Fence:          send.Fence,
	})
	p.servers.End(send.Server.ID, err != nil, time.Now())
	if err == nil {
		return order.SendResult{Sent: true, StaleFence: response.FenceRefused, Answered: !response.FenceRefused,
			Status: response.Status, ContentType: response.ContentType, Body: response.Body}
	}
	var failure *engine.Error
	if errors.As(err, &failure) && failure.Kind == engine.KindNotSent {
		return order.SendResult{Err: err}
	}
	return order.SendResult{Sent: true, Err: err}
}

// RaiseFence implements order.Dispatcher.
func (p *plainServices) RaiseFence(ctx context.Context, raise order.FenceRaise) (order.FenceResult, error) {
	row, ok := p.servers.Get(raise.Server.ID)
	if !ok {
		return order.FenceResult{}, errors.Errorf("backend server %s is gone", raise.Server.ID)
	}
	response, err := p.client.RaiseFence(ctx, peerOf(row.Entry), api.FenceRequest{Key: raise.OrderKey, Fence: raise.Fence})
	if err != nil {
		return order.FenceResult{}, errors.Wrapf(err, "raise the fence at %s", raise.Server.ID)
	}
	return order.FenceResult{Ran: response.Ran, Status: response.Status, ContentType: response.ContentType, Body: response.Body}, nil
}
