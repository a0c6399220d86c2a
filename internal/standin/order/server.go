// Package order is a stand-in for an order server: it executes orders, counts the executions of each idempotency key,
// answers look-ups and optionally checks fencing tokens. It does not deduplicate, so that a repeated order shows in the
// count.
package order

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/standin/common"
)

const (
	keyHeader   = "Idempotency-Key"
	fenceHeader = "X-Cicadawall-Fence"
	// refusedHeader is set on a response that rejects a stale fencing token.
	refusedHeader = "X-Cicadawall-Fence-Refused"
)

// Server is the stand-in.
type Server struct {
	echo  *echo.Echo
	table *table
}

// New returns an order server that has executed no orders. checksFence makes it reject orders with a stale fencing token.
func New(checksFence bool) *Server {
	s := &Server{echo: common.NewEcho(), table: newTable(checksFence)}
	s.echo.POST("/fence", s.handleFence)
	s.echo.GET("/standin/v1/executions", s.executions)
	s.echo.PUT("/standin/v1/faults", s.setFaults)
	s.echo.GET("/*", s.handleLookup)
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		s.echo.Add(method, "/*", s.handleOrder)
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Executions returns the executed orders by key.
func (s *Server) Executions() api.OrderExecutions { return s.table.executions() }

// SetFaults replaces the current faults.
func (s *Server) SetFaults(faults api.OrderStandinFaults) { s.table.setFaults(faults) }

func (s *Server) applyLatency(c echo.Context) {
	faults, _ := s.table.getFaults()
	common.Sleep(c.Request().Context(), time.Duration(faults.LatencyMillis)*time.Millisecond)
}

func (s *Server) handleOrder(c echo.Context) error {
	verdict := s.table.nextVerdict()
	s.applyLatency(c)
	switch verdict {
	case verdictFail:
		return c.String(http.StatusServiceUnavailable, "not run, on command")
	case verdictCloseBefore:
		common.CloseConnection()
	}
	key := c.Request().Header.Get(keyHeader)
	fence, _ := strconv.ParseInt(c.Request().Header.Get(fenceHeader), 10, 64)
	result, ran := s.table.run(key, fence, func(count int) result { return confirmation(key, count) })
	if !ran {
		c.Response().Header().Set(refusedHeader, "true")
		return c.String(http.StatusConflict, "old fencing number; not run")
	}
	if verdict == verdictLoseReply {
		common.CloseConnection()
	}
	return c.Blob(result.status, result.contentType, result.body)
}

func confirmation(key string, count int) result {
	return result{
		status:      http.StatusOK,
		contentType: "application/json",
		body:        fmt.Appendf(nil, `{"order":%q,"execution":%d}`, key, count),
	}
}

func (s *Server) handleLookup(c echo.Context) error {
	s.applyLatency(c)
	s.table.countLookup()
	return c.JSONBlob(http.StatusOK, fmt.Appendf(nil, `{"item":%q,"stock":12}`, c.Request().URL.Path))
}

func (s *Server) handleFence(c echo.Context) error {
	if _, checksFence := s.table.getFaults(); !checksFence {
		return c.String(http.StatusNotImplemented, "fencing numbers are not checked")
	}
	var request api.FenceRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	response, ok := s.table.raiseFence(request.Key, request.Fence)
	if !ok {
		return c.String(http.StatusConflict, "old fencing number")
	}
	return c.JSON(http.StatusOK, response)
}

func (s *Server) executions(c echo.Context) error { return c.JSON(http.StatusOK, s.Executions()) }

func (s *Server) setFaults(c echo.Context) error {
	var faults api.OrderStandinFaults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	s.SetFaults(faults)
	return c.NoContent(http.StatusOK)
}
