package httpclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
)

const (
	rowsPath    = "/v1/table/rows/"
	rangePath   = "/v1/table/range"
	objectsPath = "/v1/objects/"
)

type tableService struct{ client *Client }

// Put implements platform.Table.
func (t tableService) Put(ctx context.Context, key string, value []byte, cond platform.Condition) (int64, error) {
	message := api.PutRowRequest{Value: value, IfAbsent: cond.Absent, IfVersion: cond.Version}
	body, err := json.Marshal(message)
	if err != nil {
		return 0, errors.Wrap(err, "encode row")
	}
	call := call{operation: "put row", method: http.MethodPut, path: rowsPath + url.PathEscape(key), body: body, jsonBody: true, isWrite: true}
	reply, err := t.client.do(ctx, call)
	if err != nil {
		return 0, err
	}
	switch reply.status {
	case http.StatusOK:
		var result api.PutRowResponse
		err = call.decode(reply, &result)
		return result.Version, err
	case http.StatusConflict:
		return 0, call.wrapError(platform.ErrConditionFailed, "the row exists or has another version")
	}
	return 0, call.statusError(reply.status)
}

// Get implements platform.Table.
func (t tableService) Get(ctx context.Context, key string) (api.Row, error) {
	call := call{operation: "get row", method: http.MethodGet, path: rowsPath + url.PathEscape(key)}
	reply, err := t.client.do(ctx, call)
	if err != nil {
		return api.Row{}, err
	}
	switch reply.status {
	case http.StatusOK:
		var row api.Row
		err = call.decode(reply, &row)
		return row, err
	case http.StatusNotFound:
		return api.Row{}, call.wrapError(platform.ErrNotFound, "no such row")
	}
	return api.Row{}, call.statusError(reply.status)
}

// Range implements platform.Table.
func (t tableService) Range(ctx context.Context, prefix, after string, limit int) ([]api.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	call := call{operation: "read range of rows", method: http.MethodGet, path: rangePath, query: query}
	reply, err := t.client.do(ctx, call)
	if err != nil {
		return nil, err
	}
	if reply.status != http.StatusOK {
		return nil, call.statusError(reply.status)
	}
	var result api.RangeResponse
	if err := call.decode(reply, &result); err != nil {
		return nil, err
	}
	return result.Rows, nil
}

type objectStore struct{ client *Client }

// PutIfAbsent implements platform.Objects.
func (o objectStore) PutIfAbsent(ctx context.Context, key string, value []byte) error {
	call := call{operation: "put object", method: http.MethodPut, path: objectsPath + url.PathEscape(key), body: value, isWrite: true}
	reply, err := o.client.do(ctx, call)
	if err != nil {
		return err
	}
	if reply.status != http.StatusOK {
		return call.statusError(reply.status)
	}
	return nil
}

// Get implements platform.Objects.
func (o objectStore) Get(ctx context.Context, key string) ([]byte, error) {
	call := call{operation: "get object", method: http.MethodGet, path: objectsPath + url.PathEscape(key)}
	reply, err := o.client.do(ctx, call)
	if err != nil {
		return nil, err
	}
	switch reply.status {
	case http.StatusOK:
		return reply.body, nil
	case http.StatusNotFound:
		return nil, call.wrapError(platform.ErrNotFound, "no such object")
	}
	return nil, call.statusError(reply.status)
}
