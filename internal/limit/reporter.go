package limit

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// Transport sends reports to other instances.
type Transport interface {
	// ReportDemand sends the report to the instance with the incarnation and returns its grants.
	ReportDemand(ctx context.Context, incarnation string, report api.DemandReport) (api.LimitGrants, error)
}

// FleetView is a snapshot of the membership and of the organisations' limits.
type FleetView struct {
	// Members are the incarnations of the registered instances, this one included.
	Members []string
	// LimitedOrganisations are the names of the organisations with limits.
	LimitedOrganisations []string
	LimitsOf             LimitsOf
}

const (
	// maxParallelReports bounds the reports in flight. Reports are sent in parallel so that one unreachable allocator does
	// not delay the reports to the others.
	maxParallelReports = 16
	// avoidPeriod is how long an allocator that did not answer is avoided.
	avoidPeriod = 5 * time.Second
	// allocatorAttempts is the number of allocators that one run tries for each organisation.
	allocatorAttempts = 2
)

// Reporter reports this instance's demand to the allocators. Run must be called once every ReportInterval.
type Reporter struct {
	self      string
	local     *LocalLimits
	allocator *Allocator
	transport Transport
	view      func() FleetView

	mu           *lockorder.Mutex
	avoidedUntil map[string]time.Time
}

// NewReporter returns the reporter of the instance whose incarnation is self. The view function must not block.
func NewReporter(self string, local *LocalLimits, allocator *Allocator, transport Transport, view func() FleetView) *Reporter {
	return &Reporter{
		self:         self,
		local:        local,
		allocator:    allocator,
		transport:    transport,
		view:         view,
		mu:           lockorder.New(lockorder.RankLimits),
		avoidedUntil: map[string]time.Time{},
	}
}

// Run reports on every limited organisation. If an allocator does not answer, it reports to the next allocator in rendezvous
// order. The context must end the run in less than ShareValidity. Run returns an error if no allocator answered for some
// organisation.
func (r *Reporter) Run(ctx context.Context) error {
	view := r.view()
	r.local.SetInstances(len(view.Members))
	unanswered := view.LimitedOrganisations
	var err error
	for range allocatorAttempts {
		batches := Batches(unanswered, view.Members, r.isAvoided)
		unanswered, err = r.sendAll(ctx, batches, view)
		if len(unanswered) == 0 {
			return nil
		}
	}
	return err
}

// sendAll sends the batches in parallel. It returns the organisations whose allocator did not answer and the first error.
func (r *Reporter) sendAll(ctx context.Context, batches []Batch, view FleetView) ([]string, error) {
	errs := make([]error, len(batches))
	semaphore := make(chan struct{}, maxParallelReports)
	var requests sync.WaitGroup
	for i, batch := range batches {
		requests.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			errs[i] = r.send(ctx, batch, view)
		})
	}
	requests.Wait()
	var unanswered []string
	var firstErr error
	for i, err := range errs {
		if err == nil {
			continue
		}
		unanswered = append(unanswered, batches[i].Organisations...)
		if firstErr == nil {
			firstErr = err
		}
	}
	return unanswered, firstErr
}

func (r *Reporter) send(ctx context.Context, batch Batch, view FleetView) error {
	sentAt := time.Now()
	report := r.local.BuildReport(batch.Organisations, view.LimitsOf, sentAt)
	if batch.Allocator == r.self {
		r.local.ApplyGrants(r.allocator.HandleReport(report, view.Members, view.LimitsOf, sentAt), sentAt, sentAt)
		return nil
	}
	grants, err := r.transport.ReportDemand(ctx, batch.Allocator, report)
	if err != nil {
		r.avoid(batch.Allocator, time.Now())
		return errors.Wrapf(err, "report demand to allocator %s", batch.Allocator)
	}
	r.local.ApplyGrants(grants, sentAt, time.Now())
	return nil
}

func (r *Reporter) avoid(member string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidedUntil[member] = now.Add(avoidPeriod)
}

func (r *Reporter) isAvoided(member string) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.avoidedUntil[member]
	if ok && !now.Before(until) {
		delete(r.avoidedUntil, member)
		return false
	}
	return ok
}
