package routing

import "time"

const (
	// fullBatchDelay is the delay of the first token on a server whose batch is exactly full.
	fullBatchDelay = 100 * time.Millisecond
	// queuedBatchDelay is the further delay for each batch of queued requests, about the service time of one request.
	queuedBatchDelay = 2 * time.Second
	// cachedBlockSaving is the prefill time that one cached block of prefix.BlockBytes saves.
	cachedBlockSaving = 8 * time.Millisecond
	// crossZoneDelay is the round-trip time between availability zones, at 1.5 ms one way.
	crossZoneDelay = 3 * time.Millisecond
)

// LoadScorer converts the estimated load into a delay: prefill slows down as the batch fills, and requests queue
// once it is full.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(c *Candidate, _ *Request, _ time.Time) time.Duration {
	ratio := c.LoadRatio()
	waiting := max(0, ratio-1)
	return time.Duration(ratio*float64(fullBatchDelay) + waiting*float64(queuedBatchDelay))
}

// PrefixScorer subtracts the prefill time saved by the cached leading blocks of the prompt.
type PrefixScorer struct{}

// Score implements Scorer.
func (PrefixScorer) Score(c *Candidate, _ *Request, _ time.Time) time.Duration {
	return -time.Duration(c.CachedBlocks) * cachedBlockSaving
}

// ZoneScorer adds one round trip for a server in another availability zone.
type ZoneScorer struct{}

// Score implements Scorer.
func (ZoneScorer) Score(c *Candidate, r *Request, _ time.Time) time.Duration {
	if c.Zone == r.Zone {
		return 0
	}
	return crossZoneDelay
}
