package cli

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/cicadawall/cicadawall/platform"
)

// PlatformCommand is the command "platform". It runs one instance on the users' platform.
type PlatformCommand struct {
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

// Example returns the example for the help text.
func (PlatformCommand) Example() string { return "cicadawall platform --log-level info" }

func (c *PlatformCommand) run(stdout, stderr io.Writer) int {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		fmt.Fprintf(stderr, "--log-level %q is not one of debug, info, warn, error\n", c.LogLevel)
		return ExitUsage
	}
	if err := platform.Run(stdout, level); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return ExitUnknown
	}
	return ExitOK
}
