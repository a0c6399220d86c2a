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

func server(id string, load int) Candidate {
	report := LoadReport{Running: load, Capacity: 10, At: now}
	return Candidate{ID: id, Zone: "a", Versions: []declaration.VersionID{v1}, Report: report}
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against work for a server that must not get it, and against a wrong explanation.
func TestChooseDropsWithReason(t *testing.T) {
	other, leaving, ejected, tried := server("other", 0), server("leaving", 0), server("ejected", 0), server("tried", 0)
	other.Versions = []declaration.VersionID{v2}
	leaving.Leaving = true
	ejected.EjectedUntil = now.Add(time.Second)
	candidates := []Candidate{other, leaving, ejected, tried, server("good", 9)}
	request := Request{Version: v1, Zone: "a", Exclude: []string{"tried"}}
	choice, verdicts := Choose(candidates, request, now, rng())
	want := []Verdict{
		{"other", ReasonNotLoaded}, {"leaving", ReasonLeaving}, {"ejected", ReasonEjected}, {"tried", ReasonTried},
	}
	if diff := cmp.Diff(want, verdicts); diff != "" || choice.Server != "good" {
		t.Fatalf("chose %q, verdicts differ: %s", choice.Server, diff)
	}
	if choice, _ := Choose(candidates[:4], request, now, rng()); choice.Found {
		t.Fatalf("chose %q although all were dropped", choice.Server)
	}
}

// Guards against a load estimate that ignores requests sent after a lagging report.
func TestLoadAddsSentSinceReport(t *testing.T) {
	c := Candidate{InFlight: 2, Report: LoadReport{Running: 3, Queued: 1}, SentSince: 5}
	if c.Load() != 9 {
		t.Fatalf("load %d, want 9", c.Load())
	}
	c = Candidate{InFlight: 7, Report: LoadReport{Running: 1}}
	if c.Load() != 7 {
		t.Fatalf("load %d, want the 7 own requests", c.Load())
	}
}

// Guards against prefix affinity that overloads its server.
func TestWarmServerWinsUntilItsBound(t *testing.T) {
	candidates := []Candidate{server("a", 2), server("b", 2), server("c", 2), server("warm", 3)}
	candidates[3].CachedBlocks = 20
	for range 20 {
		if choice, _ := Choose(candidates, Request{Version: v1, Zone: "a"}, now, rng()); choice.Server != "warm" {
			t.Fatalf("chose %q, want the warm server", choice.Server)
		}
	}
	candidates[3].Report.Running = 10
	if choice, _ := Choose(candidates, Request{Version: v1, Zone: "a"}, now, rng()); choice.Server == "warm" {
		t.Fatal("chose the warm server above its load bound")
	}
}

// Guards against an index that keeps evicted blocks, grows without bound or counts blocks after a hole.
func TestPrefixIndexFollowsEvents(t *testing.T) {
	index := NewPrefixIndex(4)
	chain := []prefix.Block{1, 2, 3}
	index.Stored("a", chain)
	index.Stored("b", chain)
	index.Evicted("a", []prefix.Block{2})
	candidates := []Candidate{{ID: "a"}, {ID: "b"}}
	index.Mark(candidates, chain)
	if candidates[0].CachedBlocks != 1 || candidates[1].CachedBlocks != 3 {
		t.Fatalf("cached blocks %d and %d, want 1 and 3", candidates[0].CachedBlocks, candidates[1].CachedBlocks)
	}
	index.Forget("b")
	index.Mark(candidates, chain)
	if candidates[1].CachedBlocks != 0 {
		t.Fatal("forgotten server still holds blocks")
	}
	index.Stored("a", []prefix.Block{4, 5, 6, 7, 8})
	if index.Len() != 4 {
		t.Fatalf("%d blocks, want the bound of 4", index.Len())
	}
}

func members(prefix string, count, zones int) []Member {
	var out []Member
	for i := range count {
		out = append(out, Member{ID: fmt.Sprintf("%s%d", prefix, i), Zone: fmt.Sprintf("z%d", i%zones)})
	}
	return out
}

// Guards against subsets of a wrong size, foreign zones before the own one, overloaded servers and large moves.
func TestAssignIsLocalBalancedAndStable(t *testing.T) {
	instances, servers := members("i", 40, 4), members("s", 80, 4)
	before, load := Assign(instances, servers, 10), map[string]int{}
	for _, instance := range instances {
		ids := before.For(instance.ID)
		if len(ids) != 10 {
			t.Fatalf("%d servers, want 10", len(ids))
		}
		for _, id := range ids {
			load[id]++
			var number int
			fmt.Sscanf(id, "s%d", &number)
			if servers[number].Zone != instance.Zone {
				t.Fatalf("instance in %s got %s", instance.Zone, id)
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
		for _, id := range before.For(instance.ID) {
			kept[id] = true
		}
		for _, id := range after.For(instance.ID) {
			if !kept[id] {
				moved++
			}
		}
	}
	if moved > 40 {
		t.Fatalf("%d of 390 links moved after one instance left, want at most 40", moved)
	}
}

// Guards against an instance in a zone without servers that gets none.
func TestAssignFillsFromOtherZones(t *testing.T) {
	instances := []Member{{ID: "i", Zone: "empty"}}
	if got := Assign(instances, members("s", 6, 2), 4).For("i"); len(got) != 4 {
		t.Fatalf("%d servers, want 4", len(got))
	}
}

func benchmarkChoose(b *testing.B, count int) {
	candidates := make([]Candidate, count)
	for i := range candidates {
		candidates[i] = server(fmt.Sprintf("s%d", i), i%7)
		if i%3 == 0 {
			candidates[i].Versions = []declaration.VersionID{v2}
		}
	}
	random := rng()
	b.ReportAllocs()
	for b.Loop() {
		Choose(candidates, Request{Version: v1, Zone: "a"}, now, random)
	}
}

func BenchmarkChoose18(b *testing.B)   { benchmarkChoose(b, 18) }
func BenchmarkChoose1100(b *testing.B) { benchmarkChoose(b, 1100) }

func BenchmarkAssign410x1100(b *testing.B) {
	instances, servers := members("i", 410, 8), members("s", 1100, 8)
	b.ReportAllocs()
	for b.Loop() {
		Assign(instances, servers, 16)
	}
}
