package exchange

import (
	"cmp"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// State answers the query of a peer.
func (e *Exchange) State(query api.GatewayQuery) api.GatewayState {
	now := time.Now()
	e.Put(query.From)
	e.mergeCounts(query.From.Incarnation, query.Counts)
	state := api.GatewayState{
		Incarnation: e.Incarnation, ConfigurationVersion: e.Configurations.Version(), OperatorRow: e.Operator.LastRow(),
		ServersRow: e.Servers.LastRow(), Counts: e.counts(),
	}
	if query.Full {
		state.Instances = e.instances()
	}
	for _, view := range e.Migrations.Views(now) {
		state.Migrations = append(state.Migrations, api.GatewayMigration{
			Service: cmp.Or(view.Order.Service, view.Status.Service), Target: view.Order.Target, DurationMillis: view.Order.Duration.Milliseconds(),
			Revision: view.Order.Revision, AgeMillis: view.Age.Milliseconds(), Suspect: view.Suspect,
			State: string(view.Status.State), StateTarget: view.Status.Target, StateRevision: view.Status.Revision,
			Withdrawn: view.Withdrawn,
		})
	}
	for id, load := range e.Directory.Loads() {
		state.Loads = append(state.Loads, api.GatewayLoad{Server: id, Running: load.Running, PendingTokens: load.PendingTokens})
	}
	if query.Full && !e.Away(now) {
		state.ServersKnown = e.Directory.Known()
		state.Servers = e.servers()
	}
	return state
}

// Document returns the encoded configuration in force, or nil.
func (e *Exchange) Document() []byte {
	if c := e.Configurations.Current(); c != nil {
		return c.Document
	}
	return nil
}

// counts returns this instance's counts of good and bad answers.
func (e *Exchange) counts() []api.GatewayCount {
	var counts []api.GatewayCount
	for key, count := range e.Migrations.LocalCounts() {
		counts = append(counts, api.GatewayCount{
			Service: key.Service, OrderRevision: key.OrderRevision, Version: key.Version, Class: key.Class,
			Answers: count.Answers, Bad: count.Bad, LogSum: count.LogSum, LogSquares: count.LogSquares,
		})
	}
	return counts
}

func (e *Exchange) instances() []api.GatewayInstance {
	e.mu.Lock()
	defer e.mu.Unlock()
	instances := []api.GatewayInstance{{PeerAddress: e.Address, Incarnation: e.Incarnation}}
	for address, incarnation := range e.peers {
		instances = append(instances, api.GatewayInstance{PeerAddress: address, Incarnation: incarnation})
	}
	return instances
}

func (e *Exchange) servers() []api.GatewayServer {
	entries := e.Directory.Entries()
	servers := make([]api.GatewayServer, 0, len(entries))
	for _, entry := range entries {
		servers = append(servers, api.GatewayServer{
			Id: entry.ID, Service: entry.Service, Address: entry.Address, AvailabilityZone: entry.AvailabilityZone,
			Software: entry.Software, Slots: entry.Slots, Leaving: entry.Leaving, StartedUnixMilli: entry.StartedMilli,
		})
	}
	return servers
}
