package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
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
func Assign(instances, servers []Member, size int) Assignment {
	result := Assignment{servers: make(map[string][]string, len(instances))}
	if len(servers) == 0 {
		return result
	}
	ordered := slices.Clone(instances)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	load := make([]int, len(servers))
	size = min(size, len(servers))
	for _, instance := range ordered {
		local := zoneIndexes(servers, instance.Zone, true)
		limit := bounded(countZone(ordered, instance.Zone)*min(size, len(local)), len(local))
		result.servers[instance.ID] = take(instance, servers, local, load, size, limit)
	}
	limit := bounded(len(ordered)*size, len(servers))
	for _, instance := range ordered {
		have := result.servers[instance.ID]
		if len(have) >= size {
			continue
		}
		remote := zoneIndexes(servers, instance.Zone, false)
		result.servers[instance.ID] = append(have, take(instance, servers, remote, load, size-len(have), limit)...)
	}
	return result
}

// take returns the count servers with the highest rendezvous weight, those below the limit first, and adds to the load.
func take(instance Member, servers []Member, among []int, load []int, count, limit int) []string {
	type weighted struct {
		server int
		weight uint64
		full   int
	}
	ranked := make([]weighted, 0, len(among))
	for _, i := range among {
		w := weighted{server: i, weight: rendezvous(instance.ID, servers[i].ID)}
		if load[i] >= limit {
			w.full = load[i]
		}
		ranked = append(ranked, w)
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(a.full, b.full), cmp.Compare(b.weight, a.weight))
	})
	var ids []string
	for _, w := range ranked[:min(count, len(ranked))] {
		load[w.server]++
		ids = append(ids, servers[w.server].ID)
	}
	return ids
}

// bounded is the mean number of links for each server, rounded up. With a slack of 15% some servers had no instance; without
// it about three times as many links move when an instance comes or goes, still below 1% of all.
func bounded(links, servers int) int {
	if servers == 0 {
		return 0
	}
	return (links + servers - 1) / servers
}

func rendezvous(instance, server string) uint64 {
	var buf [128]byte
	key := append(buf[:0], instance...)
	key = append(key, 0)
	key = append(key, server...)
	return xxhash.Sum64(key)
}

func zoneIndexes(servers []Member, zone string, own bool) []int {
	var out []int
	for i := range servers {
		if (servers[i].Zone == zone) == own {
			out = append(out, i)
		}
	}
	return out
}

func countZone(members []Member, zone string) int {
	count := 0
	for i := range members {
		if members[i].Zone == zone {
			count++
		}
	}
	return count
}
