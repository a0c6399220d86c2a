package gateway

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

// Metrics counts requests by class and organisation.
type Metrics struct{ telemetry *telemetry.Metrics }

// NewMetrics returns metrics that are exported with the other metrics of the instance.
func NewMetrics(t *telemetry.Metrics) *Metrics { return &Metrics{telemetry: t} }

// Declare creates separate series for the routes and organisations of a configuration.
func (m *Metrics) Declare(c *Configuration) {
	organisations := make([]string, 0, len(c.Organisations))
	for i := range c.Organisations {
		organisations = append(organisations, c.Organisations[i].Name)
	}
	classes := make([]string, 0, len(c.Routes))
	for i := range c.Routes {
		classes = append(classes, c.Routes[i].Name)
	}
	m.telemetry.DeclareNames(organisations, classes)
}

func (m *Metrics) countFinished(r *requestJob, outcome api.Outcome, code fault.Code) {
	m.telemetry.CountRequest(r.organisation, r.route.Name, outcome, code)
	if r.sentAttempts > 1 {
		m.telemetry.AddToCounter("cicadawall_repeated_attempts_total", r.sentAttempts-1)
	}
}

func (m *Metrics) observeFirstEvent(r *requestJob, latency time.Duration) {
	m.telemetry.RecorderFor(r.organisation, r.route.Name).FirstToken(latency)
}

func (m *Metrics) observeAnswer(r *requestJob, latency time.Duration) {
	m.telemetry.RecorderFor(r.organisation, r.route.Name).ResponseTime(latency)
}
