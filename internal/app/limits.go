package app

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/limit"
	"github.com/cicadawall/cicadawall/internal/table"
	"github.com/cicadawall/cicadawall/internal/worker"
)

// DutyLimitReports names the duty that reports the demand of organisations to the allocators of their limits.
const DutyLimitReports = "limit-reports"

// limitAdapter adapts the limits of organisations to the request path.
type limitAdapter struct {
	local     *limit.LocalLimits
	allocator *limit.Allocator
	reporter  *limit.Reporter
	fleetView func() limit.FleetView
}

// newLimitAdapter builds the limits of one instance. After a restart of all instances, no request of a limited organisation
// is admitted in the first seconds.
func newLimitAdapter(incarnation string, config *table.Config, peers *table.Peers, transport limit.Transport) *limitAdapter {
	l := &limitAdapter{local: limit.NewLocalLimits(incarnation, time.Now()), allocator: limit.NewAllocator()}
	l.fleetView = func() limit.FleetView { return buildFleetView(incarnation, config.Snapshot(), peers) }
	l.reporter = limit.NewReporter(incarnation, l.local, l.allocator, transport, l.fleetView)
	return l
}

// buildFleetView returns the registered instances, always including this one, and the limits that the configuration declares.
func buildFleetView(incarnation string, snapshot *declaration.Snapshot, peers *table.Peers) limit.FleetView {
	view := limit.FleetView{LimitsOf: declaredLimits(snapshot)}
	includesSelf := false
	for _, peer := range peers.RegisteredInstances() {
		view.Members = append(view.Members, peer.Registration.Incarnation)
		includesSelf = includesSelf || peer.Registration.Incarnation == incarnation
	}
	if !includesSelf {
		view.Members = append(view.Members, incarnation)
	}
	if snapshot == nil {
		return view
	}
	for _, organisation := range snapshot.Document.Organisations {
		if !limit.FromDeclaration(organisation.Limits).Unlimited() {
			view.LimitedOrganisations = append(view.LimitedOrganisations, organisation.Name)
		}
	}
	return view
}

// declaredLimits returns a lookup of an organisation's limits in the snapshot. Unknown organisations have none.
func declaredLimits(snapshot *declaration.Snapshot) limit.LimitsOf {
	return func(organisation string) limit.Limits {
		if snapshot == nil {
			return limit.Limits{}
		}
		declared, ok := snapshot.Organisation(organisation)
		if !ok {
			return limit.Limits{}
		}
		return limit.FromDeclaration(declared.Limits)
	}
}

// Admit implements dispatch.Limiter.
func (l *limitAdapter) Admit(organisation string, declared api.OrganisationLimits, tokens int, cost float64, now time.Time) *fault.Error {
	return l.local.Admit(organisation, limit.FromDeclaration(declared), limit.Usage{Tokens: float64(tokens), Cost: cost}, now)
}

// duties returns the periodic duty that reports the demand of organisations.
func (l *limitAdapter) duties() []worker.Duty {
	return []worker.Duty{{
		Name:     DutyLimitReports,
		Interval: func() time.Duration { return limit.ReportInterval(len(l.fleetView().Members)) },
		Timeout:  limit.ShareValidity / 2,
		Run:      l.reporter.Run,
	}}
}
