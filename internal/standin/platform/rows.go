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

// view returns the table with or without stale reads.
func (s *Server) view(verdict verdict) platform.Table {
	if verdict != verdictStale {
		return s.rows.View(nil)
	}
	return s.rows.View(func(memory.Op, string) memory.Fault { return memory.FaultStale })
}

// gateRow is gate for calls of the table service, whose rate is limited.
func (s *Server) gateRow(c echo.Context, key string, write bool) verdict {
	verdict := s.gate(c, key, write)
	if verdict == verdictServe && s.faults.throttle(write, time.Now()) {
		return verdictRefuse
	}
	return verdict
}

func (s *Server) putRow(c echo.Context) error {
	key := key(c, rowsPath)
	var request api.PutRowRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	verdict := s.gateRow(c, key, true)
	if verdict == verdictRefuse {
		return refused(c)
	}
	cond := platform.Condition{Absent: request.IfAbsent, Version: request.IfVersion}
	// The client may be gone already; a write that was taken runs all the same.
	version, err := s.view(verdict).Put(detached(c), key, request.Value, cond)
	if verdict == verdictLoseReply {
		common.CloseConnection()
	}
	if errors.Is(err, platform.ErrConditionFailed) {
		return c.NoContent(http.StatusConflict)
	}
	if err != nil {
		return refused(c)
	}
	return c.JSON(http.StatusOK, api.PutRowResponse{Version: version})
}

func (s *Server) getRow(c echo.Context) error {
	key := key(c, rowsPath)
	verdict := s.gateRow(c, key, false)
	if verdict == verdictRefuse {
		return refused(c)
	}
	row, err := s.view(verdict).Get(detached(c), key)
	if errors.Is(err, platform.ErrNotFound) {
		return c.NoContent(http.StatusNotFound)
	}
	if err != nil {
		return refused(c)
	}
	return c.JSON(http.StatusOK, row)
}

func (s *Server) rangeRows(c echo.Context) error {
	prefix := c.QueryParam("prefix")
	verdict := s.gateRow(c, prefix, false)
	if verdict == verdictRefuse {
		return refused(c)
	}
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil || limit <= 0 || limit > maxRangeRows {
		limit = maxRangeRows
	}
	rows, err := s.view(verdict).Range(detached(c), prefix, c.QueryParam("after"), limit)
	if err != nil {
		return refused(c)
	}
	if rows == nil {
		rows = []api.Row{}
	}
	return c.JSON(http.StatusOK, api.RangeResponse{Rows: rows})
}
