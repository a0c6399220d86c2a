package main

import (
	"context"
	"log/slog"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/standin/engine"
	"github.com/cicadawall/cicadawall/internal/standin/order"
	"github.com/cicadawall/cicadawall/internal/standin/platform"
)

// exitCrash is the exit status after the crash fault.
const exitCrash = 3

type platformCommand struct {
	Listen string `arg:"--listen,required" help:"IP:port to listen on, for example 127.0.0.1:9001"`
	Seed   uint64 `arg:"--seed" default:"1" help:"seed of the noise of scores"`
}

func (p *platformCommand) run(ctx context.Context, log *slog.Logger) error {
	noop := func() error { return nil }
	return serve(ctx, log, p.Listen, platform.New(p.Seed), noop, func() {})
}

type engineCommand struct {
	backendFlags
	Versions      []string `arg:"--version-loaded,separate" help:"model@version=quality[:tokens], for example small@1=0.8:40; repeatable"`
	Batch         int      `arg:"--batch" help:"requests that run at the same time"`
	Queue         int      `arg:"--queue" help:"requests that may wait"`
	TokenMillis   float64  `arg:"--token-millis" help:"time between tokens in milliseconds"`
	PrefillMicros float64  `arg:"--prefill-micros" help:"time for each uncached prompt token in microseconds"`
	CacheBlocks   int      `arg:"--cache-blocks" help:"prompt blocks that the prefix cache holds"`
	LoadLag       int      `arg:"--load-lag-millis" help:"age of load reports in milliseconds"`
	EventLag      int      `arg:"--event-lag-millis" help:"delay of cache events in milliseconds"`
	EventDrop     float64  `arg:"--event-drop" help:"share of cache events that are lost"`
	LoadMillis    int      `arg:"--load-millis" help:"time that loading a version takes in milliseconds"`
	ChecksFence   bool     `arg:"--checks-fence" help:"reject commands with an old fencing number"`
	Seed          int64    `arg:"--seed" default:"1" help:"seed of lost cache events"`
}

func (e *engineCommand) settings() (api.EngineStandinSettings, error) {
	settings := api.EngineStandinSettings{
		Batch: e.Batch, Queue: e.Queue, TokenMillis: e.TokenMillis, PrefillMicros: e.PrefillMicros,
		CacheBlocks: e.CacheBlocks, LoadLagMillis: e.LoadLag, EventLagMillis: e.EventLag, EventDropFraction: e.EventDrop,
		LoadMillis: e.LoadMillis, ChecksFence: e.ChecksFence, Seed: e.Seed,
	}
	for _, text := range e.Versions {
		version, err := parseVersion(text)
		if err != nil {
			return settings, err
		}
		settings.Versions = append(settings.Versions, version)
	}
	return settings, nil
}

// parseVersion parses a version of the form model@version=quality[:tokens]; quality and tokens are optional.
func parseVersion(text string) (api.EngineStandinVersion, error) {
	name, detail, _ := strings.Cut(text, "=")
	model, version, ok := strings.Cut(name, "@")
	if !ok {
		return api.EngineStandinVersion{}, errors.Errorf("version %q does not have the form model@version=quality[:tokens]", text)
	}
	result := api.EngineStandinVersion{Model: model, Version: version, Loaded: true}
	qualityText, tokensText, _ := strings.Cut(detail, ":")
	var err error
	if qualityText != "" {
		if result.Quality, err = strconv.ParseFloat(qualityText, 64); err != nil {
			return result, errors.Wrapf(err, "parse quality of version %q", text)
		}
	}
	if tokensText != "" {
		if result.Tokens, err = strconv.Atoi(tokensText); err != nil {
			return result, errors.Wrapf(err, "parse tokens of version %q", text)
		}
	}
	return result, nil
}

func (e *engineCommand) run(ctx context.Context, log *slog.Logger) error {
	settings, err := e.settings()
	if err != nil {
		return err
	}
	server, err := engine.New(settings)
	if err != nil {
		return err
	}
	defer server.Stop()
	server.Crash = func() {
		log.Error("exiting because the crash fault was set")
		os.Exit(exitCrash)
	}
	entry, err := e.entry(api.KindEngine)
	if err != nil {
		return err
	}
	entry.ChecksFencing = e.ChecksFence
	stopDraining := context.AfterFunc(ctx, func() { server.SetDraining(true) })
	defer stopDraining()
	return serveRegistered(ctx, log, e.backendFlags, entry, server)
}

type orderCommand struct {
	backendFlags
	Service     string `arg:"--service" default:"orders" help:"name of the plain service"`
	ChecksFence bool   `arg:"--checks-fence" help:"reject orders with an old fencing number"`
}

func (o *orderCommand) run(ctx context.Context, log *slog.Logger) error {
	entry, err := o.entry(api.KindService)
	if err != nil {
		return err
	}
	entry.Service = o.Service
	entry.ChecksFencing = o.ChecksFence
	return serveRegistered(ctx, log, o.backendFlags, entry, order.New(o.ChecksFence))
}
