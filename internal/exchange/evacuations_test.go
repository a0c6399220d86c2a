package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/storepos"
)

// Guards against an instance that starts while the store is unavailable and uses the configuration and the servers of a peer, but not the
// evacuations that the peer knows, and against an end of an evacuation that is not passed on.
func TestEvacuationsAreToldToNewInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		knowing := n.add("knowing", false)
		knowing.AdoptConfiguration([]byte("7"), "store")
		knowing.Evacuations.Begin("zone-a", storepos.At(1, 3))
		knowing.Evacuations.EndMissing([]string{"zone-a"}, storepos.At(1, 4), time.Now())
		ignorant := n.add("ignorant", true)
		ignorant.AdoptConfiguration([]byte("7"), "store")
		late := n.add("late", true, "ignorant")
		round(t, late)
		if late.Evacuations.Known() {
			t.Error("a peer that knows no evacuations counts as one that does")
		}
		late.PutPeer(knowing.Identity)
		round(t, late)
		if late.Configurations.Version() != 7 || !late.Evacuations.Known() || !late.Evacuations.View().Evacuated("zone-a") {
			t.Errorf("version %d, evacuations %+v", late.Configurations.Version(), late.Evacuations.Records())
		}
		<-time.After(time.Second)
		knowing.Evacuations.End("zone-a", storepos.At(1, 5), time.Now())
		endedAt := time.Now()
		<-time.After(time.Second)
		round(t, knowing)
		if view := late.Evacuations.View(); view.Evacuated("zone-a") || len(view.EndsAfter(endedAt.Add(-1))) != 1 ||
			len(view.EndsAfter(endedAt)) != 0 {
			t.Errorf("after the end: %+v", late.Evacuations.Records())
		}
	})
}
