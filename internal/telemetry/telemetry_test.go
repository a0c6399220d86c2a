package telemetry

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// Guards against a number of series that grows without bound with the declared organisations, classes or codes.
func TestSeriesAreBounded(t *testing.T) {
	m := NewMetrics()
	for round := range 5 {
		doc := &api.Declaration{}
		for i := range 100 {
			doc.Organisations = append(doc.Organisations, api.Organisation{Name: fmt.Sprintf("org-%d-%d", round, i)})
			doc.Classes = append(doc.Classes, api.Class{Name: fmt.Sprintf("class-%d-%d", round, i)})
		}
		m.Declare(declaration.Compile(int64(round+1), doc))
		for i := range 100 {
			org, class := doc.Organisations[i].Name, doc.Classes[i].Name
			m.RecorderFor(org, class).FirstToken(time.Second)
			m.CountRequest(org, class, api.OutcomeNotRun, fault.Code(fmt.Sprintf("code-%d-%d", round, i)))
		}
	}
	var out bytes.Buffer
	m.set.WritePrometheus(&out)
	pairs := strings.Count(out.String(), "cicadawall_first_token_seconds_count{")
	if pairs > (maxOrganisations+1)*(maxClasses+1) {
		t.Errorf("%d pairs of organisation and class", pairs)
	}
	if n := strings.Count(out.String(), "cicadawall_requests_total{"); n > (maxClasses+1)*(maxCodes+1) {
		t.Errorf("%d counters by class, outcome and code", n)
	}
	for _, want := range []string{`organisation="org-0-0",class="class-0-0"`, `organisation="other",class="other"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no series with %s", want)
		}
	}
}

// Guards against log lines without the request's identity.
func TestLogLine(t *testing.T) {
	var out bytes.Buffer
	log := WithRequest(NewLogger(&out, "entry-1", slog.LevelInfo), Request{ID: "r1", Organisation: "o", Class: "c"})
	log.Info("request ended")
	for _, want := range []string{`"instance":"entry-1"`, `"request_id":"r1"`, `"organisation":"o"`, `"class":"c"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("line %s lacks %s", out.String(), want)
		}
	}
}
