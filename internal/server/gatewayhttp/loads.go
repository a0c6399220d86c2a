package gatewayhttp

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/serverload"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

const (
	loadsPath = "/peer/v1/gateway/loads"
	// maxReportBytes bounds a query about loads: a report of 512 servers takes up to 160 KB with identifiers of the longest length.
	maxReportBytes = 256 << 10
	// minCompressedLoads is the length from which an answer about loads may be compressed.
	minCompressedLoads = 1 << 10
	// loadBytesMetric counts the bytes of the bodies of queries and answers about loads.
	loadBytesMetric = "cicadawall_load_bytes_sent_total"
)

// LoadSource answers queries about loads. It is implemented by serverload.Table.
type LoadSource interface {
	Answer(query api.GatewayLoadsQuery) (api.GatewayLoads, error)
	CountMalformed()
}

// gzipWriters holds the writers that compress views; a relay makes some hundred views a second, and a writer takes 800 KB.
var gzipWriters = sync.Pool{New: func() any {
	writer, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	return writer
}}

// loadsHandler returns the handler of queries about loads.
func loadsHandler(source LoadSource, metrics *telemetry.Metrics) echo.HandlerFunc {
	return func(c echo.Context) error {
		var query api.GatewayLoadsQuery
		if err := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxReportBytes)).Decode(&query); err != nil {
			source.CountMalformed()
			return echo.NewHTTPError(http.StatusBadRequest, "the body is not a valid GatewayLoadsQuery")
		}
		loads, err := source.Answer(query)
		switch {
		case errors.Is(err, serverload.ErrNotRelay):
			return c.NoContent(http.StatusServiceUnavailable)
		case err != nil:
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		body, compressed, err := encodeLoads(loads, query.Sums)
		if err != nil {
			return err
		}
		if compressed {
			c.Response().Header().Set(echo.HeaderContentEncoding, "gzip")
		}
		metrics.AddToCounter(loadBytesMetric, len(body))
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, body)
	}
}

// encodeLoads encodes an answer. Sums, which mostly go to another availability zone, and lists of servers, which are sent once, are
// compressed; a relay makes some hundred views a second, which would cost it more time than the bytes within the zone are worth.
func encodeLoads(loads api.GatewayLoads, sums bool) (body []byte, compressed bool, err error) {
	body, err = json.Marshal(loads)
	if err != nil || len(body) < minCompressedLoads || !sums && len(loads.Usage.Servers) == 0 {
		return body, false, errors.Wrap(err, "encode loads")
	}
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	buffer := bytes.NewBuffer(make([]byte, 0, len(body)/2))
	writer.Reset(buffer)
	if _, err := writer.Write(body); err != nil {
		return nil, false, errors.Wrap(err, "compress loads")
	}
	if err := writer.Close(); err != nil {
		return nil, false, errors.Wrap(err, "compress loads")
	}
	return buffer.Bytes(), true, nil
}

// LoadClient sends messages about loads to peers. It implements serverload.Transport.
type LoadClient struct {
	Client  *Client
	Metrics *telemetry.Metrics
}

var _ serverload.Transport = (*LoadClient)(nil)

// Loads implements serverload.Transport.
func (c *LoadClient) Loads(ctx context.Context, address string, query api.GatewayLoadsQuery) (api.GatewayLoads, error) {
	var loads api.GatewayLoads
	body, err := json.Marshal(query)
	if err != nil {
		return loads, errors.Wrap(err, "encode loads")
	}
	c.Metrics.AddToCounter(loadBytesMetric, len(body))
	status, answer, err := c.Client.postBody(ctx, address, loadsPath, body)
	switch {
	case err != nil:
		return loads, errors.Wrapf(err, "exchange loads with peer %s", address)
	case status == http.StatusServiceUnavailable:
		return loads, errors.Wrapf(serverload.ErrNotRelay, "exchange loads with peer %s", address)
	case status != http.StatusOK:
		return loads, errors.Errorf("exchange loads with peer %s: the peer answered with status %d", address, status)
	}
	if err := json.Unmarshal(answer, &loads); err != nil {
		return loads, errors.Wrapf(serverload.ErrMalformed, "decode loads of peer %s: %v", address, err)
	}
	return loads, nil
}
