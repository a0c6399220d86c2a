package cli

import (
	"fmt"
	"regexp"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

func (p printer) printExplanation(e api.GatewayExplanation) {
	table := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "STEP\tSUBJECT\tVERDICT\tREASON")
	for _, row := range explanationRows(e) {
		fmt.Fprintln(table, strings.Join(row[:], "\t"))
	}
	_ = table.Flush()
	if len(e.Candidates) > 0 {
		p.printCandidates(e.Candidates)
	}
	fmt.Fprintln(p.out, "\nbased on "+describeBasis(e.Basis))
}

// explanationRows returns the steps up to the choice of a server, in their order, and the result: step, subject, verdict and reason.
func explanationRows(e api.GatewayExplanation) [][4]string {
	var rows [][4]string
	if e.Route != "" {
		rows = append(rows, [4]string{"route", e.Route, "kept", describeRoute(e)})
	}
	if e.Organisation != "" {
		rows = append(rows, [4]string{"authenticate", e.Organisation, "kept", "owns the API key"})
	}
	if e.Service != "" {
		rows = append(rows,
			[4]string{"queue", e.Service, queueVerdict(e.Queue), fmt.Sprintf("%d requests waiting, %d idle workers", e.Queue.Waiting, e.Queue.IdleWorkers)})
	}
	if e.Model != "" {
		rows = append(rows, [4]string{"model", e.Model, "kept", "model of the first attempt"})
	}
	if len(e.Candidates) > 0 {
		rows = append(rows, [4]string{"version", e.Service, "kept", describeVersions(e.Versions)})
	}
	if e.Trial {
		rows = append(rows, [4]string{"hold", e.Service, "kept", "tries whether the held prompt still crashes backend servers"})
	}
	if e.Fallback != "" {
		rows = append(rows, [4]string{"fallback", e.Service, "kept", "also considers " + e.Fallback})
	}
	if e.Refusal != nil {
		return append(rows, [4]string{e.Refusal.Step, e.Refusal.Code, "refused", describeRefusal(e.Refusal)})
	}
	return append(rows, [4]string{"choose", e.Server, "chosen", "lowest estimated delay of the compared backend servers"})
}

func queueVerdict(queue api.GatewayQueue) string {
	if queue.RequestWaits {
		return "waits"
	}
	return "kept"
}

// describeRoute returns the priority and the deadline. The deadline is not known if the request is refused before a service is chosen.
func describeRoute(e api.GatewayExplanation) string {
	text := fmt.Sprintf("priority %d", e.Priority)
	switch {
	case e.Service == "":
		return text
	case e.DeadlineMillis == 0:
		return text + ", no deadline"
	}
	return text + fmt.Sprintf(", deadline in %s", time.Duration(e.DeadlineMillis)*time.Millisecond)
}

func describeVersions(v api.GatewayVersionPreference) string {
	var parts []string
	if v.Use != "" {
		parts = append(parts, "only "+v.Use)
	}
	if v.Avoid != "" {
		parts = append(parts, "not "+v.Avoid+" while servers of another version accept the request")
	}
	if len(v.Withdrawn) > 0 {
		parts = append(parts, "withdrawn: "+strings.Join(v.Withdrawn, ", "))
	}
	if parts == nil {
		return "any version"
	}
	return strings.Join(parts, "; ")
}

func describeRefusal(refusal *api.GatewayRefusal) string {
	text := refusal.Message + "; outcome " + string(refusal.Outcome)
	if refusal.RetryAfterMillis > 0 {
		text += fmt.Sprintf("; retry after %s", time.Duration(refusal.RetryAfterMillis)*time.Millisecond)
	}
	return text
}

// wordBoundary matches the boundary between two words of a scorer's name, such as ResponseTime.
var wordBoundary = regexp.MustCompile("([a-z])([A-Z])")

// printCandidates prints the backend servers, with a column for each scorer.
func (p printer) printCandidates(candidates []api.GatewayCandidate) {
	var scorers []string
	for _, part := range candidates[0].Parts {
		scorers = append(scorers, strings.ToUpper(wordBoundary.ReplaceAllString(part.Scorer, "$1 $2")))
	}
	table := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	header := append([]string{"\nBACKEND SERVER", "AVAILABILITY ZONE", "VERSION", "VERDICT", "IN FLIGHT", "SCORE"}, scorers...)
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, c := range candidates {
		row := []string{c.Id, c.AvailabilityZone, c.Software, string(c.Verdict), fmt.Sprint(c.InFlight)}
		if c.Reason != "" {
			row[3] += ": " + c.Reason
		}
		if len(c.Parts) > 0 {
			row = append(row, formatMillis(c.ScoreMillis))
		}
		for _, part := range c.Parts {
			row = append(row, formatMillis(part.Millis))
		}
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	_ = table.Flush()
}

func formatMillis(millis float64) string { return fmt.Sprintf("%.1f ms", millis) }

func describeBasis(basis api.GatewayBasis) string {
	text := fmt.Sprintf("configuration version %d, %d known backend servers, ", basis.ConfigurationVersion, basis.Servers)
	if basis.LoadViewAgeMillis == nil {
		text += "no load reported by other instances"
	} else {
		text += fmt.Sprintf("load reported by other instances %d ms ago", *basis.LoadViewAgeMillis)
	}
	if basis.StoreUnavailable {
		text += "; the store does not answer, so the list of backend servers may be old"
	}
	return text
}
