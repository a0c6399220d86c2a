package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/rendezvous"
)

// partitionKey is the rendezvous key by which every instance sorts the servers of a service into the same order.
const partitionKey = "partition"

// outsidePartitionDelay is the penalty for a server outside the model's partition. Such a server is chosen only when the
// servers in the partition are much busier.
const outsidePartitionDelay = 400 * time.Millisecond

// MarkPartition sets OutsidePartition on every candidate outside a model's partition of the service's servers. The partition
// is the range between the fractions from and to, each from 0 to 1, of the sorted eligible servers: those that the filters
// accept for the request's software versions. It always contains at least one server.
func (p Policy) MarkPartition(candidates []Candidate, r Request, from, to float64, now time.Time) {
	eligible := make([]int, 0, len(candidates))
	for i := range candidates {
		if p.dropReason(&candidates[i], &Request{RequiredSoftware: r.RequiredSoftware, ExcludedSoftware: r.ExcludedSoftware}, now) == ReasonNone {
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
	start := min(int(math.Round(from*count)), len(eligible)-1)
	end := max(int(math.Round(to*count)), start+1)
	for position, i := range eligible {
		candidates[i].OutsidePartition = position < start || position >= end
	}
}

// PartitionScorer adds a penalty for servers outside the model's partition.
type PartitionScorer struct{}

// Score implements Scorer.
func (PartitionScorer) Score(c *Candidate, _ *Request, _ time.Time) time.Duration {
	if c.OutsidePartition {
		return outsidePartitionDelay
	}
	return 0
}
