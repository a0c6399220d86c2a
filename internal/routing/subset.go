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

// ServersFor returns the servers of an instance, those of its own zone first. It returns nil if the assignment lacks the
// instance.
func (a Assignment) ServersFor(instance string) []string { return a.servers[instance] }

// Assign gives each instance a subset of size servers (all servers if there are fewer) by rendezvous hashing with bounded
// load. Servers in the instance's own zone come first. Instances with the same view of the members compute the same
// assignment; differing views only weaken the balance. Call Assign separately for the servers of each version, so that every
// subset contains servers of each version.
//
// Each instance chooses one server per round, in the order of the instances' hashes. The load limit of a round is the mean
// load after the round, rounded up. Without rounds, the last instances found few servers below the limit, and some servers
// were assigned to no instance.
func Assign(instances, servers []Member, size int) Assignment {
	result := Assignment{servers: make(map[string][]string, len(instances))}
	size = min(size, len(servers))
	ordered := slices.Clone(instances)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	load := make([]int, len(servers))
	for _, zone := range sortedZones(ordered) {
		var choosers []*chooser
		for _, m := range ordered {
			if m.Zone == zone {
				choosers = append(choosers, newChooser(m, servers, true))
			}
		}
		zoneServers := serverIndexesInZone(servers, zone)
		for range min(size, len(zoneServers)) {
			chooseRound(choosers, load, zoneServers)
		}
		result.addChosen(choosers, servers)
	}
	result.fillFromOtherZones(ordered, servers, load, size)
	return result
}

// fillFromOtherZones adds servers of other zones to the instances that have fewer than size servers from their own zone.
func (a Assignment) fillFromOtherZones(ordered, servers []Member, load []int, size int) {
	var incomplete []*chooser
	for _, m := range ordered {
		if len(a.servers[m.ID]) < size {
			incomplete = append(incomplete, newChooser(m, servers, false))
		}
	}
	allServers := make([]int, len(servers))
	for i := range allServers {
		allServers[i] = i
	}
	for len(incomplete) > 0 {
		chooseRound(incomplete, load, allServers)
		incomplete = slices.DeleteFunc(incomplete, func(c *chooser) bool {
			complete := len(a.servers[c.instance.ID])+len(c.chosenServers) >= size
			if complete {
				a.addChosen([]*chooser{c}, servers)
			}
			return complete
		})
	}
}

// chooser is an instance that chooses its servers.
type chooser struct {
	instance Member
	// rankedServers holds the indexes of the servers still to choose from, by descending rendezvous weight.
	rankedServers []int
	chosenServers []int
}

// newChooser ranks the servers of the instance's own zone if sameZone is set, and those of all other zones if not.
func newChooser(instance Member, servers []Member, sameZone bool) *chooser {
	c := &chooser{instance: instance}
	weights := make([]uint64, len(servers))
	for i := range servers {
		if (servers[i].Zone == instance.Zone) == sameZone {
			weights[i] = rendezvous.Weight(instance.ID, servers[i].ID)
			c.rankedServers = append(c.rankedServers, i)
		}
	}
	slices.SortFunc(c.rankedServers, func(a, b int) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return c
}

// choose selects the highest ranked server whose load, the number of instances assigned to it, is below the limit, or the
// least loaded server if there is none.
func (c *chooser) choose(load []int, limit int) {
	bestPosition := -1
	for position, i := range c.rankedServers {
		if bestPosition >= 0 && load[i] >= load[c.rankedServers[bestPosition]] {
			continue
		}
		bestPosition = position
		if load[i] < limit {
			break
		}
	}
	if bestPosition < 0 {
		return
	}
	server := c.rankedServers[bestPosition]
	load[server]++
	c.chosenServers = append(c.chosenServers, server)
	c.rankedServers = slices.Delete(c.rankedServers, bestPosition, bestPosition+1)
}

// chooseRound lets each instance choose one more server. The limit is the mean load of the servers after the round,
// rounded up.
func chooseRound(choosers []*chooser, load []int, serverIndexes []int) {
	if len(serverIndexes) == 0 {
		return
	}
	total := len(choosers)
	for _, i := range serverIndexes {
		total += load[i]
	}
	limit := (total + len(serverIndexes) - 1) / len(serverIndexes)
	for _, c := range choosers {
		c.choose(load, limit)
	}
}

func (a Assignment) addChosen(choosers []*chooser, servers []Member) {
	for _, c := range choosers {
		for _, i := range c.chosenServers {
			a.servers[c.instance.ID] = append(a.servers[c.instance.ID], servers[i].ID)
		}
	}
}

func sortedZones(members []Member) []string {
	var out []string
	for i := range members {
		if !slices.Contains(out, members[i].Zone) {
			out = append(out, members[i].Zone)
		}
	}
	slices.Sort(out)
	return out
}

func serverIndexesInZone(servers []Member, zone string) []int {
	var out []int
	for i := range servers {
		if servers[i].Zone == zone {
			out = append(out, i)
		}
	}
	return out
}
