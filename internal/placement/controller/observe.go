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

// readConcurrency bounds the load reports read at the same time.
const readConcurrency = 8

// observed is one engine as it showed itself in this round.
type observed struct {
	entry api.InstanceEntry
	load  api.EngineLoad
}

func (o *observed) leaving() bool {
	return o.entry.State == api.InstanceLeaving || o.load.Draining
}

// ready reports whether the engine takes requests of the version.
func (o *observed) ready(id declaration.VersionID) bool { return contains(o.load.Versions, id) }

// shows reports whether the engine has the version or is loading it.
func (o *observed) shows(id declaration.VersionID) bool {
	return o.ready(id) || contains(o.load.Loading, id)
}

func contains(versions []api.LoadedVersion, id declaration.VersionID) bool {
	return slices.Contains(versions, api.LoadedVersion{Model: id.Model, Version: id.Version})
}

// observe reads the list and the load of every engine on it. It fails if the list lost more than half of its engines since
// the last round, or if more than half of them do not answer: then the view is more likely wrong than the engines.
func (c *Controller) observe(ctx context.Context) ([]observed, error) {
	entries, err := c.opts.Instances.List(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read the platform's instance list")
	}
	entries = slices.DeleteFunc(slices.Clone(entries), func(e api.InstanceEntry) bool { return e.Kind != api.KindEngine })
	if len(entries)*2 < c.known {
		return nil, errors.Errorf("the instance list shows %d of %d engines", len(entries), c.known)
	}
	engines := c.readLoads(ctx, entries)
	if len(engines)*2 < len(entries) {
		return nil, errors.Errorf("%d of %d engines report their load", len(engines), len(entries))
	}
	c.known = len(entries)
	return engines, nil
}

// readLoads returns the engines that answered, ordered by id.
func (c *Controller) readLoads(ctx context.Context, entries []api.InstanceEntry) []observed {
	loads := make([]*observed, len(entries))
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
			loads[i] = &observed{entry: entry, load: load}
			return nil
		})
	}
	_ = group.Wait()
	var engines []observed
	for _, o := range loads {
		if o != nil {
			engines = append(engines, *o)
		}
	}
	slices.SortFunc(engines, func(a, b observed) int { return cmp.Compare(a.entry.Id, b.entry.Id) })
	return engines
}
