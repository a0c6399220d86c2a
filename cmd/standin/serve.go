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
	// shutdownTimeout limits the time that running requests get to complete at shutdown.
	shutdownTimeout   = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
)

// backendFlags holds the flags of the stand-ins that register in the instance list.
type backendFlags struct {
	Listen   string `arg:"--listen,required" help:"IP:port to listen on, for example 127.0.0.1:9101"`
	Platform string `arg:"--platform" help:"base URL of the platform stand-in in whose instance list to register"`
	ID       string `arg:"--id" help:"id in the instance list; default kind and port"`
	Zone     string `arg:"--zone" default:"zone-a" help:"availability zone"`
	Region   string `arg:"--region" help:"region"`
}

// entry returns the stand-in's entry for the instance list.
func (b backendFlags) entry(kind api.InstanceEntryKind) (api.InstanceEntry, error) {
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

// serve handles requests until the context ends and then waits for running requests. It calls onListening once the listener
// is open, and onStopping before it waits for running requests.
func serve(ctx context.Context, log *slog.Logger, listen string, handler http.Handler, onListening func() error, onStopping func()) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	log.Info("listening", "address", listener.Addr().String())
	if err := onListening(); err != nil {
		_ = server.Close()
		return err
	}
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	log.Info("stopping")
	onStopping()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(shutdownCtx), "shut down")
}

// serveRegistered calls serve and keeps an entry in the instance list meanwhile. While running requests complete at
// shutdown, the entry is marked as leaving.
func serveRegistered(ctx context.Context, log *slog.Logger, b backendFlags, entry api.InstanceEntry, handler http.Handler) error {
	if b.Platform == "" {
		return serve(ctx, log, b.Listen, handler, func() error { return nil }, func() {})
	}
	registration := common.Registration{Platform: b.Platform, Entry: entry}
	cleanupCtx := context.WithoutCancel(ctx)
	register := func() error {
		err := registration.Add(ctx)
		if err == nil {
			log.Info("registered in the instance list", "id", entry.Id, "platform", b.Platform)
		}
		return err
	}
	markLeaving := func() {
		if err := registration.MarkLeaving(cleanupCtx); err != nil {
			log.Warn("failed to mark the instance list entry as leaving", "error", err.Error())
		}
	}
	err := serve(ctx, log, b.Listen, handler, register, markLeaving)
	if removeErr := registration.Remove(cleanupCtx); removeErr != nil {
		log.Warn("failed to remove the instance list entry", "error", removeErr.Error())
	}
	return err
}
