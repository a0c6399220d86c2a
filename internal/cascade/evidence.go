// Package cascade chooses the model chain of a request: the cheapest chain of one or two allowed versions whose lower
// confidence bound of quality meets the class's target and whose predicted latency fits. It is pure.
package cascade

import (
	"github.com/cicadawall/cicadawall/internal/declaration"
)

// Buckets is the number of equal ranges into which the confidence of a first answer falls.
const Buckets = 20

// Key names the answers that share evidence.
type Key struct {
	Class   string
	Version declaration.VersionID
	// After is the first version of the chain if the answer was a second step, otherwise zero. A second step answers only
	// what the first was unsure of, so its ratings say nothing about the version's answers to other requests.
	After declaration.VersionID
}

// Sample is one rated answer. Whether an answer is rated must not depend on its confidence.
type Sample struct {
	Key
	// Score is the rating between 0 and 1.
	Score float64
	// Confidence is the confidence of the chain's first answer between 0 and 1.
	Confidence float64
}

// cell holds the ratings of one bucket.
type cell struct {
	count   float64
	sum     float64
	squares float64
}

type row [Buckets]cell

// Evidence holds ratings by class, version and confidence. It is not safe for concurrent use.
type Evidence struct {
	rows map[Key]*row
}

// NewEvidence returns evidence without ratings.
func NewEvidence() *Evidence { return &Evidence{rows: map[Key]*row{}} }

// Add records one rated answer.
func (e *Evidence) Add(s Sample) {
	score := min(1, max(0, s.Score))
	c := &e.row(s.Key)[bucketOf(s.Confidence)]
	c.count++
	c.sum += score
	c.squares += score * score
}

// Merge adds the ratings of other, which must not share ratings with e.
func (e *Evidence) Merge(other *Evidence) {
	for key, theirs := range other.rows {
		ours := e.row(key)
		for b := range theirs {
			ours[b].count += theirs[b].count
			ours[b].sum += theirs[b].sum
			ours[b].squares += theirs[b].squares
		}
	}
}

// Scale multiplies the weight of all ratings by a factor between 0 and 1, so that old ratings fade.
func (e *Evidence) Scale(factor float64) {
	for _, r := range e.rows {
		for b := range r {
			r[b].count *= factor
			r[b].sum *= factor
			r[b].squares *= factor
		}
	}
}

// Clone returns an independent copy.
func (e *Evidence) Clone() *Evidence {
	out := NewEvidence()
	out.Merge(e)
	return out
}

// Forget drops all evidence about a version, for example when a new build is rolled out under its name.
func (e *Evidence) Forget(version declaration.VersionID) {
	for key := range e.rows {
		if key.Version == version || key.After == version {
			delete(e.rows, key)
		}
	}
}

// Ratings returns the weight of the ratings of a key.
func (e *Evidence) Ratings(key Key) float64 {
	sum := 0.0
	if r, ok := e.rows[key]; ok {
		for b := range r {
			sum += r[b].count
		}
	}
	return sum
}

func (e *Evidence) row(key Key) *row {
	r, ok := e.rows[key]
	if !ok {
		r = &row{}
		e.rows[key] = r
	}
	return r
}

func bucketOf(confidence float64) int {
	return min(Buckets-1, max(0, int(confidence*Buckets)))
}
