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

// knownSenders bounds the incarnations whose last report an owner remembers; 570 restarts a day fill it in a week.
const knownSenders = 4096

// Owner pools the evidence of the classes that this instance owns and decides that a version is bad.
type Owner struct {
	table *Table
	log   *slog.Logger
	// quarantine starts the configuration change that quarantines a version. It must not block.
	quarantine func(id declaration.VersionID, reason string)

	mu    *lockorder.Mutex
	taken *lru.Cache[sender, int64]
	held  map[declaration.VersionID]string
}

type sender struct {
	incarnation string
	class       string
}

// NewOwner returns an owner without evidence.
func NewOwner(table *Table, log *slog.Logger, quarantine func(id declaration.VersionID, reason string)) (*Owner, error) {
	taken, err := lru.New[sender, int64](knownSenders)
	if err != nil {
		return nil, errors.Wrap(err, "known senders")
	}
	return &Owner{
		table:      table,
		log:        log,
		quarantine: quarantine,
		mu:         lockorder.New(lockorder.RankPeers),
		taken:      taken,
		held:       map[declaration.VersionID]string{},
	}, nil
}

// Take pools a report and returns the versions held as bad, and the class's summary if the sender's is old.
func (o *Owner) Take(report api.EvidenceReport) (api.EvidenceAck, error) {
	if o.first(sender{report.Incarnation, report.Class}, report.Sequence) {
		o.pool(report)
	}
	ack := api.EvidenceAck{Held: o.heldVersions(), Suspected: o.table.Suspicions()}
	if report.SummaryAgeMillis < 0 || report.SummaryAgeMillis >= summaryAge.Milliseconds() {
		summary := toWire(report.Class, o.table.Summary(report.Class))
		ack.Summary = &summary
	}
	return ack, nil
}

// first reports whether the report was not taken before. A sender repeats a report whose reply was lost.
func (o *Owner) first(from sender, sequence int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if last, ok := o.taken.Get(from); ok && sequence <= last {
		return false
	}
	o.taken.Add(from, sequence)
	return true
}

func (o *Owner) pool(report api.EvidenceReport) {
	var ratings []cascade.Sample
	var used []rollout.Sample
	for _, sample := range report.Samples {
		version := declaration.VersionID{Model: sample.Model, Version: sample.Version}
		ratings = append(ratings, cascade.Sample{
			Key: cascade.Key{
				Class:   report.Class,
				Version: version,
				After:   declaration.ParseVersionID(sample.After),
			},
			Score:      sample.Score,
			Confidence: sample.Confidence,
		})
		if sample.Delivered {
			used = append(used, rollout.Sample{Class: report.Class, Version: version, Rating: rollout.Rating{Score: sample.Score, QualityFloor: sample.Floor}})
		}
	}
	o.table.AddRatings(ratings)
	for _, verdict := range o.table.Observe(used) {
		o.judge(verdict)
	}
}

func (o *Owner) judge(verdict rollout.Verdict) {
	if verdict.Kind != rollout.Quarantine {
		return
	}
	o.mu.Lock()
	_, known := o.held[verdict.Version]
	o.held[verdict.Version] = verdict.Reason()
	o.mu.Unlock()
	if known {
		return
	}
	o.log.Warn("version is held as bad", "version", verdict.Version.String(), "reason", verdict.Reason())
	o.quarantine(verdict.Version, verdict.Reason())
}

func (o *Owner) heldVersions() []api.HeldVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	held := make([]api.HeldVersion, 0, len(o.held))
	for id, reason := range o.held {
		held = append(held, api.HeldVersion{Model: id.Model, Version: id.Version, Reason: reason})
	}
	return held
}

// Held returns the versions held as bad whose quarantine may still have to be written.
func (o *Owner) Held(_ context.Context) map[declaration.VersionID]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[declaration.VersionID]string, len(o.held))
	for id, reason := range o.held {
		out[id] = reason
	}
	return out
}

// Release forgets a version after an operator set its state anew.
func (o *Owner) Release(id declaration.VersionID) {
	o.mu.Lock()
	delete(o.held, id)
	o.mu.Unlock()
	o.table.Forget(id)
}

// afterText returns model@version, or "" for the zero value.
func afterText(id declaration.VersionID) string {
	if id == (declaration.VersionID{}) {
		return ""
	}
	return id.String()
}

func toWire(class string, summary Summary) api.ClassSummary {
	wire := api.ClassSummary{Class: class, Ratings: []api.RatingSummary{}, Shares: []api.VersionShare{}}
	for _, rating := range summary.Ratings {
		row := api.RatingSummary{
			Model:   rating.Version.Model,
			Version: rating.Version.Version,
			After:   afterText(rating.After),
		}
		for _, bucket := range rating.Buckets {
			row.Buckets = append(row.Buckets, api.RatingBucket{Count: bucket.Count, Sum: bucket.Sum, Squares: bucket.Squares})
		}
		wire.Ratings = append(wire.Ratings, row)
	}
	for _, step := range summary.Steps {
		wire.Shares = append(wire.Shares, api.VersionShare{Model: step.Version.Model, Version: step.Version.Version, Step: step.Step})
	}
	return wire
}

func stepsFromWire(shares []api.VersionShare) []rollout.Step {
	steps := make([]rollout.Step, 0, len(shares))
	for _, share := range shares {
		steps = append(steps, rollout.Step{Version: declaration.VersionID{Model: share.Model, Version: share.Version}, Step: share.Step})
	}
	return steps
}
