package migration

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/storepos"
)

// Guards against an instance that takes a version out of service because a peer that lags still reports its rollback, although the
// version was ordered again and completed. The peers' reports and the instance's own events arrive in any order.
func TestOldRollbackDoesNotReturn(t *testing.T) {
	events := []func(table *Table){
		func(table *Table) {
			table.AddVersionRecord(service, VersionRecord{Version: "v2", Revision: storepos.At(0, 11), Withdrawn: true})
		},
		func(table *Table) { table.AddOrder(ordered("v2", 20), 0, origin) },
		func(table *Table) {
			table.ApplyStatus(Status{Service: service, Target: "v2", State: StateCompleted, Revision: storepos.At(0, 25)})
		},
		func(table *Table) { table.AddOrder(ordered("v3", 30), 0, origin) },
		func(table *Table) {
			table.ApplyStatus(Status{Service: service, Target: "v3", State: StateRolledBack, Revision: storepos.At(0, 31)})
		},
	}
	for first := range events {
		for step := range len(events) - 1 {
			table := NewTable(0.15)
			for n := range events {
				events[(first+n*(step+1))%len(events)](table)
			}
			got := table.Choose(service, "session", false, origin).Withdrawn
			if diff := cmp.Diff([]string{"v3"}, got); diff != "" {
				t.Errorf("withdrawn versions, from event %d in steps of %d (-want +got):\n%s", first, step+1, diff)
			}
		}
	}
}

// Guards against a version that a peer found bad and that receives requests again at instances that only know of its order, because the
// operator replaced the order before the rollback was recorded.
func TestUnrecordedRollbackIsExchanged(t *testing.T) {
	finder, other := NewTable(0.15), NewTable(0.15)
	for _, table := range []*Table{finder, other} {
		table.AddOrder(ordered("v2", 10), 0, origin)
	}
	finder.MarkSuspect(ordered("v2", 10))
	for _, table := range []*Table{finder, other} {
		table.AddOrder(ordered("v3", 20), 0, origin)
	}
	for _, view := range finder.Views(origin) {
		for _, record := range view.Versions {
			other.AddVersionRecord(service, record)
		}
	}
	if withdrawn := other.Choose(service, "session", false, origin).Withdrawn; !slices.Contains(withdrawn, "v2") {
		t.Errorf("withdrawn versions are %v, want v2 among them", withdrawn)
	}
}

// Guards against a version that was found bad and may be used again, because the operator ordered another one before the rollback was recorded, but after the
// running state was.
func TestSuspectVersionOfReplacedOrderStaysWithdrawn(t *testing.T) {
	table := NewTable(0.1)
	first := ordered("v2", 10)
	table.AddOrder(first, 0, time.Unix(0, 0))
	table.ApplyStatus(Status{Service: service, Target: "v2", State: StateRunning, Revision: storepos.At(0, 11)})
	table.MarkSuspect(first)
	table.AddOrder(ordered("v3", 20), 0, time.Unix(1, 0))
	if preference := table.Choose(service, "", true, time.Unix(2, 0)); !slices.Contains(preference.Withdrawn, "v2") {
		t.Errorf("v2 was found bad and may serve requests: %+v", preference)
	}
}
