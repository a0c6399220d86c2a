package routing

import (
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/rendezvous"
)

const (
	// loadTestUsage is the fraction of a server's slots that a load test may use on average, so that a good version does not run out of them.
	loadTestUsage = 0.5
	// loadTestKey is the key of the rendezvous order of the servers, which is the same at all instances.
	loadTestKey = "load test"
)

// OutsideLoadTest returns the servers of a software version that take no part in its load test: the test uses as few servers as can run the given
// number of requests at a time, because the requests that a test may use are few and the load of a server shows most faults.
func OutsideLoadTest(candidates []Candidate, software string, concurrency float64) []string {
	slots := map[string]int{}
	var ids []string
	for i := range candidates {
		if c := &candidates[i]; c.Software == software && !c.Leaving && !c.Evacuated {
			ids = append(ids, c.ID)
			slots[c.ID] = c.Slots
		}
	}
	rendezvous.Sort(loadTestKey, ids)
	for n, id := range ids {
		if concurrency <= 0 {
			return ids[n:]
		}
		concurrency -= loadTestUsage * float64(max(1, slots[id]))
	}
	return nil
}

// LoadTestFilter drops servers that take no part in the load test to which the request belongs.
type LoadTestFilter struct{}

// DropReason implements Filter.
func (LoadTestFilter) DropReason(c *Candidate, r *Request, _ time.Time) Reason {
	if slices.Contains(r.OutsideLoadTest, c.ID) {
		return ReasonLoadTest
	}
	return ReasonNone
}
