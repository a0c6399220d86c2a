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
	// maxSummaryAge is the age from which an instance requests a new summary of a class from the owner.
	maxSummaryAge = 30 * time.Second
	// maxBufferedSamples bounds the samples of a class that are buffered while its owner is unreachable; the oldest are
	// dropped.
	maxBufferedSamples = 1000
)

// Transport sends reports to the owners of classes.
type Transport interface {
	SendEvidence(ctx context.Context, owner string, report api.EvidenceReport) (api.EvidenceAck, error)
}

// Reporter sends rated samples to the owner of their class and applies the summary that the owner returns. The owner is
// chosen by rendezvous hashing. While instances have different views of the membership, a class can have two owners; this
// only delays a verdict.
type Reporter struct {
	incarnation string
	members     func() []string
	classes     func() []string
	transport   Transport
	owner       *Owner
	table       *Table
	holdVersion func(id declaration.VersionID, reason string)

	mu             *lockorder.Mutex
	reportsByClass map[string]*classReports
	// lastSequence is the sequence of the last report that was prepared.
	lastSequence int64
}

// classReports holds the samples and the report of one class that are not yet acknowledged.
type classReports struct {
	samples []api.EvidenceSample
	// unacknowledged is the report that was prepared but not acknowledged. It is sent again with the same sequence, so that the
	// owner can detect a duplicate.
	unacknowledged *api.EvidenceReport
	// summaryReceivedAt is when the owner's last summary arrived; zero if none did.
	summaryReceivedAt time.Time
}

// ReporterOptions are the settings and dependencies of a Reporter.
type ReporterOptions struct {
	Incarnation string
	// Members returns the incarnations of the registered instances, including this one.
	Members func() []string
	// Classes returns the names of the declared classes.
	Classes   func() []string
	Transport Transport
	Owner     *Owner
	Table     *Table
	// HoldVersion stops new requests to a version that an owner holds as bad.
	HoldVersion func(id declaration.VersionID, reason string)
}

// NewReporter returns a reporter without samples.
func NewReporter(o ReporterOptions) *Reporter {
	return &Reporter{
		incarnation: o.Incarnation, members: o.Members, classes: o.Classes, transport: o.Transport, owner: o.Owner, table: o.Table,
		holdVersion:    o.HoldVersion,
		mu:             lockorder.New(lockorder.RankVersions),
		reportsByClass: map[string]*classReports{},
	}
}

// addSample buffers one rated sample.
func (r *Reporter) addSample(class string, sample api.EvidenceSample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := r.reportsLocked(class)
	if len(reports.samples) >= maxBufferedSamples {
		reports.samples = reports.samples[1:]
	}
	reports.samples = append(reports.samples, sample)
}

// reportsLocked returns the reports of a class and creates them if they do not exist. The caller holds the mutex.
func (r *Reporter) reportsLocked(class string) *classReports {
	reports, ok := r.reportsByClass[class]
	if !ok {
		reports = &classReports{}
		r.reportsByClass[class] = reports
	}
	return reports
}

// Duty returns the periodic duty of the reporter.
func (r *Reporter) Duty() worker.Duty {
	return worker.Duty{Name: DutyReport, Interval: worker.Every(reportInterval), Timeout: dutyTimeout, Run: r.Run}
}

// Run sends a report for each class that has samples or an old summary. It returns the first error.
func (r *Reporter) Run(ctx context.Context) error {
	members := r.members()
	var firstErr error
	for _, class := range r.classes() {
		report, ok := r.prepareReport(class, time.Now())
		if !ok {
			continue
		}
		if err := r.sendReport(ctx, rendezvous.Owner(class, members), report); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// prepareReport returns the report that is due for the class, or false if none is.
func (r *Reporter) prepareReport(class string, now time.Time) (api.EvidenceReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := r.reportsLocked(class)
	age := int64(-1)
	if !reports.summaryReceivedAt.IsZero() {
		age = now.Sub(reports.summaryReceivedAt).Milliseconds()
	}
	if reports.unacknowledged != nil {
		return *reports.unacknowledged, true
	}
	if len(reports.samples) == 0 && age >= 0 && age < maxSummaryAge.Milliseconds() {
		return api.EvidenceReport{}, false
	}
	r.lastSequence++
	reports.unacknowledged = &api.EvidenceReport{
		Incarnation: r.incarnation, Sequence: r.lastSequence, Class: class, Samples: reports.samples, SummaryAgeMillis: age,
	}
	reports.samples = nil
	return *reports.unacknowledged, true
}

// sendReport sends a report to the owner and applies its acknowledgement.
func (r *Reporter) sendReport(ctx context.Context, owner string, report api.EvidenceReport) error {
	var ack api.EvidenceAck
	var err error
	if owner == r.incarnation {
		ack, err = r.owner.AcceptReport(report)
	} else {
		ack, err = r.transport.SendEvidence(ctx, owner, report)
	}
	if err != nil {
		return errors.Wrapf(err, "send evidence on class %s to its owner", report.Class)
	}
	r.mu.Lock()
	reports := r.reportsLocked(report.Class)
	reports.unacknowledged = nil
	if ack.Summary != nil {
		reports.summaryReceivedAt = time.Now()
	}
	r.mu.Unlock()
	if ack.Summary != nil && owner != r.incarnation {
		r.table.ApplySummary(report.Class, summaryFromAPI(*ack.Summary))
	}
	r.table.SetSuspected(report.Class, ack.SuspectedVersions)
	for _, held := range ack.HeldVersions {
		r.holdVersion(declaration.VersionID{Model: held.Model, Version: held.Version}, held.Reason)
	}
	return nil
}

// summaryFromAPI converts a received message to a summary. It ignores buckets beyond cascade.Buckets.
func summaryFromAPI(wire api.ClassSummary) Summary {
	var out Summary
	for _, rating := range wire.Ratings {
		summary := cascade.Summary{Key: cascade.Key{
			Class:         wire.Class,
			Version:       declaration.VersionID{Model: rating.Model, Version: rating.Version},
			EscalatedFrom: declaration.ParseVersionID(rating.EscalatedFrom),
		}}
		for b := range min(len(rating.Buckets), cascade.Buckets) {
			bucket := rating.Buckets[b]
			summary.Buckets[b] = cascade.Bucket{Count: bucket.Count, Sum: bucket.Sum, Squares: bucket.SquareSum}
		}
		out.Ratings = append(out.Ratings, summary)
	}
	out.Steps = stepsFromAPI(wire.Shares)
	return out
}
