package gateway

import (
	"fmt"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/congestion"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/retry"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

// maxGaugedServices bounds the services that have gauges of their own.
const maxGaugedServices = 32

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

// DeclareCongestion creates gauges of the congestion of the services of a configuration.
func (m *Metrics) DeclareCongestion(c *Configuration, table *congestion.Table) {
	for i := range c.Services[:min(maxGaugedServices, len(c.Services))] {
		service := c.Services[i].Name
		m.telemetry.RegisterGauge(fmt.Sprintf("cicadawall_service_congestion{service=%q}", service),
			func() float64 { return table.Level(service, time.Now()) })
	}
}

// DeclareBudgets creates gauges of the retry budget for the services of a configuration.
func (m *Metrics) DeclareBudgets(c *Configuration, budget *retry.SharedBudget) {
	for i := range c.Services[:min(maxGaugedServices, len(c.Services))] {
		service := c.Services[i].Name
		usage := func() retry.Usage { return budget.Usage(service, time.Now()) }
		m.telemetry.RegisterGauge(fmt.Sprintf("cicadawall_retry_budget_allowed{service=%q}", service), func() float64 { return usage().Allowed })
		m.telemetry.RegisterGauge(fmt.Sprintf("cicadawall_retry_budget_spent{service=%q}", service),
			func() float64 { return float64(usage().Repeats) })
		m.telemetry.RegisterGauge(fmt.Sprintf("cicadawall_retry_budget_instances{service=%q}", service),
			func() float64 { return float64(usage().Instances) })
	}
}

func (m *Metrics) countBudgetRefusal() {
	m.telemetry.AddToCounter("cicadawall_retry_budget_refusals_total", 1)
}

func (m *Metrics) observeFirstEvent(r *requestJob, latency time.Duration) {
	m.telemetry.RecorderFor(r.organisation, r.route.Name).FirstToken(latency)
}

func (m *Metrics) observeAnswer(r *requestJob, latency time.Duration) {
	m.telemetry.RecorderFor(r.organisation, r.route.Name).ResponseTime(latency)
}
