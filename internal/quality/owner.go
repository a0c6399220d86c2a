package quality

import (
	"context"
	"log/slog"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/cascade"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/rollout"
)

// maxKnownSenders bounds the report sequences that an owner remembers, one for each incarnation and class; 570 restarts a
// day fill it in a week.
const maxKnownSenders = 4096

// Owner pools the evidence on the classes that this instance owns and decides when a version must be quarantined.
type Owner struct {
	table *Table
	log   *slog.Logger
	// quarantine starts the configuration change that quarantines a version. It must not block.
	quarantine func(id declaration.VersionID, reason string)

	mu *lockorder.Mutex
	// lastSequences holds the sequence of the last report accepted from each sender.
	lastSequences *lru.Cache[sender, int64]
	// heldReasons holds the versions found bad with the reasons of their quarantine.
	heldReasons map[declaration.VersionID]string
}

// sender identifies a series of reports with increasing sequences.
type sender struct {
	incarnation string
	class       string
}

// NewOwner returns an owner without evidence.
func NewOwner(table *Table, log *slog.Logger, quarantine func(id declaration.VersionID, reason string)) (*Owner, error) {
	lastSequences, err := lru.New[sender, int64](maxKnownSenders)
	if err != nil {
		return nil, errors.Wrap(err, "create the cache of report sequences")
	}
	return &Owner{
		table:         table,
		log:           log,
		quarantine:    quarantine,
		mu:            lockorder.New(lockorder.RankPeers),
		lastSequences: lastSequences,
		heldReasons:   map[declaration.VersionID]string{},
	}, nil
}

// AcceptReport adds the samples of a report to the evidence. The acknowledgement names the versions held as bad and those
// suspected, and has the class's summary if the sender's copy is old.
func (o *Owner) AcceptReport(report api.EvidenceReport) (api.EvidenceAck, error) {
	if o.isNewReport(sender{report.Incarnation, report.Class}, report.Sequence) {
		o.addSamples(report)
	}
	ack := api.EvidenceAck{HeldVersions: o.heldVersionList(), SuspectedVersions: o.table.SuspectedVersions()}
	if report.SummaryAgeMillis < 0 || report.SummaryAgeMillis >= maxSummaryAge.Milliseconds() {
		summary := summaryToAPI(report.Class, o.table.Summary(report.Class))
		ack.Summary = &summary
	}
	return ack, nil
}

// isNewReport reports whether the report has not been accepted before. A sender repeats a report if the reply was lost.
func (o *Owner) isNewReport(from sender, sequence int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if last, ok := o.lastSequences.Get(from); ok && sequence <= last {
		return false
	}
	o.lastSequences.Add(from, sequence)
	return true
}

// addSamples adds the samples of a report to the table and applies the resulting verdicts.
func (o *Owner) addSamples(report api.EvidenceReport) {
	var ratings []cascade.Sample
	var delivered []rollout.Sample
	for _, sample := range report.Samples {
		version := declaration.VersionID{Model: sample.Model, Version: sample.Version}
		ratings = append(ratings, cascade.Sample{
			Key: cascade.Key{
				Class:         report.Class,
				Version:       version,
				EscalatedFrom: declaration.ParseVersionID(sample.EscalatedFrom),
			},
			Score:      sample.Score,
			Confidence: sample.Confidence,
		})
		if sample.Delivered {
			delivered = append(delivered, rollout.Sample{
				Class: report.Class, Version: version,
				Rating: rollout.Rating{Score: sample.Score, QualityFloor: sample.QualityFloor},
			})
		}
	}
	o.table.AddRatings(ratings)
	for _, verdict := range o.table.Observe(delivered) {
		o.applyVerdict(verdict)
	}
}

// applyVerdict starts the quarantine of a version when it is first found bad.
func (o *Owner) applyVerdict(verdict rollout.Verdict) {
	if verdict.Kind != rollout.Quarantine {
		return
	}
	o.mu.Lock()
	_, alreadyHeld := o.heldReasons[verdict.Version]
	o.heldReasons[verdict.Version] = verdict.Reason()
	o.mu.Unlock()
	if alreadyHeld {
		return
	}
	o.log.Warn("version found bad, starting its quarantine", "version", verdict.Version.String(), "reason", verdict.Reason())
	o.quarantine(verdict.Version, verdict.Reason())
}

// heldVersionList returns the versions held as bad as the API encodes them.
func (o *Owner) heldVersionList() []api.HeldVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	held := make([]api.HeldVersion, 0, len(o.heldReasons))
	for id, reason := range o.heldReasons {
		held = append(held, api.HeldVersion{Model: id.Model, Version: id.Version, Reason: reason})
	}
	return held
}

// HeldVersions returns the versions held as bad with the reasons. Their quarantine may not be stored yet.
func (o *Owner) HeldVersions(_ context.Context) map[declaration.VersionID]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[declaration.VersionID]string, len(o.heldReasons))
	for id, reason := range o.heldReasons {
		out[id] = reason
	}
	return out
}

// ReleaseVersion removes the verdict and the evidence about a version after an operator has set its state.
func (o *Owner) ReleaseVersion(id declaration.VersionID) {
	o.mu.Lock()
	delete(o.heldReasons, id)
	o.mu.Unlock()
	o.table.Forget(id)
}

// versionOrEmpty returns model@version, or an empty string for the zero value.
func versionOrEmpty(id declaration.VersionID) string {
	if id == (declaration.VersionID{}) {
		return ""
	}
	return id.String()
}

// summaryToAPI converts a summary to the message that instances exchange.
func summaryToAPI(class string, summary Summary) api.ClassSummary {
	wire := api.ClassSummary{Class: class, Ratings: []api.RatingSummary{}, Shares: []api.VersionShare{}}
	for _, rating := range summary.Ratings {
		entry := api.RatingSummary{
			Model:         rating.Version.Model,
			Version:       rating.Version.Version,
			EscalatedFrom: versionOrEmpty(rating.EscalatedFrom),
		}
		for _, bucket := range rating.Buckets {
			entry.Buckets = append(entry.Buckets, api.RatingBucket{Count: bucket.Count, Sum: bucket.Sum, SquareSum: bucket.Squares})
		}
		wire.Ratings = append(wire.Ratings, entry)
	}
	for _, step := range summary.Steps {
		wire.Shares = append(wire.Shares, api.VersionShare{Model: step.Version.Model, Version: step.Version.Version, Step: step.Step})
	}
	return wire
}

func stepsFromAPI(shares []api.VersionShare) []rollout.Step {
	steps := make([]rollout.Step, 0, len(shares))
	for _, share := range shares {
		steps = append(steps, rollout.Step{Version: declaration.VersionID{Model: share.Model, Version: share.Version}, Step: share.Step})
	}
	return steps
}
