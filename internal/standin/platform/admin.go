package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cicadawall/cicadawall/internal/api"
)

// adminRoutes adds the routes by which tests and demonstrations control the stand-in. Faults do not apply to them.
func (s *Server) adminRoutes() {
	s.echo.GET("/standin/v1/faults", s.getFaults)
	s.echo.PUT("/standin/v1/faults", s.setFaults)
	s.echo.GET("/standin/v1/counts", s.counts)
	s.echo.GET("/standin/v1/list", s.showList)
	s.echo.PUT("/standin/v1/list/:id", s.putEntry)
	s.echo.POST("/standin/v1/list/:id/leave", s.leaveEntry)
	s.echo.DELETE("/standin/v1/list/:id", s.removeEntry)
}

// uncancelledContext returns the request's context without its cancellation.
func uncancelledContext(c echo.Context) context.Context {
	return context.WithoutCancel(c.Request().Context())
}

func (s *Server) getFaults(c echo.Context) error { return c.JSON(http.StatusOK, s.faults.get()) }

func (s *Server) setFaults(c echo.Context) error {
	var faults api.PlatformFaults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	s.SetFaults(faults)
	return c.JSON(http.StatusOK, s.faults.get())
}

// SetFaults replaces all current faults.
func (s *Server) SetFaults(faults api.PlatformFaults) {
	s.list.setFrozen(faults.List == api.ListFrozen)
	s.faults.set(faults)
}

func (s *Server) counts(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) }

// Counts returns the numbers of calls that the services executed and of table calls that the rate limits rejected.
func (s *Server) Counts() api.PlatformCounts {
	writes, reads := s.rows.Counts()
	return api.PlatformCounts{
		Writes: writes, Reads: reads, Ratings: s.ratings.count(), Throttled: s.faults.throttledCalls(),
	}
}

func (s *Server) showList(c echo.Context) error {
	return c.JSON(http.StatusOK, api.InstanceList{Entries: s.list.entriesAt(false, time.Now())})
}

func (s *Server) putEntry(c echo.Context) error {
	var entry api.InstanceEntry
	if err := c.Bind(&entry); err != nil {
		return err
	}
	entry.Id = c.Param("id")
	if entry.State == "" {
		entry.State = api.InstanceLive
	}
	s.list.put(entry, time.Now())
	return c.JSON(http.StatusOK, entry)
}

func (s *Server) leaveEntry(c echo.Context) error {
	if !s.list.leave(c.Param("id"), time.Now()) {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusOK)
}

func (s *Server) removeEntry(c echo.Context) error {
	s.list.remove(c.Param("id"), time.Now())
	return c.NoContent(http.StatusOK)
}
