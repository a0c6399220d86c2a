package limit

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// Transport carries reports to other instances.
type Transport interface {
	// ReportDemand sends the report to the instance with the incarnation and returns its grants.
	ReportDemand(ctx context.Context, incarnation string, report api.DemandReport) (api.LimitGrants, error)
}

// View is what a reporter needs to know of the fleet and the configuration at one moment.
type View struct {
	// Members are the incarnations of the registered instances, this one included.
	Members []string
	// Limited are the organisations with limits.
	Limited []string
	Limits  LimitsOf
}

const (
	// parallelReports bounds the reports in flight, so that one dead allocator does not delay the reports to the others.
	parallelReports = 16
	// avoidFor is the time for which an allocator that did not answer is passed over.
	avoidFor = 5 * time.Second
	// rounds is the number of allocators that are tried for an organisation in one run.
	rounds = 2
)

// Reporter reports this instance's demand to the allocators. Its Run is the work of a duty every Interval.
type Reporter struct {
	self      string
	local     *Local
	allocator *Allocator
	transport Transport
	view      func() View

	mu      *lockorder.Mutex
	avoided map[string]time.Time
}

// NewReporter returns the reporter of the instance with the incarnation self. The view must not block.
func NewReporter(self string, local *Local, allocator *Allocator, transport Transport, view func() View) *Reporter {
	return &Reporter{
		self:      self,
		local:     local,
		allocator: allocator,
		transport: transport,
		view:      view,
		mu:        lockorder.New(lockorder.RankLimits),
		avoided:   map[string]time.Time{},
	}
}

// Run reports on every limited organisation, to the next allocator in order if the first does not answer. The context must
// bound the run to less than Validity. It returns an error if an organisation was left without an answer.
func (r *Reporter) Run(ctx context.Context) error {
	view := r.view()
	r.local.SetInstances(len(view.Members))
	open := view.Limited
	var err error
	for range rounds {
		batches := Batches(open, view.Members, r.avoids)
		open, err = r.sendAll(ctx, batches, view)
		if len(open) == 0 {
			return nil
		}
	}
	return err
}

// sendAll sends the batches and returns the organisations that got no answer, with the first error.
func (r *Reporter) sendAll(ctx context.Context, batches []Batch, view View) ([]string, error) {
	errs := make([]error, len(batches))
	slots := make(chan struct{}, parallelReports)
	var group sync.WaitGroup
	for i, batch := range batches {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs[i] = r.send(ctx, batch, view)
		})
	}
	group.Wait()
	var open []string
	var first error
	for i, err := range errs {
		if err == nil {
			continue
		}
		open = append(open, batches[i].Organisations...)
		if first == nil {
			first = err
		}
	}
	return open, first
}

func (r *Reporter) send(ctx context.Context, batch Batch, view View) error {
	sent := time.Now()
	report := r.local.Report(batch.Organisations, view.Limits, sent)
	if batch.Owner == r.self {
		r.local.Apply(r.allocator.Report(report, view.Members, view.Limits, sent), sent, sent)
		return nil
	}
	grants, err := r.transport.ReportDemand(ctx, batch.Owner, report)
	if err != nil {
		r.avoid(batch.Owner, time.Now())
		return errors.Wrapf(err, "report demand to allocator %s", batch.Owner)
	}
	r.local.Apply(grants, sent, time.Now())
	return nil
}

func (r *Reporter) avoid(member string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoided[member] = now.Add(avoidFor)
}

func (r *Reporter) avoids(member string) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.avoided[member]
	if ok && !now.Before(until) {
		delete(r.avoided, member)
		return false
	}
	return ok
}
