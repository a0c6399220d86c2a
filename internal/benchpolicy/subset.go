package benchpolicy

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawall/cicadawall/internal/routing"
)

const (
	scaleInstances = 410
	scaleServers   = 1100
	scaleZones     = 8
	scaleVersions  = 34
	subsetSize     = 16
	// churnSteps is the number of membership changes in a run; each adds or removes one member.
	churnSteps = 60
)

type assignFunc func(instances, servers []routing.Member, size int) [][]string

// balance describes how evenly instances were spread over servers, and how many links moved, in one run.
type balance struct {
	min, mean, max  float64 // instances per server, over all steps
	movedByInstance float64 // links of other instances that move when an instance joins or leaves
	movedByServer   float64
	otherZone       float64 // fraction of links to another availability zone
	underloaded     float64 // maximum number of servers with less than half of the mean at any step
}

// Subset measures the balance of server subsets while instances and servers join and leave.
func Subset(out io.Writer, _ string, seeds int) error {
	fmt.Fprintf(out, "\n### (d) %d instances, %d servers, %d zones, %d changes, %d seeds\n\n",
		scaleInstances, scaleServers, scaleZones, churnSteps, seeds)
	fmt.Fprintln(out, "| servers | size | method | instances a server: least | mean | most | servers below half of the mean | links moved by an instance | by a server | to other zones % | ms |")
	fmt.Fprintln(out, "|--:|--:|---|--:|--:|--:|--:|--:|--:|--:|--:|")
	methods := []struct {
		name   string
		assign assignFunc
	}{{"bounded", boundedAssign}, {"plain rendezvous", plainAssign}}
	for _, servers := range []int{scaleServers, scaleServers / scaleVersions} {
		size := min(subsetSize, servers/4)
		for _, m := range methods {
			var all []balance
			var elapsed time.Duration
			for seed := range seeds {
				start := time.Now()
				all = append(all, simulateChurn(m.assign, servers, size, uint64(seed)))
				elapsed += time.Since(start) / (churnSteps + 1)
			}
			of := func(value func(balance) float64) stats {
				var values []float64
				for _, b := range all {
					values = append(values, value(b))
				}
				return statsOfValues(values)
			}
			least, most := of(func(b balance) float64 { return b.min }), of(func(b balance) float64 { return b.max })
			instance := of(func(b balance) float64 { return b.movedByInstance })
			server := of(func(b balance) float64 { return b.movedByServer })
			fmt.Fprintf(out, "| %d | %d | %s | %.0f | %.2f | %.0f | %.0f | %.1f ± %.1f | %.1f ± %.1f | %.1f | %.1f |\n", servers, size, m.name,
				least.min, of(func(b balance) float64 { return b.mean }).mean, most.max, of(func(b balance) float64 { return b.underloaded }).max, instance.mean, instance.stddev,
				server.mean, server.stddev, of(func(b balance) float64 { return 100 * b.otherZone }).mean,
				elapsed.Seconds()*1000/float64(seeds))
		}
	}
	return nil
}

func simulateChurn(assign assignFunc, count, size int, seed uint64) balance {
	rng := rand.New(rand.NewPCG(seed, 8))
	instances, servers := scaleMembers(rng, "instance", scaleInstances), scaleMembers(rng, "server", count)
	out := balance{min: float64(scaleInstances)}
	before := assign(instances, servers, size)
	out.observe(instances, servers, before)
	for step := range churnSteps {
		group := &instances
		if step%2 == 1 {
			group = &servers
		}
		old := slices.Clone(instances)
		replaceOne(rng, group, step)
		after := assign(instances, servers, size)
		moved := countMovedLinks(old, instances, before, after)
		if step%2 == 1 {
			out.movedByServer += moved / (churnSteps / 2)
		} else {
			out.movedByInstance += moved / (churnSteps / 2)
		}
		before = after
		out.observe(instances, servers, before)
	}
	return out
}

func scaleMembers(rng *rand.Rand, prefix string, count int) []routing.Member {
	var out []routing.Member
	for i := range count {
		out = append(out, routing.Member{ID: fmt.Sprintf("%s-%d-%x", prefix, i, rng.Uint32()), Zone: fmt.Sprintf("zone-%d", i%scaleZones)})
	}
	return out
}

// replaceOne removes a random member or, in every second pair of steps, adds a member in a random zone.
func replaceOne(rng *rand.Rand, group *[]routing.Member, step int) {
	if step%4 < 2 {
		i := rng.IntN(len(*group))
		*group = slices.Delete(slices.Clone(*group), i, i+1)
		return
	}
	added := routing.Member{ID: fmt.Sprintf("added-%d-%x", step, rng.Uint32()), Zone: fmt.Sprintf("zone-%d", rng.IntN(scaleZones))}
	*group = append(slices.Clone(*group), added)
}

// countMovedLinks counts the new links of the instances that were present both before and after a change.
func countMovedLinks(old, current []routing.Member, before, after [][]string) float64 {
	linksBefore := map[string][]string{}
	for i, m := range old {
		linksBefore[m.ID] = before[i]
	}
	count := 0.0
	for i, m := range current {
		links, ok := linksBefore[m.ID]
		if !ok {
			continue
		}
		for _, id := range after[i] {
			if !slices.Contains(links, id) {
				count++
			}
		}
	}
	return count
}

func (b *balance) observe(instances, servers []routing.Member, links [][]string) {
	load, zones := map[string]int{}, map[string]string{}
	for _, s := range servers {
		load[s.ID], zones[s.ID] = 0, s.Zone
	}
	total, otherZone := 0.0, 0.0
	for i, ids := range links {
		for _, id := range ids {
			load[id]++
			total++
			if zones[id] != instances[i].Zone {
				otherZone++
			}
		}
	}
	b.mean = total / float64(len(servers))
	b.otherZone = otherZone / total
	underloaded := 0.0
	for _, n := range load {
		if float64(n) < b.mean/2 {
			underloaded++
		}
		b.min, b.max = min(b.min, float64(n)), max(b.max, float64(n))
	}
	b.underloaded = max(b.underloaded, underloaded)
}

func boundedAssign(instances, servers []routing.Member, size int) [][]string {
	assignment := routing.Assign(instances, servers, size)
	var out [][]string
	for _, m := range instances {
		out = append(out, assignment.ServersFor(m.ID))
	}
	return out
}

// plainAssign is the baseline: rendezvous hashing that prefers servers in the availability zone of the instance.
func plainAssign(instances, servers []routing.Member, size int) [][]string {
	type weighted struct {
		id       string
		sameZone int
		weight   uint64
	}
	var out [][]string
	for _, m := range instances {
		ranked := make([]weighted, 0, len(servers))
		for _, s := range servers {
			w := weighted{id: s.ID, weight: xxhash.Sum64String(m.ID + "\x00" + s.ID)}
			if s.Zone == m.Zone {
				w.sameZone = 1
			}
			ranked = append(ranked, w)
		}
		slices.SortFunc(ranked, func(a, b weighted) int {
			return cmp.Or(cmp.Compare(b.sameZone, a.sameZone), cmp.Compare(b.weight, a.weight))
		})
		var ids []string
		for _, w := range ranked[:size] {
			ids = append(ids, w.id)
		}
		out = append(out, ids)
	}
	return out
}
