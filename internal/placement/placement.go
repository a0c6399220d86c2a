// Package placement decides which versions the engines load: from the demand for each version, the capacity of the engines
// and their warm prefixes, within the rate of the weight store. It is pure. The caller states the result as desired
// state, observes the engines and decides again.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

const (
	// growAbove is the share of the replicas' capacity above which a version gets another replica.
	growAbove = 0.80
	// shrinkBelow is the share of the capacity of one replica fewer below which a replica is surplus. The gap to growAbove
	// keeps noise in the demand from moving versions to and fro.
	shrinkBelow = 0.60
	// movesShare bounds the engines that load at a time, as a share of all engines.
	movesShare = 0.125
)

// Loaded is a version on an engine.
type Loaded struct {
	Version declaration.VersionID
	// Loading is true until the engine reports the version as loaded.
	Loading bool
	// InFlight is the number of requests, WarmBlocks the number of cached prompt blocks in recent use.
	InFlight   int
	WarmBlocks int
}

// Engine is a backend server that can load versions.
type Engine struct {
	ID   string
	Zone string
	// Slots is the number of versions that fit.
	Slots int
	// Capacity is the number of concurrent requests that the engine serves within the targets.
	Capacity float64
	Leaving  bool
	Loaded   []Loaded
}

// Demand is what is wanted of one usable version.
type Demand struct {
	Version declaration.VersionID
	// Concurrent is the expected number of concurrent requests when a load that starts now has ended.
	Concurrent float64
	// MinReplicas keeps the version loaded without demand.
	MinReplicas int
}

// Input is the state for one decision.
type Input struct {
	Engines []Engine
	// Demands lists every usable version. Any other version is unloaded.
	Demands []Demand
	// LoadsAllowed is the number of loads that the weight store's rate allows now.
	LoadsAllowed int
}

// Move changes one engine: it unloads a version, loads one, or replaces one by the other.
type Move struct {
	Engine string
	Unload declaration.VersionID
	Load   declaration.VersionID
}

// Plan is the result of one decision.
type Plan struct {
	Moves []Move
	// Short lists versions that have fewer replicas than wanted after the moves.
	Short []declaration.VersionID
}

// Decide returns the moves of one round. With constant demand repeated rounds end without moves: a load happens only for a version
// that lacks a replica and never takes one from a version that would then lack one.
func Decide(in Input) Plan {
	s := newState(in)
	s.unloadUnusable()
	budget := min(in.LoadsAllowed, s.loadLimit())
	for ; budget > 0; budget-- {
		if !s.loadOne() {
			break
		}
	}
	return Plan{Moves: s.moves, Short: s.short()}
}

// state is the input with the moves of this round applied.
type state struct {
	engines  []Engine
	demands  []Demand
	wanted   map[declaration.VersionID]int
	replicas map[declaration.VersionID]int
	zones    map[zoneVersion]int
	touched  map[string]bool
	moves    []Move
}

type zoneVersion struct {
	zone    string
	version declaration.VersionID
}

func newState(in Input) *state {
	s := &state{
		demands: in.Demands, wanted: map[declaration.VersionID]int{}, replicas: map[declaration.VersionID]int{},
		zones: map[zoneVersion]int{}, touched: map[string]bool{},
	}
	for _, e := range in.Engines {
		if e.Leaving || e.Slots <= 0 {
			continue
		}
		e.Loaded = slices.Clone(e.Loaded)
		s.engines = append(s.engines, e)
		for _, l := range e.Loaded {
			s.replicas[l.Version]++
			s.zones[zoneVersion{e.Zone, l.Version}]++
		}
	}
	slices.SortFunc(s.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	perSlot := s.capacityPerSlot()
	for _, d := range in.Demands {
		s.wanted[d.Version] = wanted(d, s.replicas[d.Version], perSlot)
	}
	return s
}

// wanted returns the number of replicas, with hysteresis around the current one.
func wanted(d Demand, current int, perSlot float64) int {
	if perSlot <= 0 {
		return d.MinReplicas
	}
	least := int(math.Ceil(d.Concurrent / (perSlot * growAbove)))
	most := max(least, int(math.Floor(d.Concurrent/(perSlot*shrinkBelow)))+1)
	return max(d.MinReplicas, min(most, max(least, current)))
}

func (s *state) capacityPerSlot() float64 {
	sum, slots := 0.0, 0
	for _, e := range s.engines {
		sum += e.Capacity
		slots += e.Slots
	}
	return sum / math.Max(1, float64(slots))
}

func (s *state) loadLimit() int {
	limit := max(1, int(float64(len(s.engines))*movesShare))
	for _, e := range s.engines {
		if slices.ContainsFunc(e.Loaded, func(l Loaded) bool { return l.Loading }) {
			limit--
		}
	}
	return limit
}

func (s *state) unloadUnusable() {
	for i := range s.engines {
		e := &s.engines[i]
		for _, l := range slices.Clone(e.Loaded) {
			if _, ok := s.wanted[l.Version]; ok {
				continue
			}
			s.remove(e, l.Version)
			s.moves = append(s.moves, Move{Engine: e.ID, Unload: l.Version})
		}
	}
}

// loadOne makes the move for the version that lacks the largest share of its replicas and has an engine to go to.
func (s *state) loadOne() bool {
	lacking := slices.Clone(s.demands)
	slices.SortStableFunc(lacking, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(s.cover(a.Version), s.cover(b.Version)), cmp.Compare(b.Concurrent, a.Concurrent))
	})
	for _, d := range lacking {
		if s.replicas[d.Version] >= s.wanted[d.Version] {
			continue
		}
		if engine, victim, ok := s.target(d.Version); ok {
			s.apply(engine, victim, d.Version)
			return true
		}
	}
	return false
}

// cover is the share of the wanted replicas that exist.
func (s *state) cover(version declaration.VersionID) float64 {
	return float64(s.replicas[version]) / math.Max(1, float64(s.wanted[version]))
}

func (s *state) short() []declaration.VersionID {
	var out []declaration.VersionID
	for _, d := range s.demands {
		if s.replicas[d.Version] < s.wanted[d.Version] {
			out = append(out, d.Version)
		}
	}
	return out
}
