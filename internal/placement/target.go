package placement

import (
	"slices"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

// moveCost ranks the engines that could load a version; lower is better. The method less defines the order of the fields.
type moveCost struct {
	replicasInZone int // replicas of the version in the engine's zone
	evicts         int // 1 if another version must be unloaded
	belowWanted    int // 1 if the unloaded version keeps fewer replicas than wanted
	inFlight       int
	warmBlocks     int
}

func (p moveCost) less(q moveCost) bool {
	a := [...]int{p.belowWanted, p.replicasInZone, p.evicts, p.inFlight, p.warmBlocks}
	b := [...]int{q.belowWanted, q.replicasInZone, q.evicts, q.inFlight, q.warmBlocks}
	return slices.Compare(a[:], b[:]) < 0
}

// chooseEngine returns the engine for another replica of the version and the version to unload there, which is zero if the
// engine has a free slot.
func (s *state) chooseEngine(version declaration.VersionID) (*Engine, declaration.VersionID, bool) {
	var engine *Engine
	var evicted declaration.VersionID
	var bestCost moveCost
	consider := func(e *Engine, unload declaration.VersionID, cost moveCost) {
		if engine == nil || cost.less(bestCost) {
			engine, evicted, bestCost = e, unload, cost
		}
	}
	for i := range s.engines {
		e := &s.engines[i]
		if s.loadedThisRound[e.ID] || hasVersion(e, version) {
			continue
		}
		inZone := s.replicasInZone[zoneVersion{e.Zone, version}]
		if len(e.LoadedVersions) < e.Slots {
			consider(e, declaration.VersionID{}, moveCost{replicasInZone: inZone})
			continue
		}
		for _, l := range e.LoadedVersions {
			if l.Loading || !s.mayReassign(l.Version, version) {
				continue
			}
			cost := moveCost{replicasInZone: inZone, evicts: 1, inFlight: l.InFlight, warmBlocks: l.WarmBlocks}
			if s.replicas[l.Version] <= s.wantedReplicas[l.Version] {
				cost.belowWanted = 1
			}
			consider(e, l.Version, cost)
		}
	}
	return engine, evicted, engine != nil
}

// mayReassign reports whether the version from may lose a replica to the version to: if it has a surplus, or, when there are
// too few slots for all versions, if its coverage after the move is at least that of the other. Versions therefore do not
// move back and forth, and the last replica stays, because a version without replicas has the lowest coverage.
func (s *state) mayReassign(from, to declaration.VersionID) bool {
	if s.replicas[from] > s.wantedReplicas[from] {
		return true
	}
	fromCoverage := float64(s.replicas[from]-1) / float64(max(1, s.wantedReplicas[from]))
	toCoverage := float64(s.replicas[to]+1) / float64(max(1, s.wantedReplicas[to]))
	return fromCoverage >= toCoverage
}

func (s *state) applyMove(e *Engine, unload, load declaration.VersionID) {
	if unload != (declaration.VersionID{}) {
		s.removeReplica(e, unload)
	}
	e.LoadedVersions = append(e.LoadedVersions, LoadedVersion{Version: load, Loading: true})
	s.replicas[load]++
	s.replicasInZone[zoneVersion{e.Zone, load}]++
	s.loadedThisRound[e.ID] = true
	s.moves = append(s.moves, Move{Engine: e.ID, Unload: unload, Load: load})
}

func (s *state) removeReplica(e *Engine, version declaration.VersionID) {
	e.LoadedVersions = slices.DeleteFunc(e.LoadedVersions, func(l LoadedVersion) bool { return l.Version == version })
	s.replicas[version]--
	s.replicasInZone[zoneVersion{e.Zone, version}]--
}

func hasVersion(e *Engine, version declaration.VersionID) bool {
	return slices.ContainsFunc(e.LoadedVersions, func(l LoadedVersion) bool { return l.Version == version })
}
