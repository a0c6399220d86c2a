package exchange

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/backend"
)

// leavingServers returns the backend servers of which peers should know that they leave.
func (e *Exchange) leavingServers(now time.Time) []api.GatewayLeaving {
	var encoded []api.GatewayLeaving
	for _, process := range e.Directory.RecentlyLeaving(now) {
		encoded = append(encoded, api.GatewayLeaving{
			Id: process.ID, Address: process.Address, StartedUnixMilli: process.StartedUnixMillis,
			AgeMillis: max(0, now.Sub(process.Since).Milliseconds()),
		})
	}
	return encoded
}

// mergeLeaving records the backend servers of which a peer says that they leave.
func (e *Exchange) mergeLeaving(reported []api.GatewayLeaving, now time.Time) {
	processes := make([]backend.LeavingProcess, 0, len(reported))
	for _, l := range reported {
		processes = append(processes, backend.LeavingProcess{
			Process: backend.Process{ID: l.Id, Address: l.Address, StartedUnixMillis: l.StartedUnixMilli},
			Since:   now.Add(-time.Duration(l.AgeMillis) * time.Millisecond),
		})
	}
	if len(processes) > 0 {
		e.Directory.MarkLeaving(processes, now)
	}
}
