package placement

import (
	"slices"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

// price orders the engines that could load a version; a smaller price is better. The fields are compared in order.
type price struct {
	sameZone int // replicas of the version in the engine's zone
	evicts   int // 1 if another version must be unloaded
	starved  int // 1 if the unloaded version keeps fewer replicas than wanted
	inFlight int
	warm     int
}

func (p price) less(q price) bool {
	a := [...]int{p.starved, p.sameZone, p.evicts, p.inFlight, p.warm}
	b := [...]int{q.starved, q.sameZone, q.evicts, q.inFlight, q.warm}
	return slices.Compare(a[:], b[:]) < 0
}

// target returns the engine for another replica of the version and the version to unload there, zero if there is room.
func (s *state) target(version declaration.VersionID) (*Engine, declaration.VersionID, bool) {
	var engine *Engine
	var victim declaration.VersionID
	var best price
	offer := func(e *Engine, unload declaration.VersionID, p price) {
		if engine == nil || p.less(best) {
			engine, victim, best = e, unload, p
		}
	}
	for i := range s.engines {
		e := &s.engines[i]
		if s.touched[e.ID] || holds(e, version) {
			continue
		}
		sameZone := s.zones[zoneVersion{e.Zone, version}]
		if len(e.Loaded) < e.Slots {
			offer(e, declaration.VersionID{}, price{sameZone: sameZone})
			continue
		}
		for _, l := range e.Loaded {
			if l.Loading || !s.mayGive(l.Version, version) {
				continue
			}
			p := price{sameZone: sameZone, evicts: 1, inFlight: l.InFlight, warm: l.WarmBlocks}
			if s.replicas[l.Version] <= s.wanted[l.Version] {
				p.starved = 1
			}
			offer(e, l.Version, p)
		}
	}
	return engine, victim, engine != nil
}

// mayGive reports whether one version may lose a replica to another: if it has a surplus, or, when there are too few slots
// for all, if it is still at least as well covered as the other after the move. This cannot go to and fro, and it keeps
// the last replica, because a version without replicas is covered less than any other.
func (s *state) mayGive(giver, taker declaration.VersionID) bool {
	if s.replicas[giver] > s.wanted[giver] {
		return true
	}
	giverAfter := float64(s.replicas[giver]-1) / float64(max(1, s.wanted[giver]))
	takerAfter := float64(s.replicas[taker]+1) / float64(max(1, s.wanted[taker]))
	return giverAfter >= takerAfter
}

func (s *state) apply(e *Engine, unload, load declaration.VersionID) {
	if unload != (declaration.VersionID{}) {
		s.remove(e, unload)
	}
	e.Loaded = append(e.Loaded, Loaded{Version: load, Loading: true})
	s.replicas[load]++
	s.zones[zoneVersion{e.Zone, load}]++
	s.touched[e.ID] = true
	s.moves = append(s.moves, Move{Engine: e.ID, Unload: unload, Load: load})
}

func (s *state) remove(e *Engine, version declaration.VersionID) {
	e.Loaded = slices.DeleteFunc(e.Loaded, func(l Loaded) bool { return l.Version == version })
	s.replicas[version]--
	s.zones[zoneVersion{e.Zone, version}]--
}

func holds(e *Engine, version declaration.VersionID) bool {
	return slices.ContainsFunc(e.Loaded, func(l Loaded) bool { return l.Version == version })
}
