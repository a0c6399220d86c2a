// Package quality holds what an instance knows about versions: ratings, the evidence for widening a roll-out or for a
// version that turned bad, and latencies. Its duties pass answers to the rating service and evidence to the owners.
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

// averageWeight is the weight of a new sample in the moving averages.
const averageWeight = 0.1

// deviations is the number of mean deviations above the mean that predicts the 95th percentile of a latency.
const deviations = 2.5

// latency is a moving mean with its mean deviation.
type latency struct {
	mean, deviation float64
	known           bool
}

func (l *latency) observe(sample time.Duration) {
	value := sample.Seconds()
	if !l.known {
		l.mean, l.deviation, l.known = value, value/2, true
		return
	}
	l.deviation += averageWeight * (math.Abs(value-l.mean) - l.deviation)
	l.mean += averageWeight * (value - l.mean)
}

func (l *latency) high() time.Duration {
	return time.Duration((l.mean + deviations*l.deviation) * float64(time.Second))
}

// Latency predicts the times of one version at the 95th percentile; zero where nothing is known yet.
type Latency struct {
	FirstToken time.Duration
	PerToken   time.Duration
}

type versionRow struct {
	firstToken latency
	perToken   latency
}

// Table holds ratings, evidence and latencies by version. It is safe for concurrent use.
type Table struct {
	mu        *lockorder.RWMutex
	ratings   *cascade.Evidence
	published *cascade.Evidence
	evidence  *rollout.Evidence
	versions  map[declaration.VersionID]*versionRow
	// suspected holds, by class, the versions of which the class's owner wants every answer rated.
	suspected map[string][]declaration.VersionID
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		mu:        lockorder.NewRW(lockorder.RankVersions),
		ratings:   cascade.NewEvidence(),
		published: cascade.NewEvidence(),
		evidence:  rollout.NewEvidence(),
		versions:  map[declaration.VersionID]*versionRow{},
		suspected: map[string][]declaration.VersionID{},
	}
}

// AddRatings records rated answers for the choice of chains.
func (t *Table) AddRatings(samples []cascade.Sample) {
	if len(samples) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, sample := range samples {
		t.ratings.Add(sample)
	}
	t.published = t.ratings.Clone()
}

// Ratings returns an immutable copy of the ratings.
func (t *Table) Ratings() *cascade.Evidence {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.published
}

// Observe adds samples to the tests of their versions and returns the verdict on each version concerned.
func (t *Table) Observe(samples []rollout.Sample) []rollout.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := map[declaration.VersionID]int{}
	var verdicts []rollout.Verdict
	for _, sample := range samples {
		verdict := t.evidence.Observe(sample)
		if i, ok := latest[verdict.Version]; ok {
			verdicts[i] = verdict
			continue
		}
		latest[verdict.Version] = len(verdicts)
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}

// Suspicions returns the versions (model@version) of which every answer should be rated, by the evidence here.
func (t *Table) Suspicions() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspicions := []string{}
	for id := range t.versions {
		if t.evidence.Verdict(id).Kind == rollout.Suspect {
			suspicions = append(suspicions, id.String())
		}
	}
	return suspicions
}

// Suspect records what the owner of a class wants rated.
func (t *Table) Suspect(class string, versions []string) {
	var ids []declaration.VersionID
	for _, text := range versions {
		ids = append(ids, declaration.ParseVersionID(text))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspected[class] = ids
}

// Suspicion returns whether answers of the version are suspected in the class.
func (t *Table) Suspicion(class string, id declaration.VersionID) rollout.VerdictKind {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if slices.Contains(t.suspected[class], id) {
		return rollout.Suspect
	}
	return rollout.Keep
}

// Summary is what the owner of a class tells the other instances.
type Summary struct {
	Ratings []cascade.Summary
	Steps   []rollout.Step
}

// Summary returns the pooled evidence of a class.
func (t *Table) Summary(class string) Summary {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return Summary{Ratings: t.ratings.ClassSummaries(class), Steps: t.evidence.Steps(class)}
}

// Replace takes over the owner's summary of a class.
func (t *Table) Replace(class string, summary Summary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ratings.ReplaceClass(class, summary.Ratings)
	t.published = t.ratings.Clone()
	for _, step := range summary.Steps {
		t.evidence.Advance(class, step)
	}
}

// Share returns the share of a class's requests that a version in roll-out receives.
func (t *Table) Share(class string, id declaration.VersionID) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.evidence.RequestFraction(class, id)
}

// Forget drops all evidence about a version, after an operator set its state.
func (t *Table) Forget(id declaration.VersionID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evidence.Forget(id)
	t.ratings.Forget(id)
	t.published = t.ratings.Clone()
}

func (t *Table) rowLocked(id declaration.VersionID) *versionRow {
	row, ok := t.versions[id]
	if !ok {
		row = &versionRow{}
		t.versions[id] = row
	}
	return row
}

// ObserveFirstToken records a time to the first token.
func (t *Table) ObserveFirstToken(id declaration.VersionID, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rowLocked(id).firstToken.observe(took)
}

// ObserveTokens records the time that an answer took after its first token.
func (t *Table) ObserveTokens(id declaration.VersionID, tokens int, took time.Duration) {
	if tokens < 1 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rowLocked(id).perToken.observe(took / time.Duration(tokens))
}

// Rated returns the number of ratings of a version's answers in a class and their mean.
func (t *Table) Rated(class string, id declaration.VersionID) (count int64, mean float64) {
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

// Latency returns the predicted times of a version.
func (t *Table) Latency(id declaration.VersionID) Latency {
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, ok := t.versions[id]
	if !ok {
		return Latency{}
	}
	return Latency{FirstToken: row.firstToken.high(), PerToken: row.perToken.high()}
}
