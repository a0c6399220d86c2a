package e2e

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/cicadawall/cicadawall/internal/standin/modelserver"
	"github.com/cicadawall/cicadawall/internal/standin/rowstore"
)

// Guards against instances that are restarted one after the other while the store refuses all calls, and that serve nobody because the list of
// backend servers of their peers is not passed on.
func TestFleetRestartsInTurnWithoutStore(t *testing.T) {
	f := newFleet(t, 3)
	for _, i := range f.instances {
		// Without the store, an instance that starts is reached only by peers that knew it before.
		eventually(t, startTimeout, i.name+" knows its peers", func() bool { return f.hasMetric(i, "cicadawall_instances 3") })
	}
	f.store.SetFault(rowstore.FaultBusy)
	for _, i := range f.instances {
		f.restart(i)
		f.awaitReady(i)
		if got := f.send(i, http.MethodPost, "/buy/x", "restarted-"+i.name); got.status != http.StatusOK {
			t.Errorf("%s after its restart: %+v", i.name, got)
		}
	}
	f.store.SetFault(rowstore.FaultNone)
	f.startServer("orders", "order-late", 0)
	late := f.servers[len(f.servers)-1]
	for _, server := range f.servers {
		if server.service == late.service && server != late {
			f.store.Remove("servers", server.id)
		}
	}
	for n, i := range f.instances {
		id := fmt.Sprintf("late-%d", n)
		eventually(t, recoveryTimeout, i.name+" uses the list of the store again", func() bool {
			return f.send(i, http.MethodGet, "/look/x", id).status == http.StatusOK &&
				slices.ContainsFunc(late.Executions(), func(e modelserver.Execution) bool { return e.ID == id })
		})
	}
}

// hasMetric reports whether the instance exports the line.
func (f *fleet) hasMetric(i *fleetInstance, line string) bool {
	response, err := i.client.Get("http://" + i.controlAddress + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return err == nil && slices.Contains(strings.Split(string(text), "\n"), line)
}
