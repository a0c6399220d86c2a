package fleet

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/routing"
	"github.com/cicadawall/cicadawall/internal/table"
)

func benchFleet(servers, instances int) (*Fleet, *table.Servers) {
	var entries []api.InstanceEntry
	for i := range servers {
		entries = append(entries, api.InstanceEntry{Id: fmt.Sprintf("server-%d", i), Kind: api.KindEngine, AvailabilityZone: fmt.Sprintf("z%d", i%8),
			State: api.InstanceLive, Versions: []api.LoadedVersion{{Model: "m", Version: fmt.Sprintf("v%d", i%34)}}})
	}
	list := &stableList{entries: entries}
	var members []routing.Member
	for i := range instances {
		members = append(members, routing.Member{ID: fmt.Sprintf("i%d", i), Zone: fmt.Sprintf("z%d", i%8)})
	}
	rows := table.NewServers()
	return New(Options{Servers: rows, Prefixes: routing.NewPrefixIndex(1000), Instances: list, Log: slog.New(slog.DiscardHandler),
		Instance: "i0", AvailabilityZone: "z0", Members: func() []routing.Member { return members },
		MembersVersion: func() int64 { return 1 }, SubsetSize: 24}), rows
}

// BenchmarkPollUnchanged measures a poll of a list that has not changed. An instance polls every 2 s.
func BenchmarkPollUnchanged(b *testing.B) {
	for _, size := range []struct{ servers, instances int }{{18, 7}, {275, 100}, {1100, 410}} {
		b.Run(fmt.Sprintf("servers=%d,instances=%d", size.servers, size.instances), func(b *testing.B) {
			fleet, _ := benchFleet(size.servers, size.instances)
			if err := fleet.PollList(b.Context()); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if err := fleet.PollList(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPollChanged measures a poll after a change of the registered instances. There are some 1,200 such changes a day.
func BenchmarkPollChanged(b *testing.B) {
	fleet, _ := benchFleet(1100, 410)
	version := int64(0)
	fleet.opts.MembersVersion = func() int64 { return version }
	b.ReportAllocs()
	for b.Loop() {
		version++
		fleet.assignedFingerprint = 0
		if err := fleet.PollList(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}
