package platform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
	"github.com/cicadawall/cicadawall/internal/standin/common"
)

// tableFor returns a client of the table, with stale reads if the verdict asks for them.
func (s *Server) tableFor(verdict verdict) platform.Table {
	if verdict != verdictStale {
		return s.rows.View(nil)
	}
	return s.rows.View(func(memory.Op, string) memory.Fault { return memory.FaultStale })
}

// applyRowFaults does the same as applyFaults for calls of the table service, and also applies the rate limits.
func (s *Server) applyRowFaults(c echo.Context, key string, write bool) verdict {
	verdict := s.applyFaults(c, key, write)
	if verdict == verdictServe && s.faults.throttle(write, time.Now()) {
		return verdictRefuse
	}
	return verdict
}

func (s *Server) putRow(c echo.Context) error {
	key := keyFromPath(c, rowsPath)
	var request api.PutRowRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	verdict := s.applyRowFaults(c, key, true)
	if verdict == verdictRefuse {
		return answerUnavailable(c)
	}
	cond := platform.Condition{Absent: request.IfAbsent, Version: request.IfVersion}
	// An accepted write is executed even if the client has closed the connection already.
	version, err := s.tableFor(verdict).Put(uncancelledContext(c), key, request.Value, cond)
	if verdict == verdictLoseReply {
		common.CloseConnection()
	}
	if errors.Is(err, platform.ErrConditionFailed) {
		return c.NoContent(http.StatusConflict)
	}
	if err != nil {
		return answerUnavailable(c)
	}
	return c.JSON(http.StatusOK, api.PutRowResponse{Version: version})
}

func (s *Server) getRow(c echo.Context) error {
	key := keyFromPath(c, rowsPath)
	verdict := s.applyRowFaults(c, key, false)
	if verdict == verdictRefuse {
		return answerUnavailable(c)
	}
	row, err := s.tableFor(verdict).Get(uncancelledContext(c), key)
	if errors.Is(err, platform.ErrNotFound) {
		return c.NoContent(http.StatusNotFound)
	}
	if err != nil {
		return answerUnavailable(c)
	}
	return c.JSON(http.StatusOK, row)
}

func (s *Server) rangeRows(c echo.Context) error {
	prefix := c.QueryParam("prefix")
	verdict := s.applyRowFaults(c, prefix, false)
	if verdict == verdictRefuse {
		return answerUnavailable(c)
	}
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil || limit <= 0 || limit > maxRangeRows {
		limit = maxRangeRows
	}
	rows, err := s.tableFor(verdict).Range(uncancelledContext(c), prefix, c.QueryParam("after"), limit)
	if err != nil {
		return answerUnavailable(c)
	}
	if rows == nil {
		rows = []api.Row{}
	}
	return c.JSON(http.StatusOK, api.RangeResponse{Rows: rows})
}
