package routing

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

func fleet(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = Candidate{ID: "server-" + strconv.Itoa(i), Zone: "a", Software: "v1", Slots: 8}
	}
	return candidates
}

func chosen(t *testing.T, p Policy, candidates []Candidate, r Request) string {
	t.Helper()
	choice, _ := p.Choose(candidates, r, time.Time{}, rand.New(rand.NewPCG(1, 1)))
	if !choice.Found {
		return ""
	}
	return choice.Server
}

// Guards against a server that is chosen although it is full, leaving, withdrawn or was tried.
func TestGatewayFilters(t *testing.T) {
	for name, spoil := range map[string]func(*Candidate, *Request){
		"leaving":       func(c *Candidate, _ *Request) { c.Leaving = true },
		"tried":         func(c *Candidate, r *Request) { r.Exclude = []string{c.ID} },
		"withdrawn":     func(c *Candidate, r *Request) { c.Software, r.NotSoftware = "v2", []string{"v2"} },
		"other version": func(c *Candidate, r *Request) { c.Software, r.Software = "v2", "v1" },
		"full":          func(c *Candidate, _ *Request) { c.MaxInFlight, c.InFlight = 4, 4 },
	} {
		for _, policy := range []Policy{PlainPolicy(), PromptPolicy()} {
			candidates, request := fleet(1), Request{Zone: "a"}
			spoil(&candidates[0], &request)
			if got := chosen(t, policy, candidates, request); got != "" {
				t.Errorf("%s: %s was chosen", name, got)
			}
		}
	}
}

// Guards against a choice that ignores what makes a server slow.
func TestGatewayScorers(t *testing.T) {
	for name, worse := range map[string]func(*Candidate){
		"fails often":                func(c *Candidate) { c.FailureRate = 0.4 },
		"busy with others' requests": func(c *Candidate) { c.OtherInFlight = 6 },
		"reads other prompts":        func(c *Candidate) { c.PendingTokens = 20000 },
		"serves other models":        func(c *Candidate) { c.Foreign = true },
	} {
		candidates := fleet(2)
		worse(&candidates[0])
		if got := chosen(t, PromptPolicy(), candidates, Request{Zone: "a", PromptTokens: 1000}); got != "server-1" {
			t.Errorf("%s: %s was chosen", name, got)
		}
	}
	candidates := fleet(2)
	candidates[1].CachedTokens = 4000
	if got := chosen(t, PromptPolicy(), candidates, Request{Zone: "a", PromptTokens: 5000}); got != "server-1" {
		t.Errorf("the server without the prompt, %s, was chosen", got)
	}
}

// Guards against models that share servers although there are enough, leave servers unused, or have none.
func TestPartitionCoversServersOnce(t *testing.T) {
	for n := 2; n <= 30; n++ {
		users := make([]int, n)
		for _, span := range [][2]float64{{0, 0.2}, {0.2, 1}} {
			candidates := fleet(n)
			PromptPolicy().Partition(candidates, Request{}, span[0], span[1], time.Time{})
			own := 0
			for i := range candidates {
				if !candidates[i].Foreign {
					users[i]++
					own++
				}
			}
			if own == 0 {
				t.Fatalf("%d servers: the span %v has none", n, span)
			}
		}
		for i, count := range users {
			if count == 0 || count > 1 && n > 5 {
				t.Errorf("%d servers: server %d has %d models", n, i, count)
			}
		}
	}
}
