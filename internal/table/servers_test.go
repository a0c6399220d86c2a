package table

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Guards against requests that vanish from the estimate because a lagging report arrived after they were sent.
func TestReportKeepsWhatItCannotContain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := NewServers()
		rows.Sync([]api.InstanceEntry{{Id: "e", Kind: api.KindEngine}})
		rows.Begin("e")
		<-time.After(time.Second)
		held := time.Now()
		<-time.After(time.Second)
		rows.Begin("e")
		rows.Begin("e")
		rows.ObserveLoad("e", api.EngineLoad{Running: 1}, held)
		row, _ := rows.Get("e")
		if row.SentSince != 2 || row.InFlight != 3 {
			t.Errorf("sent since %d, in flight %d, want 2 and 3", row.SentSince, row.InFlight)
		}
		rows.ObserveLoad("e", api.EngineLoad{Running: 9}, held.Add(-time.Second))
		if row, _ := rows.Get("e"); row.Load.Running != 1 {
			t.Error("an older report replaced a newer one")
		}
	})
}
