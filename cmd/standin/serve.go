package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/standin/common"
)

const (
	// shutdownTimeout bounds the wait for running requests at the end.
	shutdownTimeout   = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
)

// backend holds the flags of the stand-ins that register in the instance list.
type backend struct {
	Listen   string `arg:"--listen,required" help:"IP:port to listen on, for example 127.0.0.1:9101"`
	Platform string `arg:"--platform" help:"base URL of the platform stand-in in whose instance list to register"`
	ID       string `arg:"--id" help:"id in the instance list; default kind and port"`
	Zone     string `arg:"--zone" default:"zone-a" help:"availability zone"`
	Region   string `arg:"--region" help:"region"`
}

// entry returns the entry of the instance list.
func (b backend) entry(kind api.InstanceEntryKind) (api.InstanceEntry, error) {
	entry, err := common.NewEntry(kind, b.Listen)
	if err != nil {
		return api.InstanceEntry{}, err
	}
	_, port, _ := net.SplitHostPort(b.Listen)
	entry.Id = string(kind) + "-" + port
	if b.ID != "" {
		entry.Id = b.ID
	}
	entry.AvailabilityZone = b.Zone
	entry.Region = b.Region
	return entry, nil
}

// serve listens until the context ends and then waits for running requests.
func serve(ctx context.Context, log *slog.Logger, listen string, handler http.Handler, started func() error, leaving func()) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	log.Info("listening", "address", listener.Addr().String())
	if err := started(); err != nil {
		_ = server.Close()
		return err
	}
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	log.Info("stopping")
	leaving()
	stopContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(stopContext), "shut down")
}

// serveRegistered serves with an entry in the instance list. The entry is leaving while running requests end.
func serveRegistered(ctx context.Context, log *slog.Logger, b backend, entry api.InstanceEntry, handler http.Handler) error {
	if b.Platform == "" {
		return serve(ctx, log, b.Listen, handler, func() error { return nil }, func() {})
	}
	registration := common.Registration{Platform: b.Platform, Entry: entry}
	end := context.WithoutCancel(ctx)
	started := func() error {
		err := registration.Add(ctx)
		if err == nil {
			log.Info("registered", "id", entry.Id, "platform", b.Platform)
		}
		return err
	}
	leaving := func() {
		if err := registration.MarkLeaving(end); err != nil {
			log.Warn("entry not marked as leaving", "error", err.Error())
		}
	}
	err := serve(ctx, log, b.Listen, handler, started, leaving)
	if removeErr := registration.Remove(end); removeErr != nil {
		log.Warn("entry not removed", "error", removeErr.Error())
	}
	return err
}
