// Package gatewayhttp is the HTTP form of what instances that forward under routes tell each other and the platform:
// readiness, metrics and the state that peers pull.
package gatewayhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/exchange"
	"github.com/cicadawall/cicadawall/internal/httpconn"
	"github.com/cicadawall/cicadawall/internal/server/httperr"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

const (
	statePath = "/peer/v1/gateway"
	// MetricsPath is where the metrics are served on the peers' address.
	MetricsPath = "/metrics"
	// maxStateBytes bounds a peer's state: a manifest of 1 MB in base64 and 1,100 servers.
	maxStateBytes = 4 << 20
)

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = httperr.Handle
	return e
}

// Ready returns the handler of the readiness address.
func Ready(path string, ready func() bool) http.Handler {
	e := newEcho()
	e.GET(path, func(c echo.Context) error {
		if ready() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	return e
}

// Peers returns the handler of the peers' address.
func Peers(state func(exchange.Query) api.GatewayState, metrics *telemetry.Metrics) http.Handler {
	e := newEcho()
	e.GET(statePath, func(c echo.Context) error {
		have, err := strconv.ParseInt(c.QueryParam("have"), 10, 64)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "have is not a version")
		}
		from := api.GatewayInstance{PeerAddress: c.QueryParam("address"), Incarnation: c.QueryParam("incarnation")}
		return c.JSON(http.StatusOK, state(exchange.Query{From: from, Have: have, Full: c.QueryParam("full") != ""}))
	})
	e.GET(MetricsPath, func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		metrics.WritePrometheus(c.Response())
		return nil
	})
	return e
}

// Client pulls the state of peers.
type Client struct{ pool *httpconn.Pool }

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{pool: httpconn.NewPool(httpconn.Options{})} }

// Fetch implements exchange.Fetch.
func (c *Client) Fetch(ctx context.Context, address string, query exchange.Query) (api.GatewayState, error) {
	var state api.GatewayState
	target := fmt.Sprintf("%s?have=%d&address=%s&incarnation=%s", statePath, query.Have,
		url.QueryEscape(query.From.PeerAddress), url.QueryEscape(query.From.Incarnation))
	if query.Full {
		target += "&full=1"
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, address)
	response, err := c.pool.Do(ctx, httpconn.Request{Address: address, Method: http.MethodGet, Head: head.Bytes()})
	if err != nil {
		return state, errors.Wrapf(err, "pull state of peer %s", address)
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response, maxStateBytes))
	if err != nil {
		return state, errors.Wrapf(err, "read state of peer %s", address)
	}
	if response.Status != http.StatusOK {
		return state, errors.Errorf("peer %s answered %d", address, response.Status)
	}
	return state, errors.Wrapf(json.Unmarshal(body, &state), "decode state of peer %s", address)
}
