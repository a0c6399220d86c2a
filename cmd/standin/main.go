// Command standin runs the stand-ins for the platform, a model engine or an order server on loopback, for tests and
// demonstrations. It is not part of a release.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"table service, object store, instance list, ratings and weights"`
	Engine   *engineCommand   `arg:"subcommand:engine" help:"model engine"`
	Order    *orderCommand    `arg:"subcommand:order" help:"order server"`
}

// Description implements arg.Described.
func (arguments) Description() string { return "Stand-ins for the systems around cicadawall." }

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	log := slog.New(slog.NewJSONHandler(os.Stdout, nil))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var err error
	switch {
	case args.Platform != nil:
		err = args.Platform.run(ctx, log)
	case args.Engine != nil:
		err = args.Engine.run(ctx, log)
	case args.Order != nil:
		err = args.Order.run(ctx, log)
	default:
		parser.Fail("a subcommand is required")
	}
	if err != nil {
		log.Error("stand-in failed", "error", err.Error())
		os.Exit(1)
	}
}
