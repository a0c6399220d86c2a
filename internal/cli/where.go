package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/server/gatewayhttp"
)

// WhereCommand is the command "where". It asks an instance on the users' platform where a request would go now.
type WhereCommand struct {
	Instance     string        `arg:"--instance,required" help:"control address of the instance as HOST:PORT (ListenAddresses.Control)"`
	Host         string        `arg:"--host,required" help:"host that the request names"`
	Path         string        `arg:"--path,required" help:"path of the request"`
	Key          string        `arg:"--key,env:CICADAWALL_CALLER_KEY" help:"API key of the caller; prefer the environment variable, other users can read command lines"`
	Model        string        `arg:"--model" help:"model that the request names; without it the instance chooses"`
	Prompt       string        `arg:"--prompt" placeholder:"ID:TOKENS,..." help:"parts of the prompt with their lengths"`
	OutputTokens int           `arg:"--output-tokens" help:"maximum number of tokens of the answer"`
	Timeout      time.Duration `arg:"--timeout" help:"how long the caller waits for the answer, for example 20s; without it the time of the route"`
	RequestID    string        `arg:"--request-id" help:"identifier of the request, which decides on the version during a roll-out if there is no prompt"`
	JSON         bool          `arg:"--json" help:"print the result as JSON"`
}

// Example returns the example for the help text.
func (*WhereCommand) Example() string {
	return "cicadawall where --instance 10.0.0.4:9000 --host desk.example --path /chat/x --prompt manual:800,question:40"
}

func (c *WhereCommand) run(ctx context.Context, p printer) int {
	query, err := c.query()
	if err != nil {
		fmt.Fprintln(p.errOut, "error:", err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	explanation, err := gatewayhttp.NewClient().Explain(ctx, c.Instance, query)
	if err != nil {
		fmt.Fprintln(p.errOut, "error:", err)
		return exitCodeOfExplainError(err)
	}
	if c.JSON {
		p.printJSON(explanation)
	} else {
		p.printExplanation(explanation)
	}
	if refusal := explanation.Refusal; refusal != nil {
		fmt.Fprintf(p.errOut, "error: the request would be refused: %s: %s\n", refusal.Code, refusal.Message)
		return ExitInvalid
	}
	return ExitOK
}

// exitCodeOfExplainError tells a query that the instance finds invalid from an instance that cannot be asked.
func exitCodeOfExplainError(err error) int {
	var refused *gatewayhttp.RefusedError
	if errors.As(err, &refused) && (refused.Status == http.StatusBadRequest || refused.Status == http.StatusRequestEntityTooLarge) {
		return ExitUsage
	}
	return ExitUnknown
}

// query checks the flags and returns the query that they describe.
func (c *WhereCommand) query() (api.GatewayExplainQuery, error) {
	var query api.GatewayExplainQuery
	if host, port, err := net.SplitHostPort(c.Instance); err != nil || host == "" || port == "" {
		return query, errors.Errorf("--instance %q is not HOST:PORT", c.Instance)
	}
	switch {
	case !strings.HasPrefix(c.Path, "/"):
		return query, errors.Errorf("--path %q does not begin with a slash", c.Path)
	case c.OutputTokens < 0:
		return query, errors.New("--output-tokens is negative")
	case c.Timeout < 0 || c.Timeout > 0 && c.Timeout < time.Millisecond:
		return query, errors.Errorf("--timeout %s is less than a millisecond", c.Timeout)
	}
	prompt, err := parsePromptFlag(c.Prompt)
	if err != nil {
		return query, err
	}
	return api.GatewayExplainQuery{
		Host: c.Host, Path: c.Path, Key: c.Key, Model: c.Model, Prompt: prompt, OutputTokens: c.OutputTokens,
		RequestID: c.RequestID, TimeoutMillis: c.Timeout.Milliseconds(),
	}, nil
}

// parsePromptFlag parses a comma-separated list of ID:TOKENS.
func parsePromptFlag(text string) ([]api.GatewayPromptPart, error) {
	if text == "" {
		return nil, nil
	}
	var parts []api.GatewayPromptPart
	for entry := range strings.SplitSeq(text, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, err := strconv.Atoi(count)
		if id == "" || err != nil || tokens < 0 {
			return nil, errors.Errorf("--prompt: %q is not ID:TOKENS", entry)
		}
		parts = append(parts, api.GatewayPromptPart{Id: id, Tokens: tokens})
	}
	return parts, nil
}
