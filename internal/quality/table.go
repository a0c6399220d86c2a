// Package quality holds an instance's knowledge about versions: the ratings, the evidence for widening a roll-out or for
// quarantining a version, and the latencies. Its duties pass answers to the rating service and evidence to the owners of
// classes.
package quality

import (
	"math"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/cascade"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/rollout"
)

// movingAverageWeight is the weight of a new sample in the moving averages.
const movingAverageWeight = 0.1

// p95Deviations is the number of mean absolute deviations above the mean at which the 95th percentile of a latency is
// predicted.
const p95Deviations = 2.5

// latencyEstimate is a moving mean with its mean absolute deviation, in seconds.
type latencyEstimate struct {
	mean, deviation float64
	hasSample       bool
}

func (l *latencyEstimate) observe(sample time.Duration) {
	value := sample.Seconds()
	if !l.hasSample {
		l.mean, l.deviation, l.hasSample = value, value/2, true
		return
	}
	l.deviation += movingAverageWeight * (math.Abs(value-l.mean) - l.deviation)
	l.mean += movingAverageWeight * (value - l.mean)
}

// p95 returns the predicted 95th percentile.
func (l *latencyEstimate) p95() time.Duration {
	return time.Duration((l.mean + p95Deviations*l.deviation) * float64(time.Second))
}

// LatencyPrediction holds the predicted 95th percentiles of a version's time to first token and inter-token latency; zero if
// there is no sample yet.
type LatencyPrediction struct {
	TimeToFirstToken  time.Duration
	InterTokenLatency time.Duration
}

// versionLatencies holds the latency estimates of one version.
type versionLatencies struct {
	timeToFirstToken  latencyEstimate
	interTokenLatency latencyEstimate
}

// Table holds ratings, evidence and latencies by version. It is safe for concurrent use.
type Table struct {
	mu      *lockorder.RWMutex
	ratings *cascade.Evidence
	// publishedRatings is a copy of ratings that is replaced, never changed, so that readers may use it without the lock.
	publishedRatings *cascade.Evidence
	rolloutEvidence  *rollout.Evidence
	latencies        map[declaration.VersionID]*versionLatencies
	// suspected holds, by class, the versions whose answers must all be rated according to the class's owner.
	suspected map[string][]declaration.VersionID
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		mu:               lockorder.NewRW(lockorder.RankVersions),
		ratings:          cascade.NewEvidence(),
		publishedRatings: cascade.NewEvidence(),
		rolloutEvidence:  rollout.NewEvidence(),
		latencies:        map[declaration.VersionID]*versionLatencies{},
		suspected:        map[string][]declaration.VersionID{},
	}
}

// AddRatings adds rated answers to the evidence from which chains are chosen.
func (t *Table) AddRatings(samples []cascade.Sample) {
	if len(samples) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, sample := range samples {
		t.ratings.Add(sample)
	}
	t.publishedRatings = t.ratings.Clone()
}

// Ratings returns an immutable copy of the ratings.
func (t *Table) Ratings() *cascade.Evidence {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.publishedRatings
}

// Observe adds samples to the tests of their versions and returns the latest verdict on each of these versions.
func (t *Table) Observe(samples []rollout.Sample) []rollout.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := map[declaration.VersionID]int{}
	var verdicts []rollout.Verdict
	for _, sample := range samples {
		verdict := t.rolloutEvidence.Observe(sample)
		if i, ok := latest[verdict.Version]; ok {
			verdicts[i] = verdict
			continue
		}
		latest[verdict.Version] = len(verdicts)
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}

// SuspectedVersions returns the versions (model@version) whose answers must all be rated according to this instance's
// evidence.
func (t *Table) SuspectedVersions() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspected := []string{}
	for id := range t.latencies {
		if t.rolloutEvidence.Verdict(id).Kind == rollout.Suspect {
			suspected = append(suspected, id.String())
		}
	}
	return suspected
}

// SetSuspected stores the versions that the owner of a class suspects.
func (t *Table) SetSuspected(class string, versions []string) {
	var ids []declaration.VersionID
	for _, text := range versions {
		ids = append(ids, declaration.ParseVersionID(text))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspected[class] = ids
}

// Suspicion returns rollout.Suspect if the owner of the class suspects the version, otherwise rollout.Keep.
func (t *Table) Suspicion(class string, id declaration.VersionID) rollout.VerdictKind {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if slices.Contains(t.suspected[class], id) {
		return rollout.Suspect
	}
	return rollout.Keep
}

// Summary is the pooled evidence of a class that its owner sends to the other instances.
type Summary struct {
	Ratings []cascade.Summary
	Steps   []rollout.Step
}

// Summary returns the summary of a class.
func (t *Table) Summary(class string) Summary {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return Summary{Ratings: t.ratings.ClassSummaries(class), Steps: t.rolloutEvidence.Steps(class)}
}

// ApplySummary replaces the ratings of a class by those of the owner's summary and advances its roll-outs.
func (t *Table) ApplySummary(class string, summary Summary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ratings.ReplaceClass(class, summary.Ratings)
	t.publishedRatings = t.ratings.Clone()
	for _, step := range summary.Steps {
		t.rolloutEvidence.Advance(class, step)
	}
}

// RequestFraction returns the fraction of a class's requests that a version in state rollout receives.
func (t *Table) RequestFraction(class string, id declaration.VersionID) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.rolloutEvidence.RequestFraction(class, id)
}

// Forget removes all evidence about a version. It is called after an operator has set the version's state.
func (t *Table) Forget(id declaration.VersionID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rolloutEvidence.Forget(id)
	t.ratings.Forget(id)
	t.publishedRatings = t.ratings.Clone()
}

// latenciesLocked returns the latencies of a version and creates them if they do not exist. The caller holds the mutex.
func (t *Table) latenciesLocked(id declaration.VersionID) *versionLatencies {
	estimates, ok := t.latencies[id]
	if !ok {
		estimates = &versionLatencies{}
		t.latencies[id] = estimates
	}
	return estimates
}

// ObserveFirstToken records a time to first token.
func (t *Table) ObserveFirstToken(id declaration.VersionID, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latenciesLocked(id).timeToFirstToken.observe(latency)
}

// ObserveTokens records the time that an answer took for its tokens after the first one.
func (t *Table) ObserveTokens(id declaration.VersionID, tokens int, elapsed time.Duration) {
	if tokens < 1 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latenciesLocked(id).interTokenLatency.observe(elapsed / time.Duration(tokens))
}

// RatingStats returns the number of ratings of a version's answers in a class and their mean.
func (t *Table) RatingStats(class string, id declaration.VersionID) (count int64, mean float64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var ratings, sum float64
	for _, summary := range t.ratings.ClassSummaries(class) {
		if summary.Version != id {
			continue
		}
		for _, bucket := range summary.Buckets {
			ratings += bucket.Count
			sum += bucket.Sum
		}
	}
	if ratings == 0 {
		return 0, 0
	}
	return int64(ratings), sum / ratings
}

// Latency returns the predicted latency of a version.
func (t *Table) Latency(id declaration.VersionID) LatencyPrediction {
	t.mu.RLock()
	defer t.mu.RUnlock()
	estimates, ok := t.latencies[id]
	if !ok {
		return LatencyPrediction{}
	}
	return LatencyPrediction{TimeToFirstToken: estimates.timeToFirstToken.p95(), InterTokenLatency: estimates.interTokenLatency.p95()}
}
