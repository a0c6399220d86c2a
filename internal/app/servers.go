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
	"github.com/cicadawall/cicadawall/internal/callerconn"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/limit"
	"github.com/cicadawall/cicadawall/internal/server/callerhttp"
	"github.com/cicadawall/cicadawall/internal/server/controlhttp"
	"github.com/cicadawall/cicadawall/internal/server/httperr"
	"github.com/cicadawall/cicadawall/internal/server/operatorhttp"
	"github.com/cicadawall/cicadawall/internal/server/peerhttp"
	"github.com/cicadawall/cicadawall/internal/status"
)

// listener is one open port and the HTTP server that serves it.
type listener struct {
	name        string
	netListener net.Listener
	server      *http.Server
}

func (l listener) serve() error { return l.server.Serve(l.netListener) }

// newEcho returns an echo instance whose error responses, also those to unknown routes and panics, contain no stack trace.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = httperr.Handle
	return e
}

// openPorts opens the caller, operator and peer ports.
func (i *Instance) openPorts() error {
	caller := newEcho()
	evictions := callerconn.NewEvictions(i.log, func(name string) { i.metrics.AddToCounter(name, 1) })
	callerhttp.Register(caller, i.router, i.newBodies(evictions))
	connections := i.newCallerConnections(evictions)
	err := i.openPort("caller", i.settings.Listen.Caller, connections.Handler(caller), connections, i.tlsConfigs.caller)
	if err != nil {
		return err
	}
	connections = i.newInternalConnections("operator_", maxOperatorConnections, evictions)
	operator := connections.Handler(i.operatorHandler())
	if err := i.openPort("operator", i.settings.Listen.Operator, operator, connections, i.tlsConfigs.operator); err != nil {
		return err
	}
	connections = i.newInternalConnections("peer_", maxPeerConnections, evictions)
	return i.openPort("peer", i.settings.Listen.Peer, connections.Handler(i.peerHandler()), connections, i.tlsConfigs.peerServer)
}

func (i *Instance) openPort(name, address string, handler http.Handler, connections *callerconn.Table, tlsConfig *tls.Config) error {
	netListener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on the %s port", name)
	}
	netListener = connections.Listener(netListener)
	if tlsConfig != nil {
		netListener = tls.NewListener(netListener, tlsConfig)
	}
	server := &http.Server{
		Handler: handler, ConnContext: connections.ConnContext, ConnState: connections.ConnState,
		ErrorLog: slog.NewLogLogger(i.log.Handler(), slog.LevelInfo),
	}
	i.harden(server)
	i.listeners = append(i.listeners, listener{name: name, netListener: netListener, server: server})
	return nil
}

// healthRoutes adds the health checks of the platform's load balancer and the metrics: /healthz succeeds while the process
// runs, /readyz while the instance accepts requests.
func (i *Instance) healthRoutes(e *echo.Echo) {
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", func(c echo.Context) error {
		if !i.isReady() {
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

// isReady reports whether the load balancer should send requests to this instance. A new instance has no share of the
// organisations' limits until it is granted one or ShareValidity has passed.
func (i *Instance) isReady() bool {
	if !i.ready.Load() || time.Since(i.startedAt) < limit.ShareValidity {
		return false
	}
	_, problem := i.config.SnapshotIfEligible(time.Now())
	return problem == nil
}

func (i *Instance) operatorHandler() http.Handler {
	e := newEcho()
	i.healthRoutes(e)
	group := e.Group("", operatorhttp.Authenticate(i.operatorKeys))
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
		Instance:         i.settings.Instance.Name,
		AvailabilityZone: i.settings.Instance.AvailabilityZone,
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
