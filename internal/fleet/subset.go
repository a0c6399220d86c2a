package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/routing"
)

// fingerprint identifies the inputs of the assignment. The assignment is computed only when they change: at 410 instances
// and 1,100 servers it costs far more than a poll may.
func fingerprint(members []routing.Member, known map[string]api.InstanceEntry) uint64 {
	lines := make([]string, 0, len(members)+len(known))
	for _, member := range members {
		lines = append(lines, "instance "+member.ID+" "+member.Zone)
	}
	for id, entry := range known {
		line := "server " + id + " " + entry.AvailabilityZone
		for _, version := range entry.Versions {
			line += " " + version.Model + "@" + version.Version
		}
		lines = append(lines, line)
	}
	sort.Strings(lines)
	hash := xxhash.New()
	for _, line := range lines {
		_, _ = hash.WriteString(line + "\n")
	}
	return hash.Sum64()
}

// subset returns the servers that this instance uses: all plain services, all engines whose versions the platform does not
// know, and of each version a bounded number of engines. The load reports that an instance reads thus stay bounded.
func (f *Fleet) subset() []api.InstanceEntry {
	var kept []api.InstanceEntry
	byVersion := map[api.LoadedVersion][]routing.Member{}
	for _, entry := range f.known {
		if entry.Kind != api.KindEngine || len(entry.Versions) == 0 || f.opts.SubsetSize == 0 {
			kept = append(kept, entry)
			continue
		}
		member := routing.Member{ID: entry.Id, Zone: entry.AvailabilityZone}
		for _, version := range entry.Versions {
			byVersion[version] = append(byVersion[version], member)
		}
	}
	members := f.members()
	if print := fingerprint(members, f.known); print != f.assignedFor {
		f.assigned = f.assign(members, byVersion)
		f.assignedFor = print
	}
	for _, id := range f.assigned {
		kept = append(kept, f.known[id])
	}
	return kept
}

// assign returns the engines of this instance's subsets, each once.
func (f *Fleet) assign(members []routing.Member, byVersion map[api.LoadedVersion][]routing.Member) []string {
	chosen := map[string]bool{}
	for _, servers := range byVersion {
		sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
		for _, id := range routing.Assign(members, servers, f.opts.SubsetSize).ServersFor(f.opts.Instance) {
			chosen[id] = true
		}
	}
	ids := make([]string, 0, len(chosen))
	for id := range chosen {
		ids = append(ids, id)
	}
	return ids
}

// members returns the instances, always including this one.
func (f *Fleet) members() []routing.Member {
	self := routing.Member{ID: f.opts.Instance, Zone: f.opts.AvailabilityZone}
	var members []routing.Member
	if f.opts.Members != nil {
		members = f.opts.Members()
	}
	for _, member := range members {
		if member.ID == self.ID {
			return members
		}
	}
	return append(members, self)
}
