package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cicadawall/cicadawall/internal/app"
	"github.com/cicadawall/cicadawall/internal/settings"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

// gcPercent is the growth of the heap, in percent, that triggers the next garbage collection.
const gcPercent = 400

// ServeCommand is the command "serve". It runs one entry instance.
type ServeCommand struct {
	Settings string `arg:"--settings,required" help:"YAML file with the static settings of this instance" placeholder:"FILE"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

// run serves requests until SIGTERM or SIGINT and then drains the instance.
func (c *ServeCommand) run(stdout, stderr io.Writer) int {
	set, problems := settings.Load(c.Settings)
	if len(problems) > 0 {
		return printer{out: stdout, errOut: stderr}.printProblems(problems, false)
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		fmt.Fprintf(stderr, "--log-level %q is not one of debug, info, warn, error\n", c.LogLevel)
		return ExitUsage
	}
	log := telemetry.NewLogger(stdout, set.Instance.Name, level)
	// The heap of an instance is small compared with its memory budget of 256 MB. At the default of 100, garbage collection
	// takes a quarter of the control budget.
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	instance, err := app.New(set, log)
	if err != nil {
		log.Error("instance did not start", "error", err.Error())
		return ExitUnknown
	}
	if err := instance.Run(ctx); err != nil {
		log.Error("instance stopped with an error", "error", err.Error())
		return ExitUnknown
	}
	return ExitOK
}
