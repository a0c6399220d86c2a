// Package status collects the state of an instance for operators: the targets and measured results of each class, the
// versions with their ratings, and the backend servers.
package status

import (
	"time"

	"github.com/valyala/histogram"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// latencyQuantile is the quantile to which latency targets apply.
const latencyQuantile = 0.95

// costRequests is the number of requests to which reported costs refer.
const costRequests = 1000

// ClassStats contains the results of a class at this instance since the instance started.
type ClassStats struct {
	Answered, NotRun, Unknown int64
	// FirstTokenP95 and InterTokenP95 are 95th percentiles, or zero without samples.
	FirstTokenP95 time.Duration
	InterTokenP95 time.Duration
	// CostPer1000 is the cost per 1,000 answered requests, in cost units.
	CostPer1000 float64
	// MeanRating is the mean of Ratings ratings of delivered answers.
	MeanRating float64
	Ratings    int64
}

type classRow struct {
	outcomes          map[api.Outcome]int64
	cost              float64
	firstToken        *histogram.Fast
	interTokenLatency *histogram.Fast
	ratingSum         float64
	ratings           int64
}

// ClassTable holds the results of each class. It is safe for concurrent use.
type ClassTable struct {
	mu   *lockorder.Mutex
	rows map[string]*classRow
}

// NewClassTable returns an empty table.
func NewClassTable() *ClassTable {
	return &ClassTable{mu: lockorder.New(lockorder.RankTelemetry), rows: map[string]*classRow{}}
}

func (c *ClassTable) rowLocked(class string) *classRow {
	row, ok := c.rows[class]
	if !ok {
		row = &classRow{outcomes: map[api.Outcome]int64{}, firstToken: histogram.NewFast(), interTokenLatency: histogram.NewFast()}
		c.rows[class] = row
	}
	return row
}

// CountRequest counts a finished request and adds its cost, which is zero unless the request was answered.
func (c *ClassTable) CountRequest(class string, outcome api.Outcome, cost float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row := c.rowLocked(class)
	row.outcomes[outcome]++
	row.cost += cost
}

// RecordFirstToken records the time to first token of one answer.
func (c *ClassTable) RecordFirstToken(class string, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rowLocked(class).firstToken.Update(elapsed.Seconds())
}

// RecordInterToken records the mean inter-token latency of one answer.
func (c *ClassTable) RecordInterToken(class string, meanLatency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rowLocked(class).interTokenLatency.Update(meanLatency.Seconds())
}

// RecordRating records the rating of a delivered answer.
func (c *ClassTable) RecordRating(class string, score float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row := c.rowLocked(class)
	row.ratingSum += score
	row.ratings++
}

// Stats returns the results of a class.
func (c *ClassTable) Stats(class string) ClassStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	row := c.rowLocked(class)
	stats := ClassStats{
		Answered:      row.outcomes[api.OutcomeAnswered],
		NotRun:        row.outcomes[api.OutcomeNotRun],
		Unknown:       row.outcomes[api.OutcomeUnknown],
		FirstTokenP95: percentile95(row.firstToken),
		InterTokenP95: percentile95(row.interTokenLatency),
		Ratings:       row.ratings,
	}
	if stats.Answered > 0 {
		stats.CostPer1000 = row.cost / float64(stats.Answered) * costRequests
	}
	if row.ratings > 0 {
		stats.MeanRating = row.ratingSum / float64(row.ratings)
	}
	return stats
}

// percentile95 returns the 95th percentile, or zero if there are no samples (the library then returns NaN).
func percentile95(h *histogram.Fast) time.Duration {
	seconds := h.Quantile(latencyQuantile)
	if seconds != seconds {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
