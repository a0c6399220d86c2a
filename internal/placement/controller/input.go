package controller

import (
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/demand"
	"github.com/cicadawall/cicadawall/internal/placement"
)

// defaultCapacity is assumed for an engine that reports no batch size, in requests.
const defaultCapacity = 16

// settle drops the pending loads that the engines show as done, that the declarations no longer want or that took too long.
func (c *Controller) settle(engines []observed, snapshot *declaration.Snapshot, now time.Time) {
	for id, p := range c.pending {
		i := slices.IndexFunc(engines, func(o observed) bool { return o.entry.Id == id })
		expired := now.Sub(p.since) > reissueFor || !snapshot.Usable(p.move.Load)
		if i < 0 || expired || engines[i].leaving() || done(&engines[i], p.move) {
			delete(c.pending, id)
		}
	}
}

// done reports whether the engine shows the state that the move states.
func done(o *observed, move placement.Move) bool {
	return o.shows(move.Load) && (move.Unload == none || !o.shows(move.Unload))
}

// withdrawn reports whether operators declared that the version is withdrawn. A version that no declaration names is not.
func withdrawn(snapshot *declaration.Snapshot, id declaration.VersionID) bool {
	version, ok := snapshot.Version(id)
	return ok && version.State == api.VersionWithdrawn
}

// input returns what the decision needs.
func (c *Controller) input(engines []observed, snapshot *declaration.Snapshot, now time.Time) placement.Input {
	total := c.opts.Demand(now)
	in := placement.Input{LoadsAllowed: loadsPerRound}
	if now.Before(c.weightsAt) {
		in.LoadsAllowed = 0
	}
	for _, id := range snapshot.Versions() {
		if d, ok := c.demandOf(id, snapshot, total); ok {
			in.Demands = append(in.Demands, d)
		}
	}
	for i := range engines {
		in.Engines = append(in.Engines, c.engine(&engines[i], snapshot, total))
	}
	return in
}

// demandOf returns the demand for a version. A usable version keeps a replica without demand. A quarantined one keeps what
// nothing else needs, because its quarantine may end; a withdrawn one has no demand and is unloaded.
func (c *Controller) demandOf(id declaration.VersionID, snapshot *declaration.Snapshot, total []demand.Concurrent) (placement.Demand, bool) {
	if snapshot.Usable(id) {
		concurrent := c.forecast.Observe(id, requests(total, id))
		return placement.Demand{Version: id, Concurrent: concurrent, MinReplicas: 1}, true
	}
	c.forecast.Forget(id)
	return placement.Demand{Version: id}, !withdrawn(snapshot, id)
}

func requests(total []demand.Concurrent, id declaration.VersionID) float64 {
	for _, t := range total {
		if t.Version == id {
			return t.Requests
		}
	}
	return 0
}

// engine returns the engine with its pending move applied. Versions that no declaration names, and withdrawn ones whose
// requests still run, keep their slots and are left alone.
func (c *Controller) engine(o *observed, snapshot *declaration.Snapshot, total []demand.Concurrent) placement.Engine {
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
	move := c.pending[o.entry.Id].move
	add := func(id declaration.VersionID, loading bool) {
		_, declared := snapshot.Version(id)
		if !declared || withdrawn(snapshot, id) && requests(total, id) > 0 {
			e.Slots--
			return
		}
		if id != move.Unload {
			e.Loaded = append(e.Loaded, placement.Loaded{Version: id, Loading: loading, InFlight: o.load.Running})
		}
	}
	for _, v := range o.load.Versions {
		add(declaration.VersionID{Model: v.Model, Version: v.Version}, false)
	}
	for _, v := range o.load.Loading {
		add(declaration.VersionID{Model: v.Model, Version: v.Version}, true)
	}
	if move.Load != none && !o.shows(move.Load) {
		add(move.Load, true)
	}
	return e
}
