package fleet

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/table"
)

// loadConcurrency is the largest number of load reports that are read concurrently.
const loadConcurrency = 8

// PollLoads reads the load of the engines whose last report is not more recent than the load interval. Engines send their
// load with each answer to a request, so mostly idle engines are polled.
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
	load, reportedAt, err := f.opts.Loads.Load(ctx, server)
	if err != nil {
		now := time.Now()
		f.opts.Servers.Update(server.Entry.Id, func(row *table.Server) {
			row.ConsecutiveFailures++
			row.LastFailure = now
		})
		f.opts.Log.Debug("load report could not be read", "backend_server", server.Entry.Id, "error", err.Error())
		return
	}
	f.opts.Servers.ObserveLoad(server.Entry.Id, load, reportedAt)
}
