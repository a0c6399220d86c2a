package table

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Guards against requests that are dropped from the load estimate because a lagging report arrives after they were sent.
func TestRequestsSentAfterReportStayCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := NewServers()
		servers.Sync([]api.InstanceEntry{{Id: "e", Kind: api.KindEngine}})
		servers.BeginAttempt("e")
		<-time.After(time.Second)
		reportedAt := time.Now()
		<-time.After(time.Second)
		servers.BeginAttempt("e")
		servers.BeginAttempt("e")
		servers.ObserveLoad("e", api.EngineLoad{Running: 1}, reportedAt)
		row, _ := servers.Get("e")
		if row.SentSinceReport != 2 || row.InFlight != 3 {
			t.Errorf("%d requests sent since the report and %d in flight, want 2 and 3", row.SentSinceReport, row.InFlight)
		}
		servers.ObserveLoad("e", api.EngineLoad{Running: 9}, reportedAt.Add(-time.Second))
		if row, _ := servers.Get("e"); row.Load.Running != 1 {
			t.Error("an older report replaced a newer one")
		}
	})
}
