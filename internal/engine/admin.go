package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/httpsend"
)

const (
	// maxAdminResponseBytes bounds the response to an admin call, except for an exported KV cache.
	maxAdminResponseBytes = 1 << 20
	// MaxKVExportBytes bounds the exported KV cache of one completion.
	MaxKVExportBytes = 16 << 20
)

// exchange is one HTTP call whose request and response bodies are small enough to be held in memory.
type exchange struct {
	operation        string
	address          string
	method           string
	path             string
	body             []byte
	maxResponseBytes int64
}

// do makes one attempt. It returns the body of a response with status 200; any other status is an error.
func (e exchange) do(ctx context.Context, sender *httpsend.Sender) ([]byte, error) {
	request, err := newRequest(ctx, e.method, e.address, e.path, e.body)
	if err != nil {
		return nil, &Error{Kind: KindNotSent, Operation: e.operation, Address: e.address, Cause: err}
	}
	response, err := sender.Do(request)
	if err != nil {
		return nil, sendError(e.operation, e.address, err)
	}
	if response.StatusCode != http.StatusOK {
		failure := statusError(e.operation, e.address, response)
		if failure.Status == http.StatusConflict {
			failure.Kind = KindStaleFence
		}
		return nil, failure
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response.Body, e.maxResponseBytes)
	if err != nil {
		return nil, bodyError(e.operation, e.address, response, err)
	}
	return body, nil
}

// doJSON sends message as JSON unless it is nil, and decodes the response into reply unless that is nil.
func (e exchange) doJSON(ctx context.Context, sender *httpsend.Sender, message, reply any) error {
	if message != nil {
		body, err := json.Marshal(message)
		if err != nil {
			return &Error{Kind: KindNotSent, Operation: e.operation, Address: e.address, Cause: err}
		}
		e.body = body
	}
	e.maxResponseBytes = maxAdminResponseBytes
	body, err := e.do(ctx, sender)
	if err != nil || reply == nil {
		return err
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return &Error{Kind: KindMalformed, Operation: e.operation, Address: e.address, Status: http.StatusOK, Cause: err}
	}
	return nil
}

// Load requests the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (*LoadReport, error) {
	call := exchange{operation: "load report", address: address, method: http.MethodGet, path: "/admin/load"}
	var load api.EngineLoad
	if err := call.doJSON(ctx, c.admin, nil, &load); err != nil {
		return nil, err
	}
	report := newLoadReport(load, time.Now())
	if report == nil {
		return nil, &Error{Kind: KindMalformed, Operation: call.operation, Address: address, Status: http.StatusOK}
	}
	return report, nil
}

// NewestEvents, passed to CacheEvents as the sequence number, requests the newest events.
const NewestEvents int64 = -1

// CacheEvents reads the cache events that follow the sequence number after, or the newest events if after is NewestEvents.
// Events arrive with a delay and may have gaps. The reply ends with the event that brings the number of blocks to maxBlocks;
// 0 means no limit.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64, maxBlocks int) (api.CacheEvents, error) {
	path := "/admin/cache-events?limit=" + strconv.Itoa(maxBlocks)
	if after != NewestEvents {
		path += "&after=" + strconv.FormatInt(after, 10)
	}
	call := exchange{operation: "cache events", address: address, method: http.MethodGet, path: path}
	var events api.CacheEvents
	err := call.doJSON(ctx, c.admin, nil, &events)
	return events, err
}

// Command sends a command with the desired state to the engine. An engine that checks fencing tokens refuses a stale one; the
// error then has KindStaleFence.
func (c *Client) Command(ctx context.Context, address string, command api.EngineCommand) (api.EngineState, error) {
	call := exchange{operation: "engine command", address: address, method: http.MethodPost, path: "/admin/commands"}
	var state api.EngineState
	err := call.doJSON(ctx, c.admin, command, &state)
	return state, err
}

// Cancel cancels a completion. It succeeds if no completion with this id is running.
func (c *Client) Cancel(ctx context.Context, address, completionID string) error {
	call := exchange{operation: "cancel", address: address, method: http.MethodPost, path: "/admin/cancel"}
	return call.doJSON(ctx, c.admin, api.CancelRequest{Id: completionID}, nil)
}

// ExportKV returns the KV cache of a completion as opaque bytes.
func (c *Client) ExportKV(ctx context.Context, address, completionID string) ([]byte, error) {
	body, err := json.Marshal(api.CancelRequest{Id: completionID})
	if err != nil {
		return nil, &Error{Kind: KindNotSent, Operation: "export KV cache", Address: address, Cause: err}
	}
	call := exchange{
		operation: "export KV cache", address: address, method: http.MethodPost, path: "/admin/kv/export", body: body, maxResponseBytes: MaxKVExportBytes,
	}
	return call.do(ctx, c.admin)
}

// ImportKV sends an exported KV cache to another engine that runs the same version.
func (c *Client) ImportKV(ctx context.Context, address string, cache []byte) error {
	call := exchange{
		operation: "import KV cache", address: address, method: http.MethodPost, path: "/admin/kv/import", body: cache, maxResponseBytes: maxAdminResponseBytes,
	}
	_, err := call.do(ctx, c.admin)
	return err
}
