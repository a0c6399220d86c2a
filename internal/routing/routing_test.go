package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/engine/prefix"
)

var (
	v1  = declaration.VersionID{Model: "small", Version: "1"}
	v2  = declaration.VersionID{Model: "small", Version: "2"}
	now = time.Unix(1000, 0)
)

func newCandidate(id string, load int) Candidate {
	report := LoadReport{Running: load, Capacity: 10, At: now}
	return Candidate{ID: id, Zone: "a", Versions: []declaration.VersionID{v1}, Report: report}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against choosing a server that a filter must drop, and against a verdict with the wrong reason.
func TestChooseDropsWithReason(t *testing.T) {
	other, leaving, ejected, tried := newCandidate("other", 0), newCandidate("leaving", 0), newCandidate("ejected", 0), newCandidate("tried", 0)
	other.Versions = []declaration.VersionID{v2}
	leaving.Leaving = true
	ejected.EjectedUntil = now.Add(time.Second)
	candidates := []Candidate{other, leaving, ejected, tried, newCandidate("good", 9)}
	request := Request{Version: v1, Zone: "a", Exclude: []string{"tried"}}
	choice, verdicts := Choose(candidates, request, now, newRand())
	want := []Verdict{
		{"other", ReasonNotLoaded}, {"leaving", ReasonLeaving}, {"ejected", ReasonEjected}, {"tried", ReasonTried},
	}
	if diff := cmp.Diff(want, verdicts); diff != "" || choice.Server != "good" {
		t.Fatalf("chose %q, verdicts differ: %s", choice.Server, diff)
	}
	if choice, _ := Choose(candidates[:4], request, now, newRand()); choice.Found {
		t.Fatalf("chose %q although all were dropped", choice.Server)
	}
}

// Guards against a load estimate that ignores the requests sent after a delayed load report.
func TestLoadAddsSentSinceReport(t *testing.T) {
	c := Candidate{InFlight: 2, Report: LoadReport{Running: 3, Queued: 1}, SentSinceReport: 5}
	if c.Load() != 9 {
		t.Fatalf("load %d, want 9", c.Load())
	}
	c = Candidate{InFlight: 7, Report: LoadReport{Running: 1}}
	if c.Load() != 7 {
		t.Fatalf("load %d, want the 7 in-flight requests of this instance", c.Load())
	}
}

// Guards against prefix affinity that overloads the server with the cached prefix.
func TestPrefixAffinityStopsAtLoadBound(t *testing.T) {
	candidates := []Candidate{newCandidate("a", 2), newCandidate("b", 2), newCandidate("c", 2), newCandidate("warm", 3)}
	candidates[3].CachedBlocks = 20
	for range 20 {
		if choice, _ := Choose(candidates, Request{Version: v1, Zone: "a"}, now, newRand()); choice.Server != "warm" {
			t.Fatalf("chose %q, want the server with the cached prefix", choice.Server)
		}
	}
	candidates[3].Report.Running = 10
	if choice, _ := Choose(candidates, Request{Version: v1, Zone: "a"}, now, newRand()); choice.Server == "warm" {
		t.Fatal("chose the server with the cached prefix although it is above the load bound")
	}
}

// Guards against an index that keeps evicted blocks, grows without bound, or counts blocks that follow a missing one.
func TestPrefixIndexFollowsEvents(t *testing.T) {
	index := NewPrefixIndex(4)
	chain := []prefix.Block{1, 2, 3}
	index.AddBlocks("a", chain)
	index.AddBlocks("b", chain)
	index.RemoveBlocks("a", []prefix.Block{2})
	candidates := []Candidate{{ID: "a"}, {ID: "b"}}
	index.MarkCachedBlocks(candidates, chain)
	if candidates[0].CachedBlocks != 1 || candidates[1].CachedBlocks != 3 {
		t.Fatalf("cached blocks %d and %d, want 1 and 3", candidates[0].CachedBlocks, candidates[1].CachedBlocks)
	}
	index.RemoveServer("b")
	index.MarkCachedBlocks(candidates, chain)
	if candidates[1].CachedBlocks != 0 {
		t.Fatal("the index still has blocks of a removed server")
	}
	index.AddBlocks("a", []prefix.Block{4, 5, 6, 7, 8})
	if index.Len() != 4 {
		t.Fatalf("index has %d blocks, want its capacity of 4", index.Len())
	}
}

func newMembers(prefix string, count, zones int) []Member {
	var result []Member
	for i := range count {
		result = append(result, Member{ID: fmt.Sprintf("%s%d", prefix, i), Zone: fmt.Sprintf("z%d", i%zones)})
	}
	return result
}

// Guards against subsets of the wrong size, servers of other zones although the own zone has enough, unbalanced servers, and
// a membership change that reassigns too many servers.
func TestAssignIsLocalBalancedAndStable(t *testing.T) {
	instances, servers := newMembers("i", 40, 4), newMembers("s", 80, 4)
	before, load := Assign(instances, servers, 10), map[string]int{}
	for _, instance := range instances {
		ids := before.ServersFor(instance.ID)
		if len(ids) != 10 {
			t.Fatalf("%d servers, want 10", len(ids))
		}
		for _, id := range ids {
			load[id]++
			var number int
			fmt.Sscanf(id, "s%d", &number)
			if servers[number].Zone != instance.Zone {
				t.Fatalf("instance in zone %s was assigned %s of another zone", instance.Zone, id)
			}
		}
	}
	for id, count := range load {
		if count > 6 {
			t.Fatalf("server %s has %d instances, want at most 6 (mean 5)", id, count)
		}
	}
	after, moved := Assign(instances[1:], servers, 10), 0
	for _, instance := range instances[1:] {
		kept := map[string]bool{}
		for _, id := range before.ServersFor(instance.ID) {
			kept[id] = true
		}
		for _, id := range after.ServersFor(instance.ID) {
			if !kept[id] {
				moved++
			}
		}
	}
	if moved > 40 {
		t.Fatalf("%d of 390 assignments changed after one instance left, want at most 40", moved)
	}
}

// Guards against an empty subset for an instance in a zone without servers.
func TestAssignFillsFromOtherZones(t *testing.T) {
	instances := []Member{{ID: "i", Zone: "empty"}}
	if got := Assign(instances, newMembers("s", 6, 2), 4).ServersFor("i"); len(got) != 4 {
		t.Fatalf("%d servers, want 4", len(got))
	}
}

func benchmarkChoose(b *testing.B, count int) {
	candidates := make([]Candidate, count)
	for i := range candidates {
		candidates[i] = newCandidate(fmt.Sprintf("s%d", i), i%7)
		if i%3 == 0 {
			candidates[i].Versions = []declaration.VersionID{v2}
		}
	}
	random := newRand()
	b.ReportAllocs()
	for b.Loop() {
		Choose(candidates, Request{Version: v1, Zone: "a"}, now, random)
	}
}

func BenchmarkChoose18(b *testing.B)   { benchmarkChoose(b, 18) }
func BenchmarkChoose1100(b *testing.B) { benchmarkChoose(b, 1100) }

func BenchmarkAssign410x1100(b *testing.B) {
	instances, servers := newMembers("i", 410, 8), newMembers("s", 1100, 8)
	b.ReportAllocs()
	for b.Loop() {
		Assign(instances, servers, 16)
	}
}
