// Package gatewayhttp serves the readiness probe, the metrics and the state that peers pull, for instances that forward
// requests by the platform's routes. It also has the client that pulls the state of peers.
package gatewayhttp

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/httpconn"
	"github.com/cicadawall/cicadawall/internal/rowfeed"
	"github.com/cicadawall/cicadawall/internal/server/httperr"
	"github.com/cicadawall/cicadawall/internal/storepos"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

const (
	statePath         = "/peer/v1/gateway"
	configurationPath = "/peer/v1/gateway/configuration"
	rowsPath          = "/peer/v1/gateway/rows"
	// MetricsPath is the path of the metrics on the peer address.
	MetricsPath = "/metrics"
	// maxStateBytes bounds a query and its answer. The largest answers are a configuration of 1 MB and the state of 1,100
	// backend servers with their loads and counts.
	maxStateBytes = 4 << 20
	// minCompressedBytes is the length from which an answer is compressed: lists of servers and instances, and configurations.
	minCompressedBytes = 4 << 10
)

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = httperr.Handle
	return e
}

// ReadinessHandler returns the handler of the readiness address. The path answers 200 when ready returns true, otherwise 503.
func ReadinessHandler(path string, ready func() bool) http.Handler {
	e := newEcho()
	e.GET(path, func(c echo.Context) error {
		if ready() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	return e
}

// StateSource provides the state that peers pull.
type StateSource interface {
	// State returns the part of this instance's state that the query asks for.
	State(query api.GatewayQuery) api.GatewayState
	// Document returns the encoded configuration in force, or nil if there is none.
	Document() []byte
	// Rows returns rows of a table that this instance follows in the store.
	Rows(ctx context.Context, query api.GatewayRowsQuery) (api.GatewayRows, error)
}

// PeerRoute adds further paths to the handler of the peer address.
type PeerRoute func(e *echo.Echo)

// PeerHandler returns the handler of the peer address: state, configuration, loads, metrics and the further routes.
func PeerHandler(source StateSource, loads LoadSource, metrics *telemetry.Metrics, routes ...PeerRoute) http.Handler {
	e := newEcho()
	encoder := newRowsEncoder()
	compress := middleware.GzipWithConfig(middleware.GzipConfig{Level: gzip.BestSpeed, MinLength: minCompressedBytes})
	e.POST(statePath, func(c echo.Context) error {
		var query api.GatewayQuery
		if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxStateBytes)).Decode(&query); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "the body is not a valid GatewayQuery")
		}
		return c.JSON(http.StatusOK, source.State(query))
	}, compress)
	e.POST(rowsPath, func(c echo.Context) error {
		var query api.GatewayRowsQuery
		if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxStateBytes)).Decode(&query); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "the body is not a valid GatewayRowsQuery")
		}
		rows, err := source.Rows(c.Request().Context(), query)
		if err != nil {
			return c.NoContent(rowsStatus(err))
		}
		return encoder.write(c, query, rows)
	})
	e.POST(loadsPath, loadsHandler(loads, metrics))
	e.GET(configurationPath, func(c echo.Context) error {
		document := source.Document()
		if document == nil {
			return echo.NewHTTPError(http.StatusNotFound, "no configuration is in force")
		}
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, document)
	}, compress)
	e.GET(MetricsPath, func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		metrics.WritePrometheus(c.Response())
		return nil
	})
	for _, add := range routes {
		add(e)
	}
	return e
}

// Client pulls state and configuration from peers. It implements exchange.Transport.
type Client struct{ pool *httpconn.Pool }

// NewClient returns a client with an empty connection pool.
func NewClient() *Client { return &Client{pool: httpconn.NewPool(httpconn.Options{})} }

// Pull implements exchange.Transport.
func (c *Client) Pull(ctx context.Context, address string, query api.GatewayQuery) (api.GatewayState, error) {
	var state api.GatewayState
	status, answer, err := c.post(ctx, address, statePath, query)
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("the peer answered with status %d", status)
	}
	if err != nil {
		return state, errors.Wrapf(err, "pull state of peer %s", address)
	}
	return state, errors.Wrapf(json.Unmarshal(answer, &state), "decode state of peer %s", address)
}

// Configuration implements exchange.Transport.
func (c *Client) Configuration(ctx context.Context, address string) ([]byte, error) {
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAccept-Encoding: gzip\r\n\r\n", configurationPath, address)
	status, document, err := c.send(ctx, httpconn.Request{Address: address, Method: http.MethodGet, Head: []byte(head)})
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("the peer answered with status %d", status)
	}
	return document, errors.Wrapf(err, "fetch configuration of peer %s", address)
}

// Rows implements rowfeed.RelayTransport.
func (c *Client) Rows(ctx context.Context, address, table string, after storepos.Position, wait time.Duration) (rowfeed.Page, error) {
	query := api.GatewayRowsQuery{Table: table, AfterVersion: after.Version(), AfterEra: after.Era(), WaitMillis: wait.Milliseconds()}
	status, body, err := c.post(ctx, address, rowsPath, query)
	if err != nil {
		return rowfeed.Page{}, errors.Wrapf(err, "read rows of peer %s", address)
	}
	switch status {
	case http.StatusOK:
	case http.StatusGone:
		return rowfeed.Page{}, rowfeed.ErrHistoryDropped
	case http.StatusBadGateway:
		return rowfeed.Page{}, rowfeed.ErrRelayCutOff
	default:
		return rowfeed.Page{}, rowfeed.ErrRelayUnavailable
	}
	var rows api.GatewayRows
	if err := json.Unmarshal(body, &rows); err != nil {
		return rowfeed.Page{}, errors.Wrapf(err, "decode rows of peer %s", address)
	}
	return decodeRows(rows, time.Now()), nil
}

// decodeRows converts rows of a peer that arrived now.
func decodeRows(rows api.GatewayRows, now time.Time) rowfeed.Page {
	page := rowfeed.Page{Position: storepos.At(rows.Era, rows.Version), Clock: time.Duration(rows.ClockMillis) * time.Millisecond}
	if rows.SinceReconnectMillis > 0 {
		page.ReconnectedAt = now.Add(-time.Duration(rows.SinceReconnectMillis) * time.Millisecond)
	}
	for _, row := range rows.Rows {
		page.Rows = append(page.Rows, rowfeed.Row{
			Key: row.Key, Position: storepos.At(rows.Era, row.Version), Value: row.Value, Deleted: row.Deleted,
		})
	}
	return page
}

// post sends a value as JSON and returns the status and the body of the answer.
func (c *Client) post(ctx context.Context, address, path string, value any) (int, []byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return 0, nil, errors.Wrap(err, "encode query")
	}
	return c.postBody(ctx, address, path, body)
}

// postBody sends encoded JSON and returns the status and the body of the answer.
func (c *Client) postBody(ctx context.Context, address, path string, body []byte) (int, []byte, error) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAccept-Encoding: gzip\r\nContent-Length: %d\r\n\r\n", path, address, len(body))
	return c.send(ctx, httpconn.Request{Address: address, Method: http.MethodPost, Head: []byte(head), Body: body})
}

// send sends a request and returns the status and the decompressed body of the answer.
func (c *Client) send(ctx context.Context, request httpconn.Request) (int, []byte, error) {
	response, err := c.pool.Do(ctx, request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response, maxStateBytes))
	if err != nil {
		return 0, nil, err
	}
	if response.Header.Get(echo.HeaderContentEncoding) != "gzip" {
		return response.Status, body, nil
	}
	decompressed, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(decompressed, maxStateBytes))
	return response.Status, body, err
}
