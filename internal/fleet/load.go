package fleet

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/table"
)

// loadConcurrency bounds the load reports read at the same time.
const loadConcurrency = 8

// PollLoads reads the load of engines whose last report is older than the interval. Engines that answer requests send
// their load with each answer, so mostly idle ones are asked.
func (f *Fleet) PollLoads(ctx context.Context) error {
	now := time.Now()
	stale := f.opts.Servers.Select(func(row *table.Server) bool {
		return row.Entry.Kind == api.KindEngine && now.Sub(row.ReportedAt) >= f.opts.LoadInterval
	})
	var group errgroup.Group
	group.SetLimit(loadConcurrency)
	for i := range stale {
		server := stale[i]
		group.Go(func() error {
			f.readLoad(ctx, server)
			return nil
		})
	}
	return group.Wait()
}

func (f *Fleet) readLoad(ctx context.Context, server table.Server) {
	load, at, err := f.opts.Loads.Load(ctx, server)
	if err != nil {
		now := time.Now()
		f.opts.Servers.Update(server.Entry.Id, func(row *table.Server) {
			row.ConsecutiveFailures++
			row.LastFailure = now
		})
		f.opts.Log.Debug("load report failed", "backend_server", server.Entry.Id, "error", err.Error())
		return
	}
	f.opts.Servers.ObserveLoad(server.Entry.Id, load, at)
}
