// Package exchange lets instances that forward under routes learn from each other: the load on the servers and the counts of
// good and bad answers, and while the store refuses them the configuration, the servers and the state of migrations.
package exchange

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/gateway"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/migration"
	"github.com/cicadawall/cicadawall/internal/rendezvous"
	"github.com/cicadawall/cicadawall/internal/rowfeed"
)

const (
	// Interval is the pause between two rounds; evidence must reach the others well within the 5 s that a roll-back may take.
	Interval = 500 * time.Millisecond
	// RoundTimeout bounds one round.
	RoundTimeout = 1500 * time.Millisecond
	// pullTimeout bounds one pull; a peer in the next availability zone answers within 10 ms.
	pullTimeout = 700 * time.Millisecond
	// peersPerRound bounds the pulls of a round, so that the cost of an instance does not grow with the fleet.
	peersPerRound = 6
	// fullRounds is the number of rounds after which a peer is asked for the list of instances, which is long.
	fullRounds = 16
	// lostAfter is the time after which a peer that does not answer no longer counts.
	lostAfter = 10 * time.Second
)

// Query is what a pull asks for.
type Query struct {
	// From is the instance that pulls.
	From api.GatewayInstance
	// Have is the configuration version that it holds.
	Have int64
	// Full asks for instances and servers.
	Full bool
}

// Fetch pulls the state of a peer.
type Fetch func(ctx context.Context, address string, query Query) (api.GatewayState, error)

// Options of an Exchange. All fields are required.
type Options struct {
	Incarnation    string
	Address        string
	Seeds          []string
	Configurations *gateway.Configurations
	Directory      *backend.Directory
	Migrations     *migration.Table
	// Adopt puts a pulled configuration in force.
	Adopt func(document []byte, source string)
	Fetch Fetch
	// Operator and Servers follow the store; what peers have seen of it is a hint to them.
	Operator *rowfeed.Follower
	Servers  *rowfeed.Follower
	// Away reports whether the store does not answer this instance.
	Away func(now time.Time) bool
	Log  *slog.Logger
}

// Exchange knows the peers. It is safe for concurrent use.
type Exchange struct {
	Options

	mu    *lockorder.Mutex
	peers map[string]string
	// lost holds since when a peer has not answered.
	lost map[string]time.Time
	// most is the largest number of instances known at once. An instance that hears no other still shares with them.
	most   int
	rounds int
}

// New returns an exchange that knows the seeds only.
func New(options Options) *Exchange {
	return &Exchange{Options: options, mu: lockorder.New(lockorder.RankPeers), peers: map[string]string{}, lost: map[string]time.Time{}}
}

// Instances returns the number of instances, this one included.
func (e *Exchange) Instances() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return 1 + len(e.peers)
}

// MostInstances returns the largest number of instances that was known at once.
func (e *Exchange) MostInstances() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(1, e.most)
}

// Rank returns the place of this instance among all in an order that depends on the duty. The first one does it; the others
// step in later, one after the other.
func (e *Exchange) Rank(duty string) int {
	e.mu.Lock()
	addresses := make([]string, 0, len(e.peers)+1)
	for address := range e.peers {
		if e.lost[address].IsZero() {
			addresses = append(addresses, address)
		}
	}
	e.mu.Unlock()
	addresses = append(addresses, e.Address)
	rendezvous.Sort(duty, addresses)
	return slices.Index(addresses, e.Address)
}

// Put records a peer and reports whether it is new.
func (e *Exchange) Put(instance api.GatewayInstance) bool {
	if instance.PeerAddress == e.Address || instance.PeerAddress == "" {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.peers[instance.PeerAddress] == instance.Incarnation
	e.peers[instance.PeerAddress] = instance.Incarnation
	e.most = max(e.most, 1+len(e.peers))
	return !known
}

// targets returns the peers of one round in random order.
func (e *Exchange) targets() []string {
	e.mu.Lock()
	addresses := make([]string, 0, len(e.peers)+len(e.Seeds))
	for address := range e.peers {
		addresses = append(addresses, address)
	}
	e.mu.Unlock()
	for _, seed := range e.Seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses[:min(len(addresses), peersPerRound)]
}

// Round pulls from peers. It is the run of a periodic duty.
func (e *Exchange) Round(ctx context.Context) error {
	away := e.Away(time.Now())
	targets := e.targets()
	e.rounds++
	query := Query{
		From: api.GatewayInstance{PeerAddress: e.Address, Incarnation: e.Incarnation},
		Have: e.Configurations.Version(),
		Full: away || e.rounds%fullRounds == 0,
	}
	done := make(chan struct{}, len(targets))
	for _, address := range targets {
		go func() {
			e.pull(ctx, address, query, away)
			done <- struct{}{}
		}()
	}
	for range targets {
		<-done
	}
	return nil
}

func (e *Exchange) pull(ctx context.Context, address string, query Query, away bool) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	state, err := e.Fetch(ctx, address, query)
	e.reached(address, err, time.Now())
	if err != nil {
		return
	}
	if e.merge(address, state, away, time.Now()) && !query.Full {
		e.catchUp(ctx, address, query)
	}
}

