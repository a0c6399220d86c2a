package app

import (
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/limit"
	"github.com/cicadawall/cicadawall/internal/server/callerhttp"
	"github.com/cicadawall/cicadawall/internal/server/controlhttp"
	"github.com/cicadawall/cicadawall/internal/server/httperr"
	"github.com/cicadawall/cicadawall/internal/server/operatorhttp"
	"github.com/cicadawall/cicadawall/internal/server/peerhttp"
	"github.com/cicadawall/cicadawall/internal/status"
)

// listener is one open port with its server.
type listener struct {
	name   string
	socket net.Listener
	server *http.Server
}

func (l listener) serve() error { return l.server.Serve(l.socket) }

// newEcho returns an echo instance that answers unknown routes and panics without a stack trace.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = httperr.Handle
	return e
}

// openPorts opens the three ports of the instance.
func (i *Instance) openPorts() error {
	caller := newEcho()
	callerhttp.Register(caller, i.router)
	if err := i.open("caller", i.set.Listen.Caller, caller, i.tls.caller); err != nil {
		return err
	}
	if err := i.open("operator", i.set.Listen.Operator, i.operatorHandler(), i.tls.operator); err != nil {
		return err
	}
	return i.open("peer", i.set.Listen.Peer, i.peerHandler(), i.tls.peerServer)
}

func (i *Instance) open(name, address string, handler http.Handler, config *tls.Config) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "open the %s port", name)
	}
	if config != nil {
		socket = tls.NewListener(socket, config)
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(i.log.Handler(), slog.LevelInfo)}
	i.harden(server)
	i.listeners = append(i.listeners, listener{name: name, socket: socket, server: server})
	return nil
}

// healthRoutes adds the checks of the platform's balancer: healthz while the process works, readyz while it takes work.
func (i *Instance) healthRoutes(e *echo.Echo) {
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", func(c echo.Context) error {
		if !i.readyForWork() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		c.Response().WriteHeader(http.StatusOK)
		i.metrics.WritePrometheus(c.Response())
		return nil
	})
}

// readyForWork reports whether the balancer should send requests here. A new instance has no share of the organisations'
// limits until their grants arrive or their validity has passed.
func (i *Instance) readyForWork() bool {
	if !i.ready.Load() || time.Since(i.started) < limit.ShareValidity {
		return false
	}
	_, problem := i.config.SnapshotIfEligible(time.Now())
	return problem == nil
}

func (i *Instance) operatorHandler() http.Handler {
	e := newEcho()
	i.healthRoutes(e)
	group := e.Group("", operatorhttp.Authenticate(i.operators))
	operatorhttp.Handlers{Configuration: i.syncer}.Register(group)
	group.GET("/operator/v1/status", func(c echo.Context) error {
		return c.JSON(http.StatusOK, status.Collect(i.statusSources(), time.Now()))
	})
	group.POST("/operator/v1/explain", i.explain)
	return e
}

func (i *Instance) explain(c echo.Context) error {
	var request api.ExplainRequest
	if err := c.Bind(&request); err != nil {
		return httperr.Write(c, fault.NotRun(fault.StepDecode, fault.CodeInvalidRequest, err.Error()), "")
	}
	steps, problem := i.router.Explain(request)
	if problem != nil {
		return httperr.Write(c, problem, request.RequestID)
	}
	return c.JSON(http.StatusOK, api.ExplainResponse{Steps: steps})
}

func (i *Instance) statusSources() status.Sources {
	return status.Sources{
		Instance:         i.set.Instance.Name,
		AvailabilityZone: i.set.Instance.AvailabilityZone,
		Config:           i.config,
		Servers:          i.servers,
		Versions:         i.versions,
		Classes:          i.classes,
		Draining:         i.draining.Load,
		Chain:            i.router.ClassChain,
	}
}

func (i *Instance) peerHandler() http.Handler {
	e := newEcho()
	peerhttp.Handlers{Members: i.membership, Documents: i.syncer}.Register(e)
	controlhttp.Register(e, i.controlHandlers())
	return e
}
