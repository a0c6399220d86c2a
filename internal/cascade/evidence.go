// Package cascade chooses the model chain of a request: the cheapest chain of one or two allowed versions whose lower
// confidence bound of quality meets the class's target and whose predicted latency meets the latency targets. Its functions
// perform no I/O and read no clock.
package cascade

import (
	"github.com/cicadawall/cicadawall/internal/declaration"
)

// Buckets is the number of ranges of equal width into which the confidence of a first answer is divided.
const Buckets = 20

// Key identifies a group of answers whose ratings are counted together.
type Key struct {
	Class   string
	Version declaration.VersionID
	// EscalatedFrom is the first version of the chain if the answer came from a second step, otherwise zero. A second step
	// answers only requests on which the first had a low confidence, so its ratings do not apply to the version's answers to
	// other requests.
	EscalatedFrom declaration.VersionID
}

// Sample is one rated answer. Answers must be selected for rating independently of their confidence, or the estimates are
// biased.
type Sample struct {
	Key
	// Score is the rating between 0 and 1.
	Score float64
	// Confidence is the confidence of the chain's first answer between 0 and 1.
	Confidence float64
}

// ratingSums aggregates the ratings of one bucket.
type ratingSums struct {
	count        float64
	sum          float64
	sumOfSquares float64
}

// ratingBuckets holds the ratings of one key by confidence bucket.
type ratingBuckets [Buckets]ratingSums

// Evidence aggregates ratings by class, version and confidence. It is not safe for concurrent use.
type Evidence struct {
	bucketsByKey map[Key]*ratingBuckets
}

// NewEvidence returns evidence without ratings.
func NewEvidence() *Evidence { return &Evidence{bucketsByKey: map[Key]*ratingBuckets{}} }

// Add records one rated answer.
func (e *Evidence) Add(s Sample) {
	score := min(1, max(0, s.Score))
	c := &e.bucketsFor(s.Key)[bucketIndex(s.Confidence)]
	c.count++
	c.sum += score
	c.sumOfSquares += score * score
}

// Merge adds the ratings of other. No rating may be in both, since it would count twice.
func (e *Evidence) Merge(other *Evidence) {
	for key, theirs := range other.bucketsByKey {
		ours := e.bucketsFor(key)
		for b := range theirs {
			ours[b].count += theirs[b].count
			ours[b].sum += theirs[b].sum
			ours[b].sumOfSquares += theirs[b].sumOfSquares
		}
	}
}

// Scale multiplies the weight of all ratings by a factor between 0 and 1, so that older ratings lose influence.
func (e *Evidence) Scale(factor float64) {
	for _, r := range e.bucketsByKey {
		for b := range r {
			r[b].count *= factor
			r[b].sum *= factor
			r[b].sumOfSquares *= factor
		}
	}
}

// Clone returns an independent copy.
func (e *Evidence) Clone() *Evidence {
	out := NewEvidence()
	out.Merge(e)
	return out
}

// Forget removes all ratings of chains with a version, for example when a new build is rolled out under the same name.
func (e *Evidence) Forget(version declaration.VersionID) {
	for key := range e.bucketsByKey {
		if key.Version == version || key.EscalatedFrom == version {
			delete(e.bucketsByKey, key)
		}
	}
}

// RatingWeight returns the total weight of the ratings of a key.
func (e *Evidence) RatingWeight(key Key) float64 {
	sum := 0.0
	if r, ok := e.bucketsByKey[key]; ok {
		for b := range r {
			sum += r[b].count
		}
	}
	return sum
}

// bucketsFor returns the buckets of a key and creates them if they do not exist.
func (e *Evidence) bucketsFor(key Key) *ratingBuckets {
	r, ok := e.bucketsByKey[key]
	if !ok {
		r = &ratingBuckets{}
		e.bucketsByKey[key] = r
	}
	return r
}

func bucketIndex(confidence float64) int {
	return min(Buckets-1, max(0, int(confidence*Buckets)))
}