// catchUp pulls the servers from a peer that has seen changes of them which this instance should have seen too.
func (e *Exchange) catchUp(ctx context.Context, address string, query Query) {
	query.Full, query.Have = true, e.Configurations.Version()
	state, err := e.Fetch(ctx, address, query)
	if err != nil {
		e.reached(address, err, time.Now())
		return
	}
	e.merge(address, state, true, time.Now())
}

// reached logs a peer once when it stops and once when it starts answering, and forgets one that stays away.
func (e *Exchange) reached(address string, err error, now time.Time) {
	e.mu.Lock()
	since := e.lost[address]
	switch {
	case err == nil:
		delete(e.lost, address)
	case since.IsZero():
		e.lost[address] = now
	case now.Sub(since) > lostAfter:
		delete(e.lost, address)
		delete(e.peers, address)
	}
	e.mu.Unlock()
	switch {
	case err != nil && since.IsZero():
		e.Log.Warn("peer lost", "peer", address, "error", err.Error())
	case err == nil && !since.IsZero():
		e.Log.Info("peer regained", "peer", address)
	}
}

// merge takes what the peer knows and reports whether it knows newer rows of the servers for longer than usual. Its list of
// servers is taken only if this instance is behind, because otherwise the peer's may be older.
func (e *Exchange) merge(address string, state api.GatewayState, behind bool, now time.Time) bool {
	for _, instance := range state.Instances {
		e.Put(instance)
	}
	if len(state.Configuration) > 0 && state.ConfigurationVersion > e.Configurations.Version() {
		e.Adopt(state.Configuration, address)
	}
	e.Operator.Hint(state.OperatorRow, now)
	lagging := e.Servers.Hint(state.ServersRow, now)
	for _, m := range state.Migrations {
		e.mergeMigration(m, now)
	}
	counts := make(map[migration.Key]migration.Count, len(state.Counts))
	for _, c := range state.Counts {
		key := migration.Key{Service: c.Service, Version: c.Version, Class: c.Class}
		counts[key] = migration.Count{Answers: c.Answers, Bad: c.Bad, Slow: c.Slow}
	}
	e.Migrations.Peer(state.Incarnation, counts)
	loads := make(map[string]backend.Load, len(state.Loads))
	for _, l := range state.Loads {
		loads[l.Server] = backend.Load{Running: l.Running, PendingTokens: l.PendingTokens}
	}
	e.Directory.Peer(state.Incarnation, loads, e.Instances(), now)
	if behind && state.ServersKnown {
		e.mergeServers(state.Servers, now)
	}
	return lagging
}

func (e *Exchange) mergeMigration(m api.GatewayMigration, now time.Time) {
	order := migration.Order{
		Service: m.Service, Target: m.Target, Revision: m.Revision, Duration: time.Duration(m.DurationMillis) * time.Millisecond,
	}
	for _, version := range m.Withdrawn {
		e.Migrations.Withdraw(m.Service, version)
	}
	if order.Target != "" {
		e.Migrations.Order(order, time.Duration(m.AgeMillis)*time.Millisecond, now)
	}
	if m.StateRevision > 0 {
		e.Migrations.Recorded(migration.Status{
			Service: m.Service, Target: m.StateTarget, State: migration.State(m.State), Revision: m.StateRevision,
		})
	}
	if m.Suspect {
		e.Migrations.Suspect(order)
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

// State returns what a peer may pull.
func (e *Exchange) State(query Query) api.GatewayState {
	now := time.Now()
	e.Put(query.From)
	have := query.Have
	state := api.GatewayState{Incarnation: e.Incarnation, OperatorRow: e.Operator.LastRow(), ServersRow: e.Servers.LastRow()}
	if query.Full {
		state.Instances = e.instances()
	}
	if c := e.Configurations.Current(); c != nil {
		state.ConfigurationVersion = c.Version
		if c.Version > have {
			state.Configuration = c.Document
		}
	}
	for _, view := range e.Migrations.Views(now) {
		state.Migrations = append(state.Migrations, api.GatewayMigration{
			Service: cmp.Or(view.Order.Service, view.Status.Service), Target: view.Order.Target, DurationMillis: view.Order.Duration.Milliseconds(),
			Revision: view.Order.Revision, AgeMillis: view.Age.Milliseconds(), Suspect: view.Suspect,
			State: string(view.Status.State), StateTarget: view.Status.Target, StateRevision: view.Status.Revision,
			Withdrawn: view.Withdrawn,
		})
	}
	for key, count := range e.Migrations.Own() {
		state.Counts = append(state.Counts, api.GatewayCount{
			Service: key.Service, Version: key.Version, Class: key.Class, Answers: count.Answers, Bad: count.Bad, Slow: count.Slow,
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
