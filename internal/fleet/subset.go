package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/routing"
)

// fingerprint returns a hash of the inputs of the assignment. The assignment is computed only when they change, because at
// 410 instances and 1,100 servers it costs far more than a poll may.
func fingerprint(members []routing.Member, servers map[string]api.InstanceEntry) uint64 {
	lines := make([]string, 0, len(members)+len(servers))
	for _, member := range members {
		lines = append(lines, "instance "+member.ID+" "+member.Zone)
	}
	for id, entry := range servers {
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

// subsetEntries returns the servers that this instance uses: all plain services, all engines whose versions the platform
// does not know, and for each version at most SubsetSize engines. This bounds the number of load reports that an instance
// reads.
func (f *Fleet) subsetEntries() []api.InstanceEntry {
	var entries []api.InstanceEntry
	byVersion := map[api.LoadedVersion][]routing.Member{}
	for _, entry := range f.knownServers {
		if entry.Kind != api.KindEngine || len(entry.Versions) == 0 || f.opts.SubsetSize == 0 {
			entries = append(entries, entry)
			continue
		}
		member := routing.Member{ID: entry.Id, Zone: entry.AvailabilityZone}
		for _, version := range entry.Versions {
			byVersion[version] = append(byVersion[version], member)
		}
	}
	members := f.members()
	if inputsHash := fingerprint(members, f.knownServers); inputsHash != f.assignedFingerprint {
		f.assignedIDs = f.assign(members, byVersion)
		f.assignedFingerprint = inputsHash
	}
	for _, id := range f.assignedIDs {
		entries = append(entries, f.knownServers[id])
	}
	return entries
}

// assign returns the IDs of the engines in this instance's subsets of all versions, each ID once.
func (f *Fleet) assign(members []routing.Member, byVersion map[api.LoadedVersion][]routing.Member) []string {
	assigned := map[string]bool{}
	for _, engines := range byVersion {
		sort.Slice(engines, func(i, j int) bool { return engines[i].ID < engines[j].ID })
		for _, id := range routing.Assign(members, engines, f.opts.SubsetSize).ServersFor(f.opts.Instance) {
			assigned[id] = true
		}
	}
	ids := make([]string, 0, len(assigned))
	for id := range assigned {
		ids = append(ids, id)
	}
	return ids
}

// members returns the registered instances and this one, also if it is not registered.
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
