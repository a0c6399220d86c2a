package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawall/cicadawall/internal/rendezvous"
)

// Member is an instance or a backend server with its availability zone.
type Member struct {
	ID   string
	Zone string
}

// Assignment gives each instance its subset of servers.
type Assignment struct {
	servers map[string][]string
}

// For returns the servers of an instance, own zone first; empty if the instance was not among the members.
func (a Assignment) For(instance string) []string { return a.servers[instance] }

// Assign gives each instance size servers (all, if there are fewer) by rendezvous hash with bounded load, own zone
// first. Instances with the same view compute the same assignment; differing views only weaken the balance. Call it with
// the servers of one version, so that every subset holds servers of each version.
//
// Instances choose one server in each round, in the order of their hash. The bound of a round is the mean load after it, rounded
// up; without rounds the last instances found room on few servers, and some servers stayed without any instance.
func Assign(instances, servers []Member, size int) Assignment {
	result := Assignment{servers: make(map[string][]string, len(instances))}
	size = min(size, len(servers))
	ordered := slices.Clone(instances)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	load := make([]int, len(servers))
	for _, zone := range zones(ordered) {
		var choosers []*chooser
		for _, m := range ordered {
			if m.Zone == zone {
				choosers = append(choosers, newChooser(m, servers, true))
			}
		}
		among := zoneIndexes(servers, zone)
		for range min(size, len(among)) {
			round(choosers, load, among)
		}
		result.add(choosers, servers)
	}
	result.fill(ordered, servers, load, size)
	return result
}

// fill adds servers of other zones for instances whose zone has fewer than size.
func (a Assignment) fill(ordered, servers []Member, load []int, size int) {
	var short []*chooser
	for _, m := range ordered {
		if len(a.servers[m.ID]) < size {
			short = append(short, newChooser(m, servers, false))
		}
	}
	all := make([]int, len(servers))
	for i := range all {
		all[i] = i
	}
	for len(short) > 0 {
		round(short, load, all)
		short = slices.DeleteFunc(short, func(c *chooser) bool {
			full := len(a.servers[c.instance.ID])+len(c.chosen) >= size
			if full {
				a.add([]*chooser{c}, servers)
			}
			return full
		})
	}
}

// chooser is an instance with the servers that it may choose, best first.
type chooser struct {
	instance Member
	ranked   []int
	chosen   []int
}

func newChooser(instance Member, servers []Member, own bool) *chooser {
	c := &chooser{instance: instance}
	weights := make([]uint64, len(servers))
	for i := range servers {
		if (servers[i].Zone == instance.Zone) == own {
			weights[i] = rendezvous.Weight(instance.ID, servers[i].ID)
			c.ranked = append(c.ranked, i)
		}
	}
	slices.SortFunc(c.ranked, func(a, b int) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return c
}

// choose takes the best server below the limit, or the least loaded one if all are at the limit.
func (c *chooser) choose(load []int, limit int) {
	best := -1
	for k, i := range c.ranked {
		if best >= 0 && load[i] >= load[c.ranked[best]] {
			continue
		}
		best = k
		if load[i] < limit {
			break
		}
	}
	if best < 0 {
		return
	}
	server := c.ranked[best]
	load[server]++
	c.chosen = append(c.chosen, server)
	c.ranked = slices.Delete(c.ranked, best, best+1)
}

// round lets each instance choose one more server. The limit is the mean load over the servers after the round.
func round(choosers []*chooser, load []int, among []int) {
	if len(among) == 0 {
		return
	}
	total := len(choosers)
	for _, i := range among {
		total += load[i]
	}
	limit := (total + len(among) - 1) / len(among)
	for _, c := range choosers {
		c.choose(load, limit)
	}
}

func (a Assignment) add(choosers []*chooser, servers []Member) {
	for _, c := range choosers {
		for _, i := range c.chosen {
			a.servers[c.instance.ID] = append(a.servers[c.instance.ID], servers[i].ID)
		}
	}
}

func zones(members []Member) []string {
	var out []string
	for i := range members {
		if !slices.Contains(out, members[i].Zone) {
			out = append(out, members[i].Zone)
		}
	}
	slices.Sort(out)
	return out
}

func zoneIndexes(servers []Member, zone string) []int {
	var out []int
	for i := range servers {
		if servers[i].Zone == zone {
			out = append(out, i)
		}
	}
	return out
}
