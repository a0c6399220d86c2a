package routing

import "time"

const (
	// loadDelay is the first-token delay of a server whose batch is exactly full.
	loadDelay = 100 * time.Millisecond
	// queueDelay is the further delay for each batch that waits, about the service time of one request.
	queueDelay = 2 * time.Second
	// blockSaving is the prefill time that one cached block of prefix.BlockBytes saves.
	blockSaving = 8 * time.Millisecond
	// crossZoneDelay is one round trip between availability zones, at 1.5 ms one way.
	crossZoneDelay = 3 * time.Millisecond
)

// LoadScorer turns the estimated load into a delay: prefill slows down as the batch fills and waits once it is full.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(c *Candidate, _ *Request, _ time.Time) time.Duration {
	ratio := c.LoadRatio()
	waiting := max(0, ratio-1)
	return time.Duration(ratio*float64(loadDelay) + waiting*float64(queueDelay))
}

// PrefixScorer credits the prefill time saved by cached leading blocks.
type PrefixScorer struct{}

// Score implements Scorer.
func (PrefixScorer) Score(c *Candidate, _ *Request, _ time.Time) time.Duration {
	return -time.Duration(c.CachedBlocks) * blockSaving
}

// ZoneScorer charges one round trip for another availability zone.
type ZoneScorer struct{}

// Score implements Scorer.
func (ZoneScorer) Score(c *Candidate, r *Request, _ time.Time) time.Duration {
	if c.Zone == r.Zone {
		return 0
	}
	return crossZoneDelay
}
