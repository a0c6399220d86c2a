package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/routing"
	"github.com/cicadawall/cicadawall/internal/table"
)

// stableList returns the same slice until the test replaces it, as the platform client does while the list has not changed.
type stableList struct {
	entries []api.InstanceEntry
	err     error
}

func (l *stableList) List(context.Context) ([]api.InstanceEntry, error) { return l.entries, l.err }

func engines(from, to int) []api.InstanceEntry {
	var entries []api.InstanceEntry
	for i := from; i < to; i++ {
		entries = append(entries, api.InstanceEntry{Id: fmt.Sprintf("e%d", i), Kind: api.KindEngine, State: api.InstanceLive})
	}
	return entries
}

func newFleet(list *stableList, change func(*Options)) (*Fleet, *table.Servers) {
	rows := table.NewServers()
	opts := Options{Servers: rows, Prefixes: routing.NewPrefixIndex(10), Instances: list, Log: slog.New(slog.DiscardHandler), Instance: "i0"}
	if change != nil {
		change(&opts)
	}
	return New(opts), rows
}

func usableServers(rows *table.Servers) int {
	return len(rows.Select(func(row *table.Server) bool { return !row.Leaving }))
}

// Guards against a fleet that loses its servers because a fault of the platform makes the list empty, unreachable or much
// shorter, and against dead servers that are kept for ever.
func TestBadListDoesNotEmptyTheFleet(t *testing.T) {
	list := &stableList{entries: engines(0, 10)}
	fleet, rows := newFleet(list, nil)
	poll := func() {
		t.Helper()
		if err := fleet.PollList(t.Context()); err != nil && list.err == nil {
			t.Fatal(err)
		}
	}
	poll()
	list.err = errors.New("unreachable")
	poll()
	if got := usableServers(rows); got != 10 {
		t.Errorf("%d servers after an unreachable list, want 10", got)
	}
	list.entries, list.err = []api.InstanceEntry{}, nil
	poll()
	list.entries = engines(0, 4)
	poll()
	if got := usableServers(rows); got != 10 {
		t.Errorf("%d servers after a list without most of them, want 10", got)
	}
	for i := 4; i < 8; i++ {
		rows.EndAttempt(fmt.Sprintf("e%d", i), true, time.Now())
	}
	poll()
	if got := usableServers(rows); got != 6 {
		t.Errorf("%d servers after the missing ones failed, want 6", got)
	}
}

// Guards against new requests to a leaving backend server, also when a later list shows it as live again.
func TestLeavingServerStaysLeaving(t *testing.T) {
	list := &stableList{entries: engines(0, 3)}
	fleet, rows := newFleet(list, nil)
	for _, state := range []api.InstanceEntryState{api.InstanceLive, api.InstanceLeaving, api.InstanceLive} {
		list.entries = engines(0, 3)
		list.entries[0].State = state
		if err := fleet.PollList(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if rows.BeginAttempt("e0") {
		t.Error("a leaving server accepted a new request")
	}
	if !rows.BeginAttempt("e1") {
		t.Error("a live server did not accept a request")
	}
}

// Guards against a subset that is not recomputed when the registered instances change but the list does not.
func TestMembersChangeTheSubset(t *testing.T) {
	list := &stableList{entries: engines(0, 64)}
	for i := range list.entries {
		list.entries[i].Versions = []api.LoadedVersion{{Model: "m", Version: "v"}}
	}
	members := []routing.Member{{ID: "i0"}}
	version := int64(1)
	fleet, rows := newFleet(list, func(o *Options) {
		o.SubsetSize = 8
		o.Members = func() []routing.Member { return members }
		o.MembersVersion = func() int64 { return version }
	})
	pollSubset := func() []string {
		t.Helper()
		if err := fleet.PollList(t.Context()); err != nil {
			t.Fatal(err)
		}
		var ids []string
		for _, row := range rows.Select(func(*table.Server) bool { return true }) {
			ids = append(ids, row.Entry.Id)
		}
		return ids
	}
	before := pollSubset()
	if len(before) != 8 {
		t.Fatalf("subset of %d engines, want 8", len(before))
	}
	members = nil
	for i := range 100 {
		members = append(members, routing.Member{ID: fmt.Sprintf("i%d", i)})
	}
	version++
	if diff := cmp.Diff(before, pollSubset()); diff == "" {
		t.Error("the subset is the same with one instance and with 100")
	}
}
