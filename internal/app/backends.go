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

// stallTimeout is the longest time between two chunks of an engine's stream before the answer is resumed at another engine.
// It exceeds every pause for prefill and batching that the target of 1.2 s for the time to first token allows.
const stallTimeout = 15 * time.Second

func serverAddress(entry api.InstanceEntry) string {
	return net.JoinHostPort(entry.Ip, strconv.Itoa(entry.Port))
}

// engineAdapter adapts the engine client to the request path and stores the load reports that engines send with their
// answers.
type engineAdapter struct {
	client  *engine.Client
	servers *table.Servers
}

// Start implements dispatch.Engine.
func (e *engineAdapter) Start(ctx context.Context, server table.Server, attempt dispatch.Attempt) (dispatch.ChunkStream, *dispatch.AttemptError) {
	if err := attempt.CheckPermit(); err != nil {
		return nil, &dispatch.AttemptError{Cause: err}
	}
	body := attempt.Body
	body.Model = attempt.Version.String()
	body.Stream = true
	body.StreamOptions = &api.StreamOptions{IncludeUsage: true}
	body.Logprobs = true
	engineStream, err := e.client.Stream(ctx, serverAddress(server.Entry), engine.Request{
		Body:         body,
		CompletionID: attempt.CompletionID,
		ResumeFrom:   attempt.ResumeAfter,
		Priority:     attempt.Priority,
		StallTimeout: stallTimeout,
	})
	if err != nil {
		return nil, e.toAttemptError(server, err)
	}
	e.recordLoad(server, engineStream.Load())
	return &chunkStream{engineStream: engineStream}, nil
}

func (e *engineAdapter) toAttemptError(server table.Server, err error) *dispatch.AttemptError {
	var failure *engine.Error
	if !errors.As(err, &failure) {
		return &dispatch.AttemptError{Sent: true, Cause: err}
	}
	e.recordLoad(server, failure.Load)
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

func (e *engineAdapter) recordLoad(server table.Server, report *engine.LoadReport) {
	if report != nil {
		e.servers.ObserveLoad(server.Entry.Id, report.Load, report.MeasuredAt)
	}
}

// Load implements fleet.LoadReader.
func (e *engineAdapter) Load(ctx context.Context, server table.Server) (api.EngineLoad, time.Time, error) {
	report, err := e.client.Load(ctx, serverAddress(server.Entry))
	if err != nil {
		return api.EngineLoad{}, time.Time{}, err
	}
	return report.Load, report.MeasuredAt, nil
}

// CacheEvents implements fleet.CacheReader.
func (e *engineAdapter) CacheEvents(ctx context.Context, server table.Server, after int64, limit int) (api.CacheEvents, error) {
	return e.client.CacheEvents(ctx, serverAddress(server.Entry), after, limit)
}

// chunkStream adapts an engine's stream to dispatch.ChunkStream. The context passed to Start bounds the whole stream.
type chunkStream struct {
	engineStream *engine.Stream
}

// Next implements dispatch.ChunkStream.
func (c *chunkStream) Next(context.Context) (stream.Chunk, error) { return c.engineStream.Next() }

// Close implements dispatch.ChunkStream.
func (c *chunkStream) Close() { c.engineStream.Close() }

// plainAdapter adapts the client of plain services to repeatable calls and to the dispatch of orders.
type plainAdapter struct {
	client  *engine.PlainClient
	servers *table.Servers
}

// Call implements dispatch.PlainSender.
func (p *plainAdapter) Call(ctx context.Context, call dispatch.PlainCall) (*dispatch.PlainResponse, *dispatch.AttemptError) {
	path, query, _ := strings.Cut(call.Path, "?")
	response, err := p.client.Call(ctx, serverAddress(call.Server.Entry), engine.PlainRequest{
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
func (p *plainAdapter) Send(ctx context.Context, send order.Send) order.SendResult {
	row, ok := p.servers.Get(send.Server.ID)
	if !ok || !p.servers.BeginAttempt(send.Server.ID) {
		return order.SendResult{Err: errors.Errorf("backend server %s is no longer listed or is leaving", send.Server.ID)}
	}
	if !time.Now().Before(send.SendBefore) {
		p.servers.EndAttempt(send.Server.ID, false, time.Now())
		return order.SendResult{Err: errors.New("the time limit for sending the claimed order has passed")}
	}
	path, query, _ := strings.Cut(send.Path, "?")
	response, err := p.client.Call(ctx, serverAddress(row.Entry), engine.PlainRequest{
		Method:         send.Method,
		Path:           path,
		Query:          query,
		ContentType:    send.ContentType,
		Body:           send.Body,
		IdempotencyKey: send.OrderKey,
		Fence:          send.Fence,
	})
	p.servers.EndAttempt(send.Server.ID, err != nil, time.Now())
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
func (p *plainAdapter) RaiseFence(ctx context.Context, raise order.FenceRaise) (order.FenceResult, error) {
	row, ok := p.servers.Get(raise.Server.ID)
	if !ok {
		return order.FenceResult{}, errors.Errorf("backend server %s is no longer listed", raise.Server.ID)
	}
	response, err := p.client.RaiseFence(ctx, serverAddress(row.Entry), api.FenceRequest{Key: raise.OrderKey, Fence: raise.Fence})
	if err != nil {
		return order.FenceResult{}, errors.Wrapf(err, "raise the fencing token at backend server %s", raise.Server.ID)
	}
	return order.FenceResult{Ran: response.Ran, Status: response.Status, ContentType: response.ContentType, Body: response.Body}, nil
}
