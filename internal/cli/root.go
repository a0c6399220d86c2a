package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

// Version is the version of the release, which "cicadawall version" prints.
const Version = "0.1.0-dev"

// VersionCommand is the command "version".
type VersionCommand struct{}

// arguments is the parsed command line.
type arguments struct {
	Serve    *ServeCommand    `arg:"subcommand:serve" help:"run an entry instance"`
	Platform *PlatformCommand `arg:"subcommand:platform" help:"run an instance on the users' platform"`
	Config   *ConfigCommand   `arg:"subcommand:config" help:"validate, compare, apply and show the shared declaration"`
	Status   *StatusCommand   `arg:"subcommand:status" help:"show targets and what is reached at an instance"`
	Explain  *ExplainCommand  `arg:"subcommand:explain" help:"show why a request ran, or would run, where it does"`
	Where    *WhereCommand    `arg:"subcommand:where" help:"show where an instance on the users' platform would send a request"`
	Version  *VersionCommand  `arg:"subcommand:version" help:"print the release"`
}

// Description implements arg.Described. The text is printed at the top of the help.
func (arguments) Description() string {
	return "cicadawall routes requests to models, versions and plain services by declared classes and targets."
}

// Run executes the command line and returns the exit code of the process.
func Run(args []string, stdout, stderr io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "cicadawall", Out: stderr}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUnknown
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		writeExample(stdout, parser.Subcommand())
		return ExitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	return parsed.run(parser, stdout, stderr)
}

// writeExample writes the example of a command after its help text. go-arg prints an epilogue for the root command only.
func writeExample(out io.Writer, command any) {
	if documented, ok := command.(interface{ Example() string }); ok {
		fmt.Fprintf(out, "\nExample: %s\n", documented.Example())
	}
}

// run executes the selected subcommand; without one it prints the help text.
func (a *arguments) run(parser *arg.Parser, stdout, stderr io.Writer) int {
	switch {
	case a.Serve != nil:
		return a.Serve.run(stdout, stderr)
	case a.Platform != nil:
		return a.Platform.run(stdout, stderr)
	case a.Config != nil:
		return a.Config.Run(context.Background(), stdout, stderr)
	case a.Status != nil:
		return a.Status.run(context.Background(), printer{out: stdout, errOut: stderr})
	case a.Explain != nil:
		return a.Explain.run(context.Background(), printer{out: stdout, errOut: stderr})
	case a.Where != nil:
		return a.Where.run(context.Background(), printer{out: stdout, errOut: stderr})
	case a.Version != nil:
		fmt.Fprintln(stdout, "cicadawall", Version)
		return ExitOK
	}
	parser.WriteHelp(stderr)
	return ExitUsage
}
