package quality

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/cascade"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/rendezvous"
	"github.com/cicadawall/cicadawall/internal/worker"
)

const (
	// reportInterval is the time between two rounds of reports.
	reportInterval = time.Second
	// summaryAge is the age after which an instance asks the owner for a new summary of a class.
	summaryAge = 30 * time.Second
	// maxSamples bounds the samples of a class that wait while its owner cannot be reached; older ones are dropped.
	maxSamples = 1000
)

// Transport carries reports to the owners of classes.
type Transport interface {
	HandOverEvidence(ctx context.Context, owner string, report api.EvidenceReport) (api.EvidenceAck, error)
}

// Reporter hands rated samples to the owner of their class and takes over its summary. The owner is chosen by rendezvous
// hash; two owners at a time, while views differ, only delay a verdict.
type Reporter struct {
	self      string
	members   func() []string
	classes   func() []string
	transport Transport
	owner     *Owner
	table     *Table
	hold      func(id declaration.VersionID, reason string)

	mu   *lockorder.Mutex
	rows map[string]*reportRow
	next int64
}

// reportRow holds what one class still has to report.
type reportRow struct {
	samples []api.EvidenceSample
	// unsent is the report whose reply was lost; it is repeated under its sequence.
	unsent    *api.EvidenceReport
	summaryAt time.Time
}

// ReporterOptions are the parts of a Reporter.
type ReporterOptions struct {
	Self string
	// Members returns the incarnations of the registered instances, this one included.
	Members func() []string
	// Classes returns the declared classes.
	Classes   func() []string
	Transport Transport
	Owner     *Owner
	Table     *Table
	// Hold stops new work on a version that an owner holds as bad.
	Hold func(id declaration.VersionID, reason string)
}

// NewReporter returns a reporter without samples.
func NewReporter(o ReporterOptions) *Reporter {
	return &Reporter{
		self: o.Self, members: o.Members, classes: o.Classes, transport: o.Transport, owner: o.Owner, table: o.Table, hold: o.Hold,
		mu:   lockorder.New(lockorder.RankVersions),
		rows: map[string]*reportRow{},
	}
}

// add takes one rated sample.
func (r *Reporter) add(class string, sample api.EvidenceSample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.rowLocked(class)
	if len(row.samples) >= maxSamples {
		row.samples = row.samples[1:]
	}
	row.samples = append(row.samples, sample)
}

func (r *Reporter) rowLocked(class string) *reportRow {
	row, ok := r.rows[class]
	if !ok {
		row = &reportRow{}
		r.rows[class] = row
	}
	return row
}

// Duty returns the periodic duty of the reporter.
func (r *Reporter) Duty() worker.Duty {
	return worker.Duty{Name: DutyReport, Interval: worker.Every(reportInterval), Timeout: dutyTimeout, Run: r.Run}
}

// Run makes one round: a report for each class that has samples or an old summary. It returns the first error.
func (r *Reporter) Run(ctx context.Context) error {
	members := r.members()
	var first error
	for _, class := range r.classes() {
		report, ok := r.prepare(class, time.Now())
		if !ok {
			continue
		}
		if err := r.send(ctx, rendezvous.Owner(class, members), report); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// prepare returns the report that is due for the class.
func (r *Reporter) prepare(class string, now time.Time) (api.EvidenceReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.rowLocked(class)
	age := int64(-1)
	if !row.summaryAt.IsZero() {
		age = now.Sub(row.summaryAt).Milliseconds()
	}
	if row.unsent != nil {
		return *row.unsent, true
	}
	if len(row.samples) == 0 && age >= 0 && age < summaryAge.Milliseconds() {
		return api.EvidenceReport{}, false
	}
	r.next++
	row.unsent = &api.EvidenceReport{Incarnation: r.self, Sequence: r.next, Class: class, Samples: row.samples, SummaryAgeMillis: age}
	row.samples = nil
	return *row.unsent, true
}

func (r *Reporter) send(ctx context.Context, owner string, report api.EvidenceReport) error {
	var ack api.EvidenceAck
	var err error
	if owner == r.self {
		ack, err = r.owner.Take(report)
	} else {
		ack, err = r.transport.HandOverEvidence(ctx, owner, report)
	}
	if err != nil {
		return errors.Wrapf(err, "report evidence on class %s", report.Class)
	}
	r.mu.Lock()
	row := r.rowLocked(report.Class)
	row.unsent = nil
	if ack.Summary != nil {
		row.summaryAt = time.Now()
	}
	r.mu.Unlock()
	if ack.Summary != nil && owner != r.self {
		r.table.Replace(report.Class, fromWire(*ack.Summary))
	}
	r.table.Suspect(report.Class, ack.Suspected)
	for _, held := range ack.Held {
		r.hold(declaration.VersionID{Model: held.Model, Version: held.Version}, held.Reason)
	}
	return nil
}

func fromWire(wire api.ClassSummary) Summary {
	var out Summary
	for _, rating := range wire.Ratings {
		summary := cascade.Summary{Key: cascade.Key{
			Class:   wire.Class,
			Version: declaration.VersionID{Model: rating.Model, Version: rating.Version},
			After:   declaration.ParseVersionID(rating.After),
		}}
		for b := range min(len(rating.Buckets), cascade.Buckets) {
			bucket := rating.Buckets[b]
			summary.Buckets[b] = cascade.Bucket{Count: bucket.Count, Sum: bucket.Sum, Squares: bucket.Squares}
		}
		out.Ratings = append(out.Ratings, summary)
	}
	out.Steps = stepsFromWire(wire.Shares)
	return out
}
