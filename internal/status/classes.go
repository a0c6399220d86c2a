// Package status collects what operators want to know of an instance: targets and what is reached by class, versions and
// their evidence, backend servers, and why a request would run where it would.
package status

import (
	"time"

	"github.com/valyala/histogram"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// p95 is the quantile for which the latency targets hold.
const p95 = 0.95

// per1000 is the number of requests for which costs are stated.
const per1000 = 1000

// Reached is what a class reached at this instance since its start.
type Reached struct {
	Answered, NotRun, Unknown int64
	// FirstToken and BetweenTokens are 95th percentiles; zero without samples.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// CostPer1000 is in cost units per 1,000 answered requests.
	CostPer1000 float64
	// Quality is the mean rating of Ratings delivered answers.
	Quality float64
	Ratings int64
}

type classRow struct {
	outcomes      map[api.Outcome]int64
	cost          float64
	firstToken    *histogram.Fast
	betweenTokens *histogram.Fast
	ratingSum     float64
	ratings       int64
}

// Classes is the table of what each class reached. It is safe for concurrent use.
type Classes struct {
	mu   *lockorder.Mutex
	rows map[string]*classRow
}

// NewClasses returns an empty table.
func NewClasses() *Classes {
	return &Classes{mu: lockorder.New(lockorder.RankTelemetry), rows: map[string]*classRow{}}
}

func (c *Classes) rowLocked(class string) *classRow {
	row, ok := c.rows[class]
	if !ok {
		row = &classRow{outcomes: map[api.Outcome]int64{}, firstToken: histogram.NewFast(), betweenTokens: histogram.NewFast()}
		c.rows[class] = row
	}
	return row
}

// Finished counts a request that ended and, if it was answered, its cost.
func (c *Classes) Finished(class string, outcome api.Outcome, cost float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row := c.rowLocked(class)
	row.outcomes[outcome]++
	row.cost += cost
}

// FirstToken records a time to the first token.
func (c *Classes) FirstToken(class string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rowLocked(class).firstToken.Update(took.Seconds())
}

// BetweenTokens records the mean time between the tokens of one answer.
func (c *Classes) BetweenTokens(class string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rowLocked(class).betweenTokens.Update(took.Seconds())
}

// Rated records the rating of a delivered answer.
func (c *Classes) Rated(class string, score float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row := c.rowLocked(class)
	row.ratingSum += score
	row.ratings++
}

// Reached returns what a class reached.
func (c *Classes) Reached(class string) Reached {
	c.mu.Lock()
	defer c.mu.Unlock()
	row := c.rowLocked(class)
	reached := Reached{
		Answered:      row.outcomes[api.OutcomeAnswered],
		NotRun:        row.outcomes[api.OutcomeNotRun],
		Unknown:       row.outcomes[api.OutcomeUnknown],
		FirstToken:    quantile(row.firstToken),
		BetweenTokens: quantile(row.betweenTokens),
		Ratings:       row.ratings,
	}
	if reached.Answered > 0 {
		reached.CostPer1000 = row.cost / float64(reached.Answered) * per1000
	}
	if row.ratings > 0 {
		reached.Quality = row.ratingSum / float64(row.ratings)
	}
	return reached
}

// quantile returns the 95th percentile, or zero without samples (for which the library returns NaN).
func quantile(h *histogram.Fast) time.Duration {
	seconds := h.Quantile(p95)
	if seconds != seconds {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
