// Package cli implements the command line of the cicadawall binary.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
)

// Exit codes of the configuration commands.
const (
	// ExitOK means that the command succeeded: the change is accepted, the file is valid, or the result was printed.
	ExitOK = 0
	// ExitInvalid means that the declaration or the request is invalid; nothing changed.
	ExitInvalid = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitConflict means that another change was committed on the same base revision; nothing changed.
	ExitConflict = 3
	// ExitPending means that the change is committed but not yet in force everywhere.
	ExitPending = 4
	// ExitUnknown means that the operator API or the store was unreachable, or that the outcome is unknown.
	ExitUnknown = 5
)

// ConfigCommand is the command "config".
type ConfigCommand struct {
	Validate *ConfigValidate `arg:"subcommand:validate" help:"check a declaration file; changes nothing"`
	Diff     *ConfigDiff     `arg:"subcommand:diff" help:"show what a declaration file would change"`
	Apply    *ConfigApply    `arg:"subcommand:apply" help:"commit a declaration file and wait until it is in force everywhere"`
	Show     *ConfigShow     `arg:"subcommand:show" help:"print the declaration in force"`
	Status   *ConfigStatus   `arg:"subcommand:status" help:"show the revision in force at every instance"`
}

// OperatorFlags hold the address of the operator API and the key for it.
type OperatorFlags struct {
	OperatorURL string `arg:"--operator-url,env:CICADAWALL_OPERATOR_URL" default:"http://127.0.0.1:8081" help:"base URL of an instance's operator API"`
	OperatorKey string `arg:"--operator-key,env:CICADAWALL_OPERATOR_KEY" help:"operator key; prefer the environment variable, other users can read command lines"`
}

// OutputFlags hold the output format.
type OutputFlags struct {
	JSON bool `arg:"--json" help:"print the result as JSON"`
}

// ConfigValidate is the command "config validate".
type ConfigValidate struct {
	OutputFlags
	File string `arg:"positional,required" help:"declaration file"`
}

// ConfigDiff is the command "config diff".
type ConfigDiff struct {
	OperatorFlags
	OutputFlags
	Against string `arg:"--against" help:"compare with this file instead of the declaration in force"`
	File    string `arg:"positional,required" help:"declaration file"`
}

// ConfigApply is the command "config apply".
type ConfigApply struct {
	OperatorFlags
	OutputFlags
	Base     *int64        `arg:"--base" help:"revision that the file was made from [default: the one in force]"`
	ChangeID string        `arg:"--change-id" help:"id of the change; repeat with the same id and --base after an unknown outcome [default: a new one]"`
	Author   string        `arg:"--author,env:USER" help:"name that a conflicting operator sees"`
	DryRun   bool          `arg:"--dry-run" help:"check the file and the base; change nothing"`
	Wait     time.Duration `arg:"--wait" default:"30s" help:"longest wait for acceptance, at most 2m"`
	File     string        `arg:"positional,required" help:"declaration file"`
}

// ConfigShow is the command "config show".
type ConfigShow struct {
	OperatorFlags
	JSON bool `arg:"--json" help:"print revision, change id, author and document as JSON"`
}

// ConfigStatus is the command "config status".
type ConfigStatus struct {
	OperatorFlags
	JSON bool `arg:"--json" help:"print the result as JSON"`
}

// Run executes the selected subcommand and returns the exit code. Results go to out, errors to errOut.
func (c *ConfigCommand) Run(ctx context.Context, out, errOut io.Writer) int {
	p := printer{out: out, errOut: errOut}
	switch {
	case c.Validate != nil:
		return c.Validate.run(p)
	case c.Diff != nil:
		return c.Diff.run(ctx, p)
	case c.Apply != nil:
		return c.Apply.run(ctx, p)
	case c.Show != nil:
		return c.Show.run(ctx, p)
	case c.Status != nil:
		return c.Status.run(ctx, p)
	}
	fmt.Fprintln(errOut, "config needs a subcommand: validate, diff, apply, show or status")
	return ExitUsage
}

// printer writes results and errors of a command.
type printer struct{ out, errOut io.Writer }

func (p printer) printJSON(value any) {
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(p.errOut, "the result cannot be printed:", err)
	}
}

// printError prints an error and returns the exit code for it.
func (p printer) printError(err error) int {
	fmt.Fprintln(p.errOut, "error:", err)
	var refused *refusedError
	if errors.As(err, &refused) {
		return refused.exitCode
	}
	return ExitUnknown
}

// printProblems prints the problems of a declaration or settings file and returns ExitInvalid.
func (p printer) printProblems(problems []api.Problem, asJSON bool) int {
	if asJSON {
		p.printJSON(problems)
		return ExitInvalid
	}
	for _, problem := range problems {
		fmt.Fprintf(p.errOut, "%s:%d:%d: %s: %s\n", problem.File, problem.Line, problem.Column, problem.Field, problem.Message)
	}
	return ExitInvalid
}

// loadDeclaration reads and validates a declaration file.
func loadDeclaration(file string) (text []byte, decl *api.Declaration, problems []api.Problem) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, []api.Problem{{File: file, Line: 1, Column: 1, Field: "(document)", Message: "cannot be read: " + err.Error()}}
	}
	decl, problems = declaration.Parse(file, text)
	return text, decl, problems
}
