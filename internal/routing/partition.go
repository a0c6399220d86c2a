package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/rendezvous"
)

// partitionKey orders the servers of a service the same way at every instance.
const partitionKey = "partition"

// foreignDelay is charged for a server that other models use. It is paid when the model's own servers are much busier.
const foreignDelay = 400 * time.Millisecond

// Partition marks the candidates outside the range of a service's servers, from 0 to 1, as foreign. Only candidates that may
// take the request count. At least one stays in the range.
func (p Policy) Partition(candidates []Candidate, r Request, from, to float64, now time.Time) {
	eligible := make([]int, 0, len(candidates))
	for i := range candidates {
		if p.drop(&candidates[i], &Request{Software: r.Software, NotSoftware: r.NotSoftware}, now) == ReasonNone {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) < 2 {
		return
	}
	slices.SortFunc(eligible, func(a, b int) int {
		weightA, weightB := rendezvous.Weight(partitionKey, candidates[a].ID), rendezvous.Weight(partitionKey, candidates[b].ID)
		return cmp.Or(cmp.Compare(weightA, weightB), cmp.Compare(candidates[a].ID, candidates[b].ID))
	})
	count := float64(len(eligible))
	first := min(int(math.Round(from*count)), len(eligible)-1)
	last := max(int(math.Round(to*count)), first+1)
	for position, i := range eligible {
		candidates[i].Foreign = position < first || position >= last
	}
}

// PartitionScorer charges for servers that other models use.
type PartitionScorer struct{}

// Score implements Scorer.
func (PartitionScorer) Score(c *Candidate, _ *Request, _ time.Time) time.Duration {
	if c.Foreign {
		return foreignDelay
	}
	return 0
}
