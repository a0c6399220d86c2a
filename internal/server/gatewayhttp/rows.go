package gatewayhttp

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/rowfeed"
	"github.com/cicadawall/cicadawall/internal/storepos"
)

// keptAnswerAge is how long an encoded answer is used again. It bounds the error of the store's clock in it.
const keptAnswerAge = 300 * time.Millisecond

// rowsAnswer identifies the content of an answer with rows: the changes of a table between two positions.
type rowsAnswer struct {
	table        string
	after, until storepos.Position
}

// rowsEncoder encodes answers with rows. After a change of a large configuration, all instances that use this relay ask for the same
// rows at once; each of the encodings takes several megabytes, so they are made one after the other, and the last ones are kept.
type rowsEncoder struct {
	mu *lockorder.Mutex
	// last holds the last answer by table.
	last map[string]encodedRows
}

type encodedRows struct {
	answer     rowsAnswer
	compressed []byte
	encodedAt  time.Time
}

func newRowsEncoder() *rowsEncoder {
	return &rowsEncoder{mu: lockorder.New(lockorder.RankPlatformClient), last: map[string]encodedRows{}}
}

// write writes the answer to a query.
func (e *rowsEncoder) write(c echo.Context, query api.GatewayRowsQuery, rows api.GatewayRows) error {
	if len(rows.Rows) == 0 {
		return c.JSON(http.StatusOK, rows)
	}
	compressed, err := e.encode(rowsAnswer{
		query.Table, storepos.At(query.AfterEra, query.AfterVersion), storepos.At(rows.Era, rows.Version),
	}, rows)
	if err != nil {
		return err
	}
	c.Response().Header().Set(echo.HeaderContentEncoding, "gzip")
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, compressed)
}

// encode returns the compressed rows. It holds the lock while it encodes, so that only one encoding takes memory at a time.
func (e *rowsEncoder) encode(answer rowsAnswer, rows api.GatewayRows) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if kept, ok := e.last[answer.table]; ok && kept.answer == answer && now.Sub(kept.encodedAt) <= keptAnswerAge {
		return kept.compressed, nil
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress rows")
	}
	if err := json.NewEncoder(writer).Encode(rows); err != nil {
		return nil, errors.Wrap(err, "encode rows")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress rows")
	}
	e.last[answer.table] = encodedRows{answer: answer, compressed: buffer.Bytes(), encodedAt: now}
	return buffer.Bytes(), nil
}

// rowsStatus returns the status of an answer without rows.
func rowsStatus(err error) int {
	switch {
	case errors.Is(err, rowfeed.ErrHistoryDropped):
		return http.StatusGone
	case errors.Is(err, rowfeed.ErrRelayCutOff):
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
