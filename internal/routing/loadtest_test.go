package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against a load test that spreads over all servers of its version, that overloads the ones it uses, or that instances run on different
// servers.
func TestLoadTestUsesFewServers(t *testing.T) {
	var candidates []Candidate
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		candidates = append(candidates, Candidate{ID: id, Software: "v2", Slots: 6})
	}
	candidates = append(candidates, Candidate{ID: "old", Software: "v1", Slots: 6}, Candidate{ID: "leaving", Software: "v2", Slots: 6, Leaving: true})
	for concurrency, outside := range map[float64]int{0.8: 4, 3: 4, 3.1: 3, 9: 2, 100: 0} {
		ids := OutsideLoadTest(candidates, "v2", concurrency)
		reversed := slices.Clone(candidates)
		slices.Reverse(reversed)
		if len(ids) != outside || !slices.Equal(ids, OutsideLoadTest(reversed, "v2", concurrency)) || slices.Contains(ids, "old") {
			t.Errorf("%.1f requests at a time: outside the test are %v, want %d servers", concurrency, ids, outside)
		}
	}
	request := Request{RequiredSoftware: "v2", OutsideLoadTest: OutsideLoadTest(candidates, "v2", 0.8)}
	choice, verdicts := PlainPolicy().Choose(candidates, request, time.Now(), rand.New(rand.NewPCG(1, 1)))
	dropped := 0
	for _, verdict := range verdicts {
		if verdict.Reason == ReasonLoadTest {
			dropped++
		}
	}
	if !choice.Found || slices.Contains(request.OutsideLoadTest, choice.Server) || dropped != 4 {
		t.Errorf("chose %+v, %d servers dropped", choice, dropped)
	}
}
