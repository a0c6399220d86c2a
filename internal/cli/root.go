// Package cli holds the subcommands of the binary.
package cli

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Version is the release that the binary reports.
const Version = "0.1.0-dev"

// Exit codes that are common to all subcommands; `config` documents its own.
const (
	ExitOK      = 0
	ExitInvalid = 1
	ExitUsage   = 2
	ExitFailed  = 5
)

// VersionCommand prints the release.
type VersionCommand struct{}

// arguments is the command line.
type arguments struct {
	Serve   *ServeCommand   `arg:"subcommand:serve" help:"run an entry instance"`
	Version *VersionCommand `arg:"subcommand:version" help:"print the release"`
}

// Description implements the first line of the help text.
func (arguments) Description() string {
	return "cicadawall routes requests to models, versions and plain services by declared classes and targets."
}

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "cicadawall", Out: stderr}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	return parsed.run(parser, stdout, stderr)
}

func (a *arguments) run(parser *arg.Parser, stdout, stderr io.Writer) int {
	switch {
	case a.Serve != nil:
		return a.Serve.run(stdout, stderr)
	case a.Version != nil:
		fmt.Fprintln(stdout, "cicadawall", Version)
		return ExitOK
	}
	parser.WriteHelp(stderr)
	return ExitUsage
}

// printProblems prints one line per problem as file:line:column: field: message.
func printProblems(out io.Writer, problems []api.Problem) {
	for _, problem := range problems {
		fmt.Fprintf(out, "%s:%d:%d: %s: %s\n", problem.File, problem.Line, problem.Column, problem.Field, problem.Message)
	}
}
