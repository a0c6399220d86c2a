// Package placement decides which versions the engines load, based on the demand for each version, the capacity of the
// engines and their warm prefix caches, within the rate of the weight store. The decision has no side effects. The caller
// sends the result to the engines as desired state, observes them and decides again.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

const (
	// growUtilisation is the fraction of the replicas' capacity above which a version gets another replica.
	growUtilisation = 0.80
	// shrinkUtilisation is the fraction below which a replica is surplus, of the capacity that remains without that replica.
	// The gap to growUtilisation keeps noise in the demand from moving versions back and forth.
	shrinkUtilisation = 0.60
	// maxLoadingFraction bounds the engines that load at the same time, as a fraction of all engines.
	maxLoadingFraction = 0.125
)

// LoadedVersion is a version that an engine has loaded or is loading.
type LoadedVersion struct {
	Version declaration.VersionID
	// Loading is true until the engine reports that the version is loaded.
	Loading bool
	// InFlight is the number of in-flight requests, WarmBlocks the number of cached prompt blocks in recent use.
	InFlight   int
	WarmBlocks int
}

// Engine is a backend server that can load versions.
type Engine struct {
	ID   string
	Zone string
	// Slots is the number of versions that the engine can hold.
	Slots int
	// Capacity is the number of concurrent requests that the engine serves within the latency targets.
	Capacity       float64
	Leaving        bool
	LoadedVersions []LoadedVersion
}

// Demand is the demand for one version.
type Demand struct {
	Version declaration.VersionID
	// ConcurrentRequests is the number of concurrent requests expected at the time when a load that starts now is complete.
	ConcurrentRequests float64
	// MinReplicas is the number of replicas that stay loaded without demand.
	MinReplicas int
}

// Input is the state on which one decision is based.
type Input struct {
	Engines []Engine
	// Demands lists every version that may stay loaded. Any other version is unloaded.
	Demands []Demand
	// LoadsAllowed is the number of loads that the weight store's rate allows now.
	LoadsAllowed int
}

// Move changes one engine: it unloads a version, loads one, or replaces one by another.
type Move struct {
	Engine string
	Unload declaration.VersionID
	Load   declaration.VersionID
}

// Plan is the result of a decision.
type Plan struct {
	Moves []Move
	// ShortVersions lists the versions that have fewer replicas than wanted after the moves.
	ShortVersions []declaration.VersionID
}

// Decide returns the moves of one round. With constant demand, repeated rounds converge to a state without moves: a version is
// loaded only if it lacks a replica, and takes none from a version that would then be covered less than it.
func Decide(in Input) Plan {
	s := newState(in)
	s.unloadUnusable()
	budget := min(in.LoadsAllowed, s.loadBudget())
	for ; budget > 0; budget-- {
		if !s.loadOne() {
			break
		}
	}
	return Plan{Moves: s.moves, ShortVersions: s.shortVersions()}
}

// state is the input with the moves decided so far in this round.
type state struct {
	engines         []Engine
	demands         []Demand
	wantedReplicas  map[declaration.VersionID]int
	replicas        map[declaration.VersionID]int
	replicasInZone  map[zoneVersion]int
	loadedThisRound map[string]bool
	moves           []Move
}

type zoneVersion struct {
	zone    string
	version declaration.VersionID
}

func newState(in Input) *state {
	s := &state{
		demands: in.Demands, wantedReplicas: map[declaration.VersionID]int{}, replicas: map[declaration.VersionID]int{},
		replicasInZone: map[zoneVersion]int{}, loadedThisRound: map[string]bool{},
	}
	for _, e := range in.Engines {
		if e.Leaving || e.Slots <= 0 {
			continue
		}
		e.LoadedVersions = slices.Clone(e.LoadedVersions)
		s.engines = append(s.engines, e)
		for _, l := range e.LoadedVersions {
			s.replicas[l.Version]++
			s.replicasInZone[zoneVersion{e.Zone, l.Version}]++
		}
	}
	slices.SortFunc(s.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	capacityPerSlot := s.capacityPerSlot()
	for _, d := range in.Demands {
		s.wantedReplicas[d.Version] = replicasWanted(d, s.replicas[d.Version], capacityPerSlot)
	}
	return s
}

// replicasWanted returns the wanted number of replicas, with hysteresis around the current number.
func replicasWanted(d Demand, currentReplicas int, capacityPerSlot float64) int {
	if capacityPerSlot <= 0 {
		return d.MinReplicas
	}
	needed := int(math.Ceil(d.ConcurrentRequests / (capacityPerSlot * growUtilisation)))
	upperBound := max(needed, int(math.Floor(d.ConcurrentRequests/(capacityPerSlot*shrinkUtilisation)))+1)
	return max(d.MinReplicas, min(upperBound, max(needed, currentReplicas)))
}

func (s *state) capacityPerSlot() float64 {
	sum, slots := 0.0, 0
	for _, e := range s.engines {
		sum += e.Capacity
		slots += e.Slots
	}
	return sum / math.Max(1, float64(slots))
}

func (s *state) loadBudget() int {
	limit := max(1, int(float64(len(s.engines))*maxLoadingFraction))
	for _, e := range s.engines {
		if slices.ContainsFunc(e.LoadedVersions, func(l LoadedVersion) bool { return l.Loading }) {
			limit--
		}
	}
	return limit
}

func (s *state) unloadUnusable() {
	for i := range s.engines {
		e := &s.engines[i]
		for _, l := range slices.Clone(e.LoadedVersions) {
			if _, ok := s.wantedReplicas[l.Version]; ok {
				continue
			}
			s.removeReplica(e, l.Version)
			s.moves = append(s.moves, Move{Engine: e.ID, Unload: l.Version})
		}
	}
}

// loadOne adds the move for the version with the lowest coverage that lacks a replica and for which an engine is available.
func (s *state) loadOne() bool {
	byCoverage := slices.Clone(s.demands)
	slices.SortStableFunc(byCoverage, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(s.coverage(a.Version), s.coverage(b.Version)), cmp.Compare(b.ConcurrentRequests, a.ConcurrentRequests))
	})
	for _, d := range byCoverage {
		if s.replicas[d.Version] >= s.wantedReplicas[d.Version] {
			continue
		}
		if engine, evicted, ok := s.chooseEngine(d.Version); ok {
			s.applyMove(engine, evicted, d.Version)
			return true
		}
	}
	return false
}

// coverage returns the ratio of existing to wanted replicas.
func (s *state) coverage(version declaration.VersionID) float64 {
	return float64(s.replicas[version]) / math.Max(1, float64(s.wantedReplicas[version]))
}

func (s *state) shortVersions() []declaration.VersionID {
	var out []declaration.VersionID
	for _, d := range s.demands {
		if s.replicas[d.Version] < s.wantedReplicas[d.Version] {
			out = append(out, d.Version)
		}
	}
	return out
}
