package exchange

import (
	"cmp"
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/migration"
	"github.com/cicadawall/cicadawall/internal/rowfeed"
	"github.com/cicadawall/cicadawall/internal/storepos"
)

// maxRowsWait bounds how long an answer to a peer waits for a change.
const maxRowsWait = 2 * time.Second

// State records the sender and the counts of a peer's query and returns the state of this instance.
func (e *Exchange) State(query api.GatewayQuery) api.GatewayState {
	now := time.Now()
	e.PutPeer(query.From)
	e.recordContact(query.From.PeerAddress, now)
	e.mergeCounts(query.From.Incarnation, query.Counts)
	e.mergeCrashes(query.Crashes, now)
	e.mergeLeaving(query.Leaving, now)
	e.mergeEvacuations(query.From.PeerAddress, query.Evacuations, now)
	operatorRow, serversRow := e.OperatorFollower.NewestRow(), e.ServersFollower.NewestRow()
	state := api.GatewayState{
		Incarnation: e.Identity.Incarnation, ConfigurationVersion: e.Configurations.Version(),
		OperatorRowVersion: operatorRow.Version(), OperatorRowEra: operatorRow.Era(),
		ServersRowVersion: serversRow.Version(), ServersRowEra: serversRow.Era(), Leaving: e.leavingServers(now),
		Evacuations: e.knownEvacuations(now), EvacuationsKnown: e.Evacuations.Known(),
		EvacuationEndsKnown: e.Evacuations.EndsKnownFrom(now).IsZero(),
	}
	for _, start := range e.History.Starts() {
		state.EraStarts = append(state.EraStarts, api.GatewayEraStart{Era: start.Era(), Version: start.Version()})
	}
	if query.CrashDigest != e.Crashes.Digest() {
		state.Crashes = encodeCrashes(e.Crashes.Crashes(time.Time{}), now)
	}
	if !query.Brief {
		state.Counts = e.answerCounts()
	}
	if query.Full || query.Discover {
		state.Instances = e.knownInstances()
		state.InstancesKnown = e.Members() != nil
	}
	for _, view := range e.Migrations.Views(now) {
		state.Migrations = append(state.Migrations, api.GatewayMigration{
			Service: cmp.Or(view.Order.Service, view.Status.Service), Target: view.Order.Target, DurationMillis: view.Order.Duration.Milliseconds(),
			Revision: view.Order.Revision.Version(), Era: view.Order.Revision.Era(), AgeMillis: view.Age.Milliseconds(), Suspect: view.Suspect,
			State: string(view.Status.State), StateTarget: view.Status.Target,
			StateRevision: view.Status.Revision.Version(), StateRevisionEra: view.Status.Revision.Era(),
			StateRow: view.Confirmed.Version(), StateRowEra: view.Confirmed.Era(), Unconfirmed: view.Unconfirmed,
			Versions: encodeVersions(view.Versions),
		})
	}
	storeUnavailable := e.StoreUnavailable(now)
	switch {
	case !query.Full || !e.Directory.Loaded():
	case !storeUnavailable:
		state.ServersComplete, state.Servers = true, e.knownServers(now)
	case query.WithoutServers:
		// Without that condition, all instances would send each other long lists throughout an outage of the store.
		row := e.serversRow()
		state.UnconfirmedServers, state.Servers = true, e.knownServers(now)
		state.UnconfirmedServersRow, state.UnconfirmedServersRowEra = row.Version(), row.Era()
	}
	return state
}

// encodeVersions converts the last events of versions to the form in which peers exchange them.
func encodeVersions(records []migration.VersionRecord) []api.GatewayVersion {
	versions := make([]api.GatewayVersion, 0, len(records))
	for _, r := range records {
		versions = append(versions, api.GatewayVersion{
			Version: r.Version, Revision: r.Revision.Version(), Era: r.Revision.Era(), Withdrawn: r.Withdrawn,
		})
	}
	return versions
}

