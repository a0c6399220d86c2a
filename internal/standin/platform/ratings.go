package platform

import (
	"hash/fnv"
	"math/rand/v2"
	"regexp"
	"strconv"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// scoreNoise is the standard deviation of the noise that is added to an answer's quality.
	scoreNoise = 0.05
	// scoreWithoutMarker is the score of an answer that carries no quality marker.
	scoreWithoutMarker = 0.5
	// maxRatings limits the number of scores that are kept; the oldest are dropped.
	maxRatings = 200000
	// maxRatingsPage limits the number of scores in one reply.
	maxRatingsPage = 1000
)

// qualityMarker is written into answers by the engine stand-in.
var qualityMarker = regexp.MustCompile(`\[q=([01]\.\d+)\]`)

// ratingRow is a score that the instance can read from the time readyAt on.
type ratingRow struct {
	instance string
	readyAt  time.Time
	rating   api.Rating
}

// ratingTable holds the scores. A cursor is the position of a score, counted from the first score that was ever submitted.
type ratingTable struct {
	seed uint64

	mu           *lockorder.Mutex
	firstCursor  int
	rows         []ratingRow
	submittedIDs map[string]bool
}

func newRatingTable(seed uint64) *ratingTable {
	return &ratingTable{seed: seed, mu: lockorder.New(lockorder.RankStandin), submittedIDs: map[string]bool{}}
}

// score computes the score of an answer from its quality marker, with noise that depends only on the seed and the request
// id.
func (t *ratingTable) score(request api.RatingRequest) float64 {
	quality := scoreWithoutMarker
	if found := qualityMarker.FindStringSubmatch(request.Answer); found != nil {
		if parsed, err := strconv.ParseFloat(found[1], 64); err == nil {
			quality = parsed
		}
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(request.Id))
	noise := rand.New(rand.NewPCG(t.seed, hash.Sum64())).NormFloat64() * scoreNoise
	return min(1, max(0, quality+noise))
}

// submit scores an answer; results returns the score from the time readyAt on. A repeated id is ignored.
func (t *ratingTable) submit(request api.RatingRequest, readyAt time.Time) {
	rating := api.Rating{
		Id: request.Id, Class: request.Class, Model: request.Model, Version: request.Version,
		Confidence: request.Confidence, Score: t.score(request),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.submittedIDs[request.Id] {
		return
	}
	t.submittedIDs[request.Id] = true
	t.rows = append(t.rows, ratingRow{instance: request.Instance, readyAt: readyAt, rating: rating})
	for len(t.rows) > maxRatings {
		delete(t.submittedIDs, t.rows[0].rating.Id)
		t.rows = t.rows[1:]
		t.firstCursor++
	}
}

// results returns the scores for the instance from the cursor on, and the next cursor. It stops before the first score that
// is not ready yet.
func (t *ratingTable) results(instance, cursor string, now time.Time) api.RatingResults {
	position, _ := strconv.Atoi(cursor)
	t.mu.Lock()
	defer t.mu.Unlock()
	results := api.RatingResults{Ratings: []api.Rating{}}
	index := max(0, position-t.firstCursor)
	for ; index < len(t.rows) && len(results.Ratings) < maxRatingsPage; index++ {
		row := t.rows[index]
		if now.Before(row.readyAt) {
			break
		}
		if row.instance == instance {
			results.Ratings = append(results.Ratings, row.rating)
		}
	}
	results.Next = strconv.Itoa(t.firstCursor + min(index, len(t.rows)))
	return results
}

func (t *ratingTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstCursor + len(t.rows)
}
