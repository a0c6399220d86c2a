package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/migration"
	"github.com/cicadawall/cicadawall/internal/storepos"
)

// mergeState merges the state of a peer. It reports whether this instance has for longer than usual lacked rows of the servers
// table that peers have seen. The peer's server list is merged only if useServers is set, because the list may be older
// than this instance's if this instance is up to date.
func (e *Exchange) mergeState(address string, state api.GatewayState, useServers bool, now time.Time) bool {
	for _, start := range state.EraStarts {
		// Positions in the rest of the state are compared by it.
		e.History.Limit(storepos.At(start.Era, start.Version))
	}
	// Evacuations come first: neither a configuration nor servers of this peer are used before.
	e.mergeEvacuations(address, state.Evacuations, now)
	if state.EvacuationsKnown {
		e.Evacuations.MarkKnown(state.EvacuationEndsKnown)
	}
	for _, instance := range state.Instances {
		e.PutPeer(instance)
	}
	if len(state.Instances) > 0 {
		e.markFleetKnown(state.InstancesKnown, now)
	}
	if state.ConfigurationVersion > e.Configurations.Version() && e.beginFetch() {
		go e.fetchConfiguration(address, state.ConfigurationVersion)
	}
	e.OperatorFollower.ReportPeerRow(storepos.At(state.OperatorRowEra, state.OperatorRowVersion), now)
	serversRow := storepos.At(state.ServersRowEra, state.ServersRowVersion)
	lagging := e.ServersFollower.ReportPeerRow(serversRow, now)
	for _, m := range state.Migrations {
		e.mergeMigration(m, now)
	}
	e.mergeCounts(state.Incarnation, state.Counts)
	e.mergeCrashes(state.Crashes, now)
	e.mergeLeaving(state.Leaving, now)
	if useServers && (state.ServersComplete && e.acceptServers(serversRow) || e.acceptUnconfirmedServers(address, state)) {
		e.mergeServers(state.Servers, now)
	}
	return lagging
}

// wantsUnconfirmedServers reports whether this instance should use a list of servers of a peer that the store does not answer either. The peer
// itself serves by that list; without one, this instance could serve nobody. It first waits for a peer that the store answers.
func (e *Exchange) wantsUnconfirmedServers() bool {
	return !e.Directory.Loaded() && e.roundCount > confirmedListRounds
}

// acceptUnconfirmedServers reports whether the list of servers of a peer that the store does not answer is used, and if so records its row. The row
// does not count for acceptServers: the list of a peer that the store answers is always the better one. Only one such list is used: peers are
// asked at the same time, and servers that are missing from a second list would count as leaving.
func (e *Exchange) acceptUnconfirmedServers(address string, state api.GatewayState) bool {
	if !state.UnconfirmedServers || !e.wantsUnconfirmedServers() {
		return false
	}
	row := storepos.At(state.UnconfirmedServersRowEra, state.UnconfirmedServersRow)
	e.mu.Lock()
	first := !e.unconfirmedServersTaken
	if first {
		e.unconfirmedServersTaken, e.unconfirmedServersRow = true, row
	}
	e.mu.Unlock()
	if first {
		e.Log.Warn("backend server list taken from a peer that the store does not answer", "peer", address, "servers", len(state.Servers),
			"row_version", row.Version())
	}
	return first
}

// serversRow returns the newest row of the servers table that this instance's list of servers includes.
func (e *Exchange) serversRow() storepos.Position {
	newest := e.ServersFollower.NewestRow()
	e.mu.Lock()
	defer e.mu.Unlock()
	return storepos.Later(storepos.Later(newest, e.mergedServersRow), e.unconfirmedServersRow)
}

// acceptServers reports whether a server list up to the row is at least as new as what this instance knows, and if so records the
// row. An older list lacks servers that were added since, which would be treated as leaving.
func (e *Exchange) acceptServers(row storepos.Position) bool {
	listPosition := e.ServersFollower.ListPosition()
	e.mu.Lock()
	defer e.mu.Unlock()
	if row.Precedes(listPosition) || row.Precedes(e.mergedServersRow) {
		return false
	}
	e.mergedServersRow = storepos.Later(e.mergedServersRow, row)
	return true
}

