package controller

import (
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/demand"
	"github.com/cicadawall/cicadawall/internal/placement"
)

// defaultCapacity is the number of concurrent requests assumed for an engine that reports no batch size.
const defaultCapacity = 16

// prunePendingLoads drops the pending loads that the engine reports, that the declarations no longer permit or that took too
// long, and those of engines that are leaving or absent.
func (c *Controller) prunePendingLoads(engines []observedEngine, snapshot *declaration.Snapshot, now time.Time) {
	for id, p := range c.pendingLoads {
		i := slices.IndexFunc(engines, func(o observedEngine) bool { return o.entry.Id == id })
		expired := now.Sub(p.grantedAt) > reissueTimeout || !snapshot.Usable(p.move.Load)
		if i < 0 || expired || engines[i].leaving() || moveObserved(&engines[i], p.move) {
			delete(c.pendingLoads, id)
		}
	}
}

// moveObserved reports whether the engine has or is loading the version to load and has unloaded the other.
func moveObserved(o *observedEngine, move placement.Move) bool {
	return o.hasOrLoads(move.Load) && (move.Unload == noVersion || !o.hasOrLoads(move.Unload))
}

// isWithdrawn reports whether operators declared the version as withdrawn. An undeclared version is not withdrawn.
func isWithdrawn(snapshot *declaration.Snapshot, id declaration.VersionID) bool {
	version, ok := snapshot.Version(id)
	return ok && version.State == api.VersionWithdrawn
}

// placementInput returns the input of the placement decision.
func (c *Controller) placementInput(engines []observedEngine, snapshot *declaration.Snapshot, now time.Time) placement.Input {
	loads := c.opts.Demand(now)
	in := placement.Input{LoadsAllowed: maxLoadsPerRound}
	if now.Before(c.weightsRetryAt) {
		in.LoadsAllowed = 0
	}
	for _, id := range snapshot.Versions() {
		if d, ok := c.demandOf(id, snapshot, loads); ok {
			in.Demands = append(in.Demands, d)
		}
	}
	for i := range engines {
		in.Engines = append(in.Engines, c.placementEngine(&engines[i], snapshot, loads))
	}
	return in
}

// demandOf returns the demand for a version. A usable version keeps one replica without demand. A quarantined version keeps
// the replicas whose slots no other version needs, because its quarantine may end. A withdrawn version has no demand and is
// unloaded.
func (c *Controller) demandOf(id declaration.VersionID, snapshot *declaration.Snapshot, loads []demand.VersionLoad) (placement.Demand, bool) {
	if snapshot.Usable(id) {
		concurrent := c.forecast.Observe(id, concurrentRequests(loads, id))
		return placement.Demand{Version: id, ConcurrentRequests: concurrent, MinReplicas: 1}, true
	}
	c.forecast.Forget(id)
	return placement.Demand{Version: id}, !isWithdrawn(snapshot, id)
}

func concurrentRequests(loads []demand.VersionLoad, id declaration.VersionID) float64 {
	for _, t := range loads {
		if t.Version == id {
			return t.ConcurrentRequests
		}
	}
	return 0
}

// placementEngine returns the engine's state with its pending move applied. Undeclared versions, and withdrawn versions with
// requests in flight, keep their slots and are not moved.
func (c *Controller) placementEngine(o *observedEngine, snapshot *declaration.Snapshot, loads []demand.VersionLoad) placement.Engine {
	e := placement.Engine{
		ID:       o.entry.Id,
		Zone:     o.entry.AvailabilityZone,
		Slots:    o.load.Slots,
		Capacity: defaultCapacity,
		Leaving:  o.leaving(),
	}
	if o.load.Capacity > 0 {
		e.Capacity = float64(o.load.Capacity)
	}
	if e.Slots == 0 {
		e.Slots = max(1, len(o.load.Versions)+len(o.load.Loading))
	}
	move := c.pendingLoads[o.entry.Id].move
	add := func(id declaration.VersionID, loading bool) {
		_, declared := snapshot.Version(id)
		if !declared || isWithdrawn(snapshot, id) && concurrentRequests(loads, id) > 0 {
			e.Slots--
			return
		}
		if id != move.Unload {
			e.LoadedVersions = append(e.LoadedVersions, placement.LoadedVersion{Version: id, Loading: loading, InFlight: o.load.Running})
		}
	}
	for _, v := range o.load.Versions {
		add(declaration.VersionID{Model: v.Model, Version: v.Version}, false)
	}
	for _, v := range o.load.Loading {
		add(declaration.VersionID{Model: v.Model, Version: v.Version}, true)
	}
	if move.Load != noVersion && !o.hasOrLoads(move.Load) {
		add(move.Load, true)
	}
	return e
}
