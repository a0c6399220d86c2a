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

// DutyLimits names the duty that reports demand to the allocators.
const DutyLimits = "limit-reports"

// limits adapts the organisation limits to the request path.
type limits struct {
	local     *limit.LocalLimits
	allocator *limit.Allocator
	reporter  *limit.Reporter
	view      func() limit.FleetView
}

// newLimits wires the limits of one instance. A restarted fleet admits nothing under a limit for the first seconds.
func newLimits(incarnation string, config *table.Config, peers *table.Peers, transport limit.Transport) *limits {
	l := &limits{local: limit.NewLocalLimits(incarnation, time.Now()), allocator: limit.NewAllocator()}
	l.view = func() limit.FleetView { return limitView(incarnation, config.Snapshot(), peers) }
	l.reporter = limit.NewReporter(incarnation, l.local, l.allocator, transport, l.view)
	return l
}

func limitView(incarnation string, snapshot *declaration.Snapshot, peers *table.Peers) limit.FleetView {
	view := limit.FleetView{LimitsOf: limitsOf(snapshot)}
	self := false
	for _, peer := range peers.RegisteredInstances() {
		view.Members = append(view.Members, peer.Registration.Incarnation)
		self = self || peer.Registration.Incarnation == incarnation
	}
	if !self {
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

func limitsOf(snapshot *declaration.Snapshot) limit.LimitsOf {
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
func (l *limits) Admit(organisation string, declared api.OrganisationLimits, tokens int, cost float64, now time.Time) *fault.Error {
	return l.local.Admit(organisation, limit.FromDeclaration(declared), limit.Usage{Tokens: float64(tokens), Cost: cost}, now)
}

// duties returns the periodic duty that reports demand.
func (l *limits) duties() []worker.Duty {
	return []worker.Duty{{
		Name:     DutyLimits,
		Interval: func() time.Duration { return limit.ReportInterval(len(l.view().Members)) },
		Timeout:  limit.ShareValidity / 2,
		Run:      l.reporter.Run,
	}}
}
