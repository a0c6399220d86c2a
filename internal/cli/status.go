package cli

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/cicadawall/cicadawall/internal/api"
)

// StatusCommand is the command "status".
type StatusCommand struct {
	OperatorFlags
	JSON bool `arg:"--json" help:"print the result as JSON"`
}

func (c *StatusCommand) run(ctx context.Context, p printer) int {
	var status api.StatusResponse
	if _, err := c.client().call(ctx, http.MethodGet, "/operator/v1/status", nil, &status, 0); err != nil {
		return p.printError(err)
	}
	if c.JSON {
		p.printJSON(status)
		return ExitOK
	}
	p.printStatus(status)
	return ExitOK
}

func (p printer) printStatus(s api.StatusResponse) {
	fmt.Fprintf(p.out, "instance %s in %s, revision %d, %s\n", s.Instance, s.AvailabilityZone, s.Revision, instanceCondition(s))
	table := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nCLASS\tTARGET\tQUALITY\tFIRST TOKEN P95\tBETWEEN TOKENS P95\tCOST/1000\tANSWERED\tNOT RUN\tUNKNOWN\tCHAIN")
	for _, class := range s.Classes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", class.Name, targetVerdict(class),
			formatMeasured(class.ReachedQuality, class.Target.Quality, "%.3f"),
			formatMeasured(class.FirstTokenP95Millis, float64(class.Target.FirstTokenMillis), "%.0f ms"),
			formatMeasured(class.InterTokenP95Millis, float64(class.Target.InterTokenMillis), "%.1f ms"),
			formatMeasured(class.CostPer1000, class.Target.CostPer1000, "%.4g"),
			class.Answered, class.NotRun, class.Unknown, strings.Join(class.Chain, " then "))
	}
	fmt.Fprintln(table, "\nCLASS\tVERSION\tSTATE\tSHARE\tRATINGS\tMEAN RATING\tREASON")
	for _, class := range s.Classes {
		for _, v := range class.Versions {
			fmt.Fprintf(table, "%s\t%s@%s\t%s\t%.0f%%\t%d\t%s\t%s\n", class.Name, v.Model, v.Version, v.State, 100*v.RequestFraction, v.Ratings,
				formatMeasured(v.MeanRating, 0, "%.3f"), v.Reason)
		}
	}
	fmt.Fprintln(table, "\nBACKEND SERVER\tAVAILABILITY ZONE\tSTATE\tIN FLIGHT\tREPORT AGE")
	for _, server := range s.BackendServers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d ms\n", server.Id, server.AvailabilityZone, server.State, server.InFlight, server.ReportAgeMillis)
	}
	_ = table.Flush()
}

// instanceCondition describes whether the instance accepts new work.
func instanceCondition(s api.StatusResponse) string {
	switch {
	case s.Draining:
		return "draining"
	case s.ConfigurationFresh:
		return "configuration fresh"
	}
	return "configuration not fresh: takes no new work"
}

// targetVerdict describes whether the class met its target.
func targetVerdict(class api.ClassStatus) string {
	switch {
	case class.Answered == 0:
		return "no answers"
	case class.TargetMet:
		return "met"
	}
	return "MISSED"
}

// formatMeasured formats a measured value and its target, for example "120 ms of 200 ms". Zero means that there is no value or
// no target.
func formatMeasured(value, target float64, format string) string {
	text := "-"
	if value > 0 {
		text = fmt.Sprintf(format, value)
	}
	if target > 0 {
		text += " of " + fmt.Sprintf(format, target)
	}
	return text
}

// ExplainCommand is the command "explain".
type ExplainCommand struct {
	OperatorFlags
	Request      string `arg:"--request" help:"id of a request that this instance served (X-Request-Id of its reply)"`
	Organisation string `arg:"--organisation" help:"organisation of a hypothetical request"`
	Class        string `arg:"--class" help:"class of a hypothetical request"`
	Model        string `arg:"--model" help:"model that a hypothetical request names"`
	JSON         bool   `arg:"--json" help:"print the result as JSON"`
}

func (c *ExplainCommand) run(ctx context.Context, p printer) int {
	if c.Request == "" && (c.Organisation == "" || c.Class == "") {
		fmt.Fprintln(p.errOut, "error: name a request with --request, or a hypothetical one with --organisation and --class")
		return ExitUsage
	}
	request := api.ExplainRequest{RequestID: c.Request, Organisation: c.Organisation, Class: c.Class, Model: c.Model}
	var response api.ExplainResponse
	if _, err := c.client().call(ctx, http.MethodPost, "/operator/v1/explain", request, &response, 0); err != nil {
		return p.printError(err)
	}
	if c.JSON {
		p.printJSON(response)
		return ExitOK
	}
	table := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "STEP\tSUBJECT\tVERDICT\tREASON")
	for _, step := range response.Steps {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", step.Step, step.Subject, step.Verdict, step.Reason)
	}
	_ = table.Flush()
	return ExitOK
}
