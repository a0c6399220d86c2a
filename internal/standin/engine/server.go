// Package engine is a stand-in for a model engine: OpenAI-compatible chat completions with continuous batching, a prefix
// cache, priorities, resumption and cancellation, the admin adapter of api/engine.yaml, and fault injection.
package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/standin/common"
	"github.com/cicadawall/cicadawall/internal/worker"
)

// Headers of the engine API.
const (
	loadHeader       = "X-Engine-Load"
	resumeHeader     = "X-Cicadawall-Resume-From"
	completionHeader = "X-Cicadawall-Completion-Id"
	priorityHeader   = "X-Cicadawall-Priority"
)

// Server is the stand-in.
type Server struct {
	// Crash is called when the crash fault is set; it should end the process. The default does nothing.
	Crash func()

	batch    int
	echo     *echo.Echo
	state    *stateTable
	cache    *cacheTable
	queue    *queueTable
	registry *registryTable
	pool     *worker.Pool
}

// New returns an engine and starts its batch. Stop ends it.
func New(settings api.EngineStandinSettings) (*Server, error) {
	settings = withDefaults(settings)
	cache, err := newCacheTable(settings.CacheBlocks, settings.Seed)
	if err != nil {
		return nil, errors.Wrap(err, "create the prefix cache")
	}
	s := &Server{
		Crash:    func() {},
		batch:    settings.Batch,
		echo:     common.NewEcho(),
		state:    newStateTable(settings),
		cache:    cache,
		queue:    newQueueTable(settings.Queue),
		registry: newRegistryTable(),
	}
	s.pool = worker.NewPool(settings.Batch, s.queue)
	s.routes()
	return s, nil
}

// Stop stops the workers of the batch; running completions are interrupted.
func (s *Server) Stop() { s.pool.Stop() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

func (s *Server) routes() {
	s.echo.Use(s.reportLoad)
	s.echo.POST("/v1/chat/completions", s.handleCompletion)
	s.adminRoutes()
	s.standinRoutes()
}

// reportLoad is a middleware that sets the load header just before the response header is written.
func (s *Server) reportLoad(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			report, err := json.Marshal(s.loadReport(time.Now()))
			if err == nil {
				c.Response().Header().Set(loadHeader, string(report))
			}
		})
		return next(c)
	}
}

// refuse answers with an error in the form that OpenAI clients expect, and states that the completion was not run.
func (s *Server) refuse(c echo.Context, status int, code, message string) error {
	s.state.countRefused()
	detail := api.ErrorDetail{Message: message, Type: "server_error", Code: code, Outcome: api.OutcomeNotRun}
	if status == http.StatusNotFound {
		detail.Type = "invalid_request_error"
	}
	return c.JSON(status, api.ErrorBody{Error: detail})
}
