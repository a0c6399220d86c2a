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
	maxAdminBytes = 1 << 20
	// MaxKVBytes bounds an export of the KV cache of one completion.
	MaxKVBytes = 16 << 20
)

// exchange is one call with a small body in both directions.
type exchange struct {
	step   string
	peer   string
	method string
	path   string
	body   []byte
	limit  int64
}

// do makes one attempt and returns the body of a response with status 200.
func (e exchange) do(ctx context.Context, sender *httpsend.Sender) ([]byte, error) {
	request, err := newRequest(ctx, e.method, e.peer, e.path, e.body)
	if err != nil {
		return nil, &Error{Kind: KindNotSent, Step: e.step, Peer: e.peer, Cause: err}
	}
	response, err := sender.Do(request)
	if err != nil {
		return nil, sendError(e.step, e.peer, err)
	}
	if response.StatusCode != http.StatusOK {
		failed := statusError(e.step, e.peer, response)
		if failed.Status == http.StatusConflict {
			failed.Kind = KindOldFence
		}
		return nil, failed
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response.Body, e.limit)
	if err != nil {
		return nil, bodyError(e.step, e.peer, response, err)
	}
	return body, nil
}

// json sends a message, if there is one, and reads the reply, if it is asked for.
func (e exchange) json(ctx context.Context, sender *httpsend.Sender, message, reply any) error {
	if message != nil {
		body, err := json.Marshal(message)
		if err != nil {
			return &Error{Kind: KindNotSent, Step: e.step, Peer: e.peer, Cause: err}
		}
		e.body = body
	}
	e.limit = maxAdminBytes
	body, err := e.do(ctx, sender)
	if err != nil || reply == nil {
		return err
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return &Error{Kind: KindMalformed, Step: e.step, Peer: e.peer, Status: http.StatusOK, Cause: err}
	}
	return nil
}

// Load asks for the load report.
func (c *Client) Load(ctx context.Context, peer string) (*LoadReport, error) {
	call := exchange{step: "load report", peer: peer, method: http.MethodGet, path: "/admin/load"}
	var load api.EngineLoad
	if err := call.json(ctx, c.admin, nil, &load); err != nil {
		return nil, err
	}
	report := newLoadReport(load, time.Now())
	if report == nil {
		return nil, &Error{Kind: KindMalformed, Step: call.step, Peer: peer, Status: http.StatusOK}
	}
	return report, nil
}

// NewestEvents asks CacheEvents for the newest events.
const NewestEvents int64 = -1

// CacheEvents reads cache events after the sequence number, or the newest ones. They are late and may have gaps. The reply
// ends with the event that brings the number of blocks to limit; 0 means no limit.
func (c *Client) CacheEvents(ctx context.Context, peer string, after int64, limit int) (api.CacheEvents, error) {
	path := "/admin/cache-events?limit=" + strconv.Itoa(limit)
	if after != NewestEvents {
		path += "&after=" + strconv.FormatInt(after, 10)
	}
	call := exchange{step: "cache events", peer: peer, method: http.MethodGet, path: path}
	var events api.CacheEvents
	err := call.json(ctx, c.admin, nil, &events)
	return events, err
}

// Command states the desired state to the engine. An engine that checks fencing numbers refuses an old one with
// KindOldFence.
func (c *Client) Command(ctx context.Context, peer string, command api.EngineCommand) (api.EngineState, error) {
	call := exchange{step: "engine command", peer: peer, method: http.MethodPost, path: "/admin/commands"}
	var state api.EngineState
	err := call.json(ctx, c.admin, command, &state)
	return state, err
}

// Cancel ends a completion; one that does not run is ignored.
func (c *Client) Cancel(ctx context.Context, peer, completionID string) error {
	call := exchange{step: "cancel", peer: peer, method: http.MethodPost, path: "/admin/cancel"}
	return call.json(ctx, c.admin, api.CancelRequest{Id: completionID}, nil)
}

// ExportKV reads the KV cache of a completion as opaque bytes.
func (c *Client) ExportKV(ctx context.Context, peer, completionID string) ([]byte, error) {
	body, err := json.Marshal(api.CancelRequest{Id: completionID})
	if err != nil {
		return nil, &Error{Kind: KindNotSent, Step: "export KV cache", Peer: peer, Cause: err}
	}
	call := exchange{
		step: "export KV cache", peer: peer, method: http.MethodPost, path: "/admin/kv/export", body: body, limit: MaxKVBytes,
	}
	return call.do(ctx, c.admin)
}

// ImportKV gives an exported KV cache to another engine of the same version.
func (c *Client) ImportKV(ctx context.Context, peer string, cache []byte) error {
	call := exchange{
		step: "import KV cache", peer: peer, method: http.MethodPost, path: "/admin/kv/import", body: cache, limit: maxAdminBytes,
	}
	_, err := call.do(ctx, c.admin)
	return err
}
