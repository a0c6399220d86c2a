package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/migration"
)

// merge takes what the peer knows and reports whether it knows newer rows of the servers for longer than usual. Its list of
// servers is taken only if this instance is behind, because otherwise the peer's may be older.
func (e *Exchange) merge(address string, state api.GatewayState, behind bool, now time.Time) bool {
	for _, instance := range state.Instances {
		e.Put(instance)
	}
	if state.ConfigurationVersion > e.Configurations.Version() && e.beginFetch() {
		go e.fetchConfiguration(address, state.ConfigurationVersion)
	}
	e.Operator.Hint(state.OperatorRow, now)
	lagging := e.Servers.Hint(state.ServersRow, now)
	for _, m := range state.Migrations {
		e.mergeMigration(m, now)
	}
	e.mergeCounts(state.Incarnation, state.Counts)
	loads := make(map[string]backend.Load, len(state.Loads))
	for _, l := range state.Loads {
		loads[l.Server] = backend.Load{Running: l.Running, PendingTokens: l.PendingTokens}
	}
	e.Directory.Peer(state.Incarnation, loads, e.Instances(), now)
	if behind && state.ServersKnown && e.takeServers(state.ServersRow) {
		e.mergeServers(state.Servers, now)
	}
	return lagging
}

// takeServers reports whether a list of servers up to the row is as new as what this instance knows, and notes it. An older
// list lacks servers that have come since, and they would be taken for leaving.
func (e *Exchange) takeServers(row int64) bool {
	known := e.Servers.LastRow()
	e.mu.Lock()
	defer e.mu.Unlock()
	if row < max(known, e.mergedRow) {
		return false
	}
	e.mergedRow = row
	return true
}

// mergeCounts takes the counts of a peer.
func (e *Exchange) mergeCounts(incarnation string, told []api.GatewayCount) {
	if len(told) == 0 {
		return
	}
	counts := make(map[migration.Key]migration.Count, len(told))
	for _, c := range told {
		key := migration.Key{Service: c.Service, Version: c.Version, Class: c.Class, OrderRevision: c.OrderRevision}
		counts[key] = migration.Count{Answers: c.Answers, Bad: c.Bad, LogSum: c.LogSum, LogSquares: c.LogSquares}
	}
	e.Migrations.SetPeerCounts(incarnation, counts)
}

// beginFetch reports whether no other fetch of a configuration is running.
func (e *Exchange) beginFetch() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fetching {
		return false
	}
	e.fetching = true
	return true
}

// fetchConfiguration fetches the configuration in force at a peer, unless the fetch before brought it.
func (e *Exchange) fetchConfiguration(address string, version int64) {
	defer e.endFetch()
	if e.Configurations.Version() >= version {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), configurationTimeout)
	defer cancel()
	document, err := e.Transport.Configuration(ctx, address)
	if err != nil {
		e.Log.Warn("configuration not fetched from the peer", "peer", address, "error", err.Error())
		return
	}
	e.Adopt(document, address)
}

// endFetch lets the next fetch begin.
func (e *Exchange) endFetch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fetching = false
}

// addOwners adds the peers that decide on the migrations of services.
func (e *Exchange) addOwners(targets, services []string) []string {
	for _, service := range services {
		for _, address := range e.ranked(service)[:min(owners, e.Instances())] {
			if address != e.Address && !slices.Contains(targets, address) {
				targets = append(targets, address)
			}
		}
	}
	return targets
}

func (e *Exchange) mergeMigration(m api.GatewayMigration, now time.Time) {
	order := migration.Order{
		Service: m.Service, Target: m.Target, Revision: m.Revision, Duration: time.Duration(m.DurationMillis) * time.Millisecond,
	}
	for _, version := range m.Withdrawn {
		e.Migrations.MarkWithdrawn(m.Service, version)
	}
	if order.Target != "" {
		e.Migrations.AddOrder(order, time.Duration(m.AgeMillis)*time.Millisecond, now)
	}
	if m.StateRevision > 0 {
		e.Migrations.ApplyStatus(migration.Status{
			Service: m.Service, Target: m.StateTarget, State: migration.State(m.State), Revision: m.StateRevision,
		})
	}
	if m.Suspect {
		e.Migrations.MarkSuspect(order)
	}
}

func (e *Exchange) mergeServers(servers []api.GatewayServer, now time.Time) {
	entries := make([]backend.Entry, 0, len(servers))
	for _, s := range servers {
		entries = append(entries, backend.Entry{
			ID: s.Id, Service: s.Service, Address: s.Address, AvailabilityZone: s.AvailabilityZone, Software: s.Software,
			Slots: s.Slots, Leaving: s.Leaving, StartedMilli: s.StartedUnixMilli,
		})
	}
	e.Directory.Merge(entries, now)
}