// Document returns the encoded configuration in force, or nil.
func (e *Exchange) Document() []byte {
	if c := e.Configurations.Current(); c != nil {
		return c.Document
	}
	return nil
}

// answerCounts returns this instance's own counts of good and bad answers.
func (e *Exchange) answerCounts() []api.GatewayCount {
	var counts []api.GatewayCount
	for key, count := range e.Migrations.LocalCounts() {
		counts = append(counts, api.GatewayCount{
			Service: key.Service, OrderRevision: key.OrderRevision.Version(), OrderEra: key.OrderRevision.Era(), Version: key.Version, Class: key.Class,
			Answers: count.Answers, BadAnswers: count.Bad, LogSum: count.LogSum, SquaredLogSum: count.LogSquares,
			StartTimes: count.StartTimes.Counts(),
		})
	}
	return counts
}

// knownInstances returns this instance and its known peers.
func (e *Exchange) knownInstances() []api.GatewayInstance {
	e.mu.Lock()
	defer e.mu.Unlock()
	instances := []api.GatewayInstance{e.Identity}
	for _, peer := range e.peers {
		instances = append(instances, peer)
	}
	return instances
}

// knownServers returns the entries of the directory.
func (e *Exchange) knownServers(now time.Time) []api.GatewayServer {
	entries, cold := e.Directory.Entries(), e.Directory.ColdServers(now)
	servers := make([]api.GatewayServer, 0, len(entries))
	for _, entry := range entries {
		servers = append(servers, api.GatewayServer{
			Id: entry.ID, Service: entry.Service, Address: entry.Address, AvailabilityZone: entry.AvailabilityZone,
			Software: entry.Software, Slots: entry.Slots, Leaving: entry.Leaving, StartedUnixMilli: entry.StartedUnixMillis,
			ColdMillis: cold[entry.ID].Milliseconds(),
		})
	}
	return servers
}

// Rows returns rows of a table to a peer whose relay this instance is. It returns rowfeed.ErrRelayUnavailable if this instance does
// not follow the table at the store itself, and rowfeed.ErrRelayCutOff if the store does not answer it.
func (e *Exchange) Rows(ctx context.Context, query api.GatewayRowsQuery) (api.GatewayRows, error) {
	follower := e.follower(query.Table)
	if follower == nil || !follower.FollowsStore() {
		return api.GatewayRows{}, rowfeed.ErrRelayUnavailable
	}
	if follower.Unavailable(time.Now()) {
		return api.GatewayRows{}, rowfeed.ErrRelayCutOff
	}
	if query.AfterVersion == 0 {
		page, err := follower.Mirror.All(time.Now())
		return encodeRows(page), err
	}
	after := storepos.At(query.AfterEra, query.AfterVersion)
	page, err := follower.Mirror.Changes(ctx, after, min(maxRowsWait, time.Duration(query.WaitMillis)*time.Millisecond))
	return encodeRows(page), err
}

// follower returns the follower of the table, or nil if the table is not followed.
func (e *Exchange) follower(table string) *rowfeed.Follower {
	for _, follower := range []*rowfeed.Follower{e.OperatorFollower, e.ServersFollower} {
		if follower.Table == table {
			return follower
		}
	}
	return nil
}

// encodeRows converts a page to the form in which peers exchange it.
func encodeRows(page rowfeed.Page) api.GatewayRows {
	rows := api.GatewayRows{Version: page.Position.Version(), Era: page.Position.Era(), ClockMillis: page.Clock.Milliseconds()}
	if !page.ReconnectedAt.IsZero() {
		rows.SinceReconnectMillis = max(1, time.Since(page.ReconnectedAt).Milliseconds())
	}
	for _, row := range page.Rows {
		rows.Rows = append(rows.Rows, api.GatewayRow{Key: row.Key, Version: row.Position.Version(), Value: row.Value, Deleted: row.Deleted})
	}
	return rows
}
