package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cicadawall/cicadawall/internal/api"
)

const (
	maxKVBytes    = 16 << 20
	kvContentType = "application/octet-stream"
)

func (s *Server) adminRoutes() {
	s.echo.GET("/admin/load", func(c echo.Context) error { return c.JSON(http.StatusOK, s.loadReport(time.Now())) })
	s.echo.GET("/admin/cache-events", s.cacheEvents)
	s.echo.POST("/admin/commands", s.command)
	s.echo.POST("/admin/cancel", s.cancel)
	s.echo.POST("/admin/kv/export", s.exportKV)
	s.echo.POST("/admin/kv/import", s.importKV)
}

func (s *Server) cacheEvents(c echo.Context) error {
	limit, _ := strconv.Atoi(c.QueryParam("limit"))
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.JSON(http.StatusOK, s.cache.newestEvents(limit, time.Now()))
	}
	return c.JSON(http.StatusOK, s.cache.eventsAfter(after, limit, time.Now()))
}

func (s *Server) command(c echo.Context) error {
	var command api.EngineCommand
	if err := c.Bind(&command); err != nil {
		return err
	}
	if !command.Action.Valid() {
		return c.String(http.StatusBadRequest, "unknown action")
	}
	state, ok := s.state.applyCommand(command, time.Now())
	if !ok {
		return c.String(http.StatusConflict, "old fencing number")
	}
	return c.JSON(http.StatusOK, state)
}

func (s *Server) cancel(c echo.Context) error {
	var request api.CancelRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	if found, ok := s.registry.find(request.Id); ok {
		found.cancel()
	}
	return c.NoContent(http.StatusOK)
}

// kvExport is the stand-in's representation of the KV cache of one completion. Clients treat its encoding as opaque.
type kvExport struct {
	ID     string   `json:"id"`
	Blocks []string `json:"blocks"`
}

// exportKV answers with the completion's id and prompt blocks.
func (s *Server) exportKV(c echo.Context) error {
	var request api.CancelRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	found, ok := s.registry.find(request.Id)
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	body, err := json.Marshal(kvExport{ID: request.Id, Blocks: found.blocks})
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, kvContentType, body)
}

func (s *Server) importKV(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxKVBytes))
	if err != nil {
		return err
	}
	var export kvExport
	if err := json.Unmarshal(body, &export); err != nil {
		return c.String(http.StatusBadRequest, "not an export of this engine")
	}
	s.cache.lookUpAndStore(export.Blocks, s.state.getSettings(), time.Now())
	s.registry.add(export.ID, func() {}, export.Blocks)
	return c.NoContent(http.StatusOK)
}

// standinRoutes adds the routes by which tests and demonstrations control the stand-in.
func (s *Server) standinRoutes() {
	s.echo.GET("/standin/v1/settings", func(c echo.Context) error { return c.JSON(http.StatusOK, s.state.getSettings()) })
	s.echo.PUT("/standin/v1/settings", s.setSettings)
	s.echo.PUT("/standin/v1/versions", s.setVersion)
	s.echo.GET("/standin/v1/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, s.state.getFaults()) })
	s.echo.PUT("/standin/v1/faults", s.setFaults)
	s.echo.GET("/standin/v1/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) })
}

// Counts returns the numbers of completions started, finished, cancelled and refused, and the starts by version.
func (s *Server) Counts() api.EngineStandinCounts { return s.state.getCounts() }

// SetFaults replaces the current faults. The crash fault calls Crash at once.
func (s *Server) SetFaults(faults api.EngineStandinFaults) {
	if faults.Crash {
		s.Crash()
	}
	s.state.setFaults(faults)
}

// SetVersion adds a version, or changes the quality and answer length of a known version.
func (s *Server) SetVersion(version api.EngineStandinVersion) { s.state.setVersion(version) }

// SetDraining makes the engine refuse new completions, or accept them again.
func (s *Server) SetDraining(draining bool) { s.state.setDraining(draining) }

func (s *Server) setSettings(c echo.Context) error {
	var settings api.EngineStandinSettings
	if err := c.Bind(&settings); err != nil {
		return err
	}
	s.state.setSettings(settings)
	return c.NoContent(http.StatusOK)
}

func (s *Server) setVersion(c echo.Context) error {
	var version api.EngineStandinVersion
	if err := c.Bind(&version); err != nil {
		return err
	}
	s.SetVersion(version)
	return c.NoContent(http.StatusOK)
}

func (s *Server) setFaults(c echo.Context) error {
	var faults api.EngineStandinFaults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	s.SetFaults(faults)
	return c.NoContent(http.StatusOK)
}
