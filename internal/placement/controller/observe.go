package controller

import (
	"cmp"
	"context"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
)

// readConcurrency bounds the number of load reports that are read at the same time.
const readConcurrency = 8

// observedEngine is the state of one engine as observed in this round.
type observedEngine struct {
	entry api.InstanceEntry
	load  api.EngineLoad
}

func (o *observedEngine) leaving() bool {
	return o.entry.State == api.InstanceLeaving || o.load.Draining
}

// serves reports whether the engine accepts requests for the version.
func (o *observedEngine) serves(id declaration.VersionID) bool {
	return containsVersion(o.load.Versions, id)
}

// hasOrLoads reports whether the engine has the version or is loading it.
func (o *observedEngine) hasOrLoads(id declaration.VersionID) bool {
	return o.serves(id) || containsVersion(o.load.Loading, id)
}

func containsVersion(versions []api.LoadedVersion, id declaration.VersionID) bool {
	return slices.Contains(versions, api.LoadedVersion{Model: id.Model, Version: id.Version})
}

// observe reads the instance list and the load reports of the engines on it. It fails if the list lost more than half of its
// engines since the last round, or if more than half of them do not respond: the observation is then more likely to be wrong
// than the engines to have failed.
func (c *Controller) observe(ctx context.Context) ([]observedEngine, error) {
	entries, err := c.opts.Instances.List(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read the platform's instance list")
	}
	entries = slices.DeleteFunc(slices.Clone(entries), func(e api.InstanceEntry) bool { return e.Kind != api.KindEngine })
	if len(entries)*2 < c.knownEngines {
		return nil, errors.Errorf("the instance list shows only %d of %d known engines", len(entries), c.knownEngines)
	}
	engines := c.readLoads(ctx, entries)
	if len(engines)*2 < len(entries) {
		return nil, errors.Errorf("only %d of %d engines report their load", len(engines), len(entries))
	}
	c.knownEngines = len(entries)
	return engines, nil
}

// readLoads returns the engines that responded, ordered by id.
func (c *Controller) readLoads(ctx context.Context, entries []api.InstanceEntry) []observedEngine {
	loads := make([]*observedEngine, len(entries))
	var group errgroup.Group
	group.SetLimit(readConcurrency)
	for i, entry := range entries {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			load, err := c.opts.Engines.Load(ctx, entry)
			if err != nil {
				c.opts.Log.Debug("engine does not report its load", "backend_server", entry.Id, "error", err.Error())
				return nil
			}
			loads[i] = &observedEngine{entry: entry, load: load}
			return nil
		})
	}
	_ = group.Wait()
	var engines []observedEngine
	for _, o := range loads {
		if o != nil {
			engines = append(engines, *o)
		}
	}
	slices.SortFunc(engines, func(a, b observedEngine) int { return cmp.Compare(a.entry.Id, b.entry.Id) })
	return engines
}