// mergeCounts replaces the counts of a peer by those that it reported.
func (e *Exchange) mergeCounts(incarnation string, reported []api.GatewayCount) {
	if len(reported) == 0 {
		return
	}
	counts := make(map[migration.Key]migration.Count, len(reported))
	for _, c := range reported {
		key := migration.Key{Service: c.Service, Version: c.Version, Class: c.Class, OrderRevision: storepos.At(c.OrderEra, c.OrderRevision)}
		counts[key] = migration.Count{Answers: c.Answers, Bad: c.BadAnswers, LogSum: c.LogSum, LogSquares: c.SquaredLogSum,
			StartTimes: migration.HistogramOf(c.StartTimes)}
	}
	e.Migrations.SetPeerCounts(incarnation, counts)
}

// beginFetch reports whether the caller may fetch a configuration, which is the case if no other fetch is running.
func (e *Exchange) beginFetch() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fetching {
		return false
	}
	e.fetching = true
	return true
}

// fetchConfiguration fetches the configuration in force at a peer, unless an earlier fetch has already returned that version.
func (e *Exchange) fetchConfiguration(address string, version int64) {
	defer e.endFetch()
	if e.Configurations.Version() >= version {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), configurationTimeout)
	defer cancel()
	document, err := e.Transport.Configuration(ctx, address)
	if err != nil {
		e.Log.Warn("configuration could not be fetched from the peer", "peer", address, "error", err.Error())
		return
	}
	e.AdoptConfiguration(document, address)
}

// endFetch allows the next fetch.
func (e *Exchange) endFetch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fetching = false
}

// owners returns the peers that decide on the migrations of the services.
func (e *Exchange) owners(services []string) []string {
	var owners []string
	for _, service := range services {
		ranked := e.rankedAddresses(service)
		for _, address := range ranked[:min(ownersPerService, len(ranked))] {
			if address != e.Identity.PeerAddress && !slices.Contains(owners, address) {
				owners = append(owners, address)
			}
		}
	}
	return owners
}

// mergeMigration merges what a peer knows of the migration of a service: order, recorded state and suspected versions.
func (e *Exchange) mergeMigration(m api.GatewayMigration, now time.Time) {
	order := migration.Order{
		Service: m.Service, Target: m.Target, Revision: storepos.At(m.Era, m.Revision), Duration: time.Duration(m.DurationMillis) * time.Millisecond,
	}
	for _, v := range m.Versions {
		e.Migrations.AddVersionRecord(m.Service, migration.VersionRecord{
			Version: v.Version, Revision: storepos.At(v.Era, v.Revision), Withdrawn: v.Withdrawn,
		})
	}
	if order.Target != "" {
		e.Migrations.AddOrder(order, time.Duration(m.AgeMillis)*time.Millisecond, now)
		if !m.Unconfirmed {
			e.Migrations.ConfirmOrder(m.Service)
		}
	}
	if m.StateRevision > 0 {
		status := migration.Status{
			Service: m.Service, Target: m.StateTarget, State: migration.State(m.State), Revision: storepos.At(m.StateRevisionEra, m.StateRevision),
		}
		e.Migrations.ApplyStatus(status)
		e.Migrations.ConfirmStatus(status, storepos.At(m.StateRowEra, m.StateRow))
	}
	if m.Suspect {
		e.Migrations.MarkSuspect(order)
	}
}

// mergeServers merges the server list of a peer into the directory.
func (e *Exchange) mergeServers(servers []api.GatewayServer, now time.Time) {
	entries := make([]backend.Entry, 0, len(servers))
	for _, s := range servers {
		entries = append(entries, backend.Entry{
			ID: s.Id, Service: s.Service, Address: s.Address, AvailabilityZone: s.AvailabilityZone, Software: s.Software,
			Slots: s.Slots, Leaving: s.Leaving, StartedUnixMillis: s.StartedUnixMilli,
			ColdDuration: time.Duration(max(0, s.ColdMillis)) * time.Millisecond,
		})
	}
	e.Directory.MergePeerList(entries, now)
}
