package routing

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

func newCandidates(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = Candidate{ID: "server-" + strconv.Itoa(i), Zone: "a", Software: "v1", Slots: 8}
	}
	return candidates
}

func chooseID(t *testing.T, p Policy, candidates []Candidate, r Request) string {
	t.Helper()
	choice, _ := p.Choose(candidates, r, time.Time{}, rand.New(rand.NewPCG(1, 1)))
	if !choice.Found {
		return ""
	}
	return choice.Server
}

// Guards against choosing a server that is at its in-flight limit, is leaving, runs a withdrawn or another software version,
// or was used by an earlier attempt.
func TestGatewayFilters(t *testing.T) {
	for name, disqualify := range map[string]func(*Candidate, *Request){
		"leaving":       func(c *Candidate, _ *Request) { c.Leaving = true },
		"tried":         func(c *Candidate, r *Request) { r.Exclude = []string{c.ID} },
		"withdrawn":     func(c *Candidate, r *Request) { c.Software, r.ExcludedSoftware = "v2", []string{"v2"} },
		"other version": func(c *Candidate, r *Request) { c.Software, r.RequiredSoftware = "v2", "v1" },
		"full":          func(c *Candidate, _ *Request) { c.MaxInFlight, c.InFlight = 4, 4 },
	} {
		for _, policy := range []Policy{PlainPolicy(), PromptPolicy()} {
			candidates, request := newCandidates(1), Request{Zone: "a"}
			disqualify(&candidates[0], &request)
			if got := chooseID(t, policy, candidates, request); got != "" {
				t.Errorf("%s: chose %s", name, got)
			}
		}
	}
}

// Guards against a choice that ignores a cause of slow responses.
func TestGatewayScorers(t *testing.T) {
	for name, degrade := range map[string]func(*Candidate){
		"fails often":               func(c *Candidate) { c.FailureRate = 0.4 },
		"has pending prompt tokens": func(c *Candidate) { c.PendingTokens = 20000 },
		"outside the partition":     func(c *Candidate) { c.OutsidePartition = true },
	} {
		candidates := newCandidates(2)
		degrade(&candidates[0])
		if got := chooseID(t, PromptPolicy(), candidates, Request{Zone: "a", PromptTokens: 1000}); got != "server-1" {
			t.Errorf("%s: chose %s", name, got)
		}
	}
	candidates := newCandidates(2)
	candidates[1].CachedTokens = 4000
	if got := chooseID(t, PromptPolicy(), candidates, Request{Zone: "a", PromptTokens: 5000}); got != "server-1" {
		t.Errorf("chose %s, which has no cached prompt tokens", got)
	}
}

// Guards against partitions that overlap although there are enough servers, that leave a server unused, or that are empty.
func TestPartitionCoversServersOnce(t *testing.T) {
	for n := 2; n <= 30; n++ {
		partitionCounts := make([]int, n)
		for _, fractions := range [][2]float64{{0, 0.2}, {0.2, 1}} {
			candidates := newCandidates(n)
			PromptPolicy().MarkPartition(candidates, Request{}, fractions[0], fractions[1], time.Time{})
			inPartition := 0
			for i := range candidates {
				if !candidates[i].OutsidePartition {
					partitionCounts[i]++
					inPartition++
				}
			}
			if inPartition == 0 {
				t.Fatalf("%d servers: the partition %v is empty", n, fractions)
			}
		}
		for i, count := range partitionCounts {
			if count == 0 || count > 1 && n > 5 {
				t.Errorf("%d servers: server %d is in %d partitions", n, i, count)
			}
		}
	}
}
