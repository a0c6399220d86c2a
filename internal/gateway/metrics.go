package gateway

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

// Metrics counts requests by class and organisation.
type Metrics struct{ telemetry *telemetry.Metrics }

// NewMetrics returns counters that are written with the instance's other metrics.
func NewMetrics(t *telemetry.Metrics) *Metrics { return &Metrics{telemetry: t} }

// Declare gives the routes and organisations of a configuration series of their own.
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

func (m *Metrics) finished(r *run, outcome api.Outcome, code fault.Code) {
	m.telemetry.Finished(r.organisation, r.route.Name, outcome, code)
	if r.sends > 1 {
		m.telemetry.Count("cicadawall_repeated_attempts_total", r.sends-1)
	}
}

func (m *Metrics) first(r *run, took time.Duration) {
	m.telemetry.For(r.organisation, r.route.Name).FirstToken(took)
}

func (m *Metrics) whole(r *run, took time.Duration) {
	m.telemetry.For(r.organisation, r.route.Name).WholeAnswer(took)
}
