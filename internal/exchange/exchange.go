// Package exchange shares state between the instances of the gateway: the counts of good and bad answers, the tables of the store that
// relays pass on, and, while the store is unavailable to an instance, the configuration, the servers and the state of migrations.
package exchange

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/coldstart"
	"github.com/cicadawall/cicadawall/internal/crashguard"
	"github.com/cicadawall/cicadawall/internal/evacuation"
	"github.com/cicadawall/cicadawall/internal/gateway"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/migration"
	"github.com/cicadawall/cicadawall/internal/rendezvous"
	"github.com/cicadawall/cicadawall/internal/rowfeed"
	"github.com/cicadawall/cicadawall/internal/storepos"
)

const (
	// Interval is the pause between two rounds. Evidence must reach the other instances well within the 5 s that a rollback may
	// take.
	Interval = 500 * time.Millisecond
	// RoundTimeout is the timeout of one round.
	RoundTimeout = 1500 * time.Millisecond
	// pullTimeout is the timeout of one pull; a peer in another availability zone answers within 10 ms.
	pullTimeout = 700 * time.Millisecond
	// peersPerRound bounds the pulls of a round, so that the cost per instance does not grow with the number of instances.
	peersPerRound = 6
	// ownersPerService is the number of instances that collect the counts of all instances for the migration of a service. There
	// are two so that one may fail.
	ownersPerService = 2
	// evidenceRounds is the number of rounds between two deliveries of counts to the owners in a fleet with relays; in a smaller one it is
	// 1. A decision shortly before the deadline needs the latest answers.
	evidenceRounds = 2
	// configurationTimeout is the timeout for fetching a configuration over a slow link: 1 MB takes 0.8 s at 10 Mbit/s.
	configurationTimeout = 5 * time.Second
	// confirmedListRounds is the number of rounds in which an instance that starts while the store does not answer it waits for the list of
	// servers of a peer that the store answers.
	confirmedListRounds = 3
	// discoverRounds is the number of rounds between two pulls of the list of instances, which is long.
	discoverRounds = 16
	// peerExpiry is the time after which a peer that does not answer is removed.
	peerExpiry = 10 * time.Second
)

// Transport sends requests to peers.
type Transport interface {
	// Pull sends a query to a peer and returns the peer's state.
	Pull(ctx context.Context, address string, query api.GatewayQuery) (api.GatewayState, error)
	// Configuration returns the encoded configuration in force at a peer.
	Configuration(ctx context.Context, address string) ([]byte, error)
}

// Options of an Exchange. All fields are required.
type Options struct {
	// Identity is how this instance announces itself to its peers.
	Identity       api.GatewayInstance
	Seeds          []string
	Configurations *gateway.ConfigurationTable
	Directory      *backend.Directory
	Migrations     *migration.Table
	Crashes        *crashguard.Table
	Evacuations    *evacuation.Table
	// AdoptConfiguration puts a fetched configuration in force; source is the address of the peer that it comes from.
	AdoptConfiguration func(document []byte, source string)
	Transport          Transport
	// OperatorFollower and ServersFollower follow two tables of the store. The newest rows that peers have seen are hints to
	// them.
	OperatorFollower *rowfeed.Follower
	ServersFollower  *rowfeed.Follower
	// History holds what the instances know together of the eras of the store.
	History *storepos.History
	// StoreUnavailable reports whether the store is unavailable to this instance.
	StoreUnavailable func(now time.Time) bool
	Log              *slog.Logger
}

// Exchange holds the known peers and exchanges state with them. It is safe for concurrent use.
type Exchange struct {
	Options

	mu *lockorder.Mutex
	// peers holds the peers by address.
	peers map[string]api.GatewayInstance
	// mergedServersRow is the newest row of the servers table that a server list merged from a peer includes.
	mergedServersRow storepos.Position
	// unconfirmedServersRow is the same for a list of a peer that the store did not answer, if one was taken.
	unconfirmedServersRow   storepos.Position
	unconfirmedServersTaken bool
	// lostSince holds, by address, the time of the first failed pull from a peer that has not answered since.
	lostSince map[string]time.Time
	// peakInstances is the largest number of instances known at once. Limits are divided by it, so that an isolated instance does
	// not use the shares of the others.
	peakInstances int
	// fleetKnown is set once this instance has read a list of all instances. Before, peakInstances may be far too small.
	fleetKnown bool
	// membersKnown is set once that list came from the store or from a peer that knows all instances. absent holds, by address, the processes
	// that have not been reachable since. members are derived from both.
	membersKnown bool
	absent       map[string]absence
	members      *coldstart.Members
	roundCount   int
	// fetching is set while the configuration is fetched from a peer. Only one fetch runs at a time, because it may be large.
	fetching bool
}

// New returns an exchange that knows only the addresses of the seeds.
func New(options Options) *Exchange {
	return &Exchange{Options: options, mu: lockorder.New(lockorder.RankPeers), peers: map[string]api.GatewayInstance{},
		lostSince: map[string]time.Time{}, absent: map[string]absence{}}
}

// InstanceCount returns the number of known instances, including this one.
func (e *Exchange) InstanceCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return 1 + len(e.peers)
}

// MarkFleetKnown records that this instance has read a list of all instances from the store.
func (e *Exchange) MarkFleetKnown() { e.markFleetKnown(true, time.Now()) }

// markFleetKnown records that this instance has read a list of all instances; complete says that its source knew all of them.
func (e *Exchange) markFleetKnown(complete bool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleetKnown = true
	e.membersKnown = e.membersKnown || complete
	e.updateMembers(now)
}

// FleetSize returns the largest number of instances that were known at once, or 0 as long as no list of all instances has been read.
func (e *Exchange) FleetSize() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.fleetKnown {
		return 0
	}
	return max(1, e.peakInstances)
}

// PeakInstanceCount returns the largest number of instances that were known at once.
func (e *Exchange) PeakInstanceCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(1, e.peakInstances)
}

// Rank returns the position of this instance in the rendezvous order of the reachable instances for a duty. The first instance
// performs the duty; each of the others takes over later than the one before it.
func (e *Exchange) Rank(duty string) int {
	return slices.Index(e.rankedAddresses(duty), e.Identity.PeerAddress)
}

// Leads reports whether this instance is the first in the rendezvous order for a duty. It is not as long as it has read no list of all
// instances: several that start at once would each be first.
func (e *Exchange) Leads(duty string) bool { return e.FleetSize() > 0 && e.Rank(duty) == 0 }

// rankedAddresses returns the addresses of the reachable instances in the rendezvous order for a duty.
func (e *Exchange) rankedAddresses(duty string) []string {
	addresses := []string{e.Identity.PeerAddress}
	for _, peer := range e.reachablePeers() {
		addresses = append(addresses, peer.PeerAddress)
	}
	rendezvous.Sort(duty, addresses)
	return addresses
}

// reachablePeers returns the peers that answered the last pull.
func (e *Exchange) reachablePeers() []api.GatewayInstance {
	e.mu.Lock()
	defer e.mu.Unlock()
	peers := make([]api.GatewayInstance, 0, len(e.peers)+1)
	for address, peer := range e.peers {
		if e.lostSince[address].IsZero() {
			peers = append(peers, peer)
		}
	}
	return peers
}

// PutPeer records a peer and reports whether its address or incarnation is new.
func (e *Exchange) PutPeer(instance api.GatewayInstance) bool {
	if instance.PeerAddress == e.Identity.PeerAddress || instance.PeerAddress == "" {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.peers[instance.PeerAddress].Incarnation == instance.Incarnation
	e.peers[instance.PeerAddress] = instance
	e.peakInstances = max(e.peakInstances, 1+len(e.peers))
	if known {
		return false
	}
	if a, absent := e.absent[instance.PeerAddress]; absent && a.incarnation != instance.Incarnation {
		delete(e.absent, instance.PeerAddress)
	}
	e.updateMembers(time.Now())
	return true
}

// selectPeers returns random peers and seeds for one round. In a fleet with relays these are one peer of the own availability zone and
// one of any, because bytes between zones cost money.
func (e *Exchange) selectPeers(withRelays bool) []string {
	e.mu.Lock()
	var addresses, zone []string
	for address, peer := range e.peers {
		addresses = append(addresses, address)
		if peer.AvailabilityZone == e.Identity.AvailabilityZone {
			zone = append(zone, address)
		}
	}
	e.mu.Unlock()
	for _, seed := range e.Seeds {
		if seed != e.Identity.PeerAddress && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	if withRelays {
		return slices.Compact(append(randomAddresses(zone, 1), randomAddresses(addresses, 1)...))
	}
	return randomAddresses(addresses, peersPerRound)
}

// randomAddresses returns up to count random addresses.
func randomAddresses(addresses []string, count int) []string {
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses[:min(len(addresses), count)]
}

// Round pulls the state of some peers and sends this instance's counts to the owners of running migrations. It is the
// function of a periodic duty.
func (e *Exchange) Round(ctx context.Context) error {
	storeUnavailable := e.StoreUnavailable(time.Now())
	e.roundCount++
	query := api.GatewayQuery{
		From: e.Identity, Full: storeUnavailable, WithoutServers: e.wantsUnconfirmedServers(), Discover: e.roundCount%discoverRounds == 0,
		Crashes: e.recentCrashes(time.Now()), CrashDigest: e.Crashes.Digest(),
		Leaving: e.leavingServers(time.Now()), Evacuations: e.knownEvacuations(time.Now()),
	}
	queries := e.planQueries(query)
	done := make(chan struct{}, len(queries))
	for address, query := range queries {
		go func() {
			e.pull(ctx, address, query, storeUnavailable)
			done <- struct{}{}
		}()
	}
	for range queries {
		<-done
	}
	return nil
}

// planQueries returns the queries of a round by address: to random peers, and to the owners of running migrations if the counts are
// due.
func (e *Exchange) planQueries(query api.GatewayQuery) map[string]api.GatewayQuery {
	queries := map[string]api.GatewayQuery{}
	query.Brief = !e.Relays().Small
	for _, address := range e.selectPeers(query.Brief) {
		queries[address] = query
	}
	services := e.Migrations.RunningServices()
	if len(services) == 0 || query.Brief && e.roundCount%evidenceRounds != 0 {
		return queries
	}
	counts := e.answerCounts()
	for _, address := range e.owners(services) {
		planned, ok := queries[address]
		if !ok {
			planned = api.GatewayQuery{From: query.From, Brief: true}
		}
		planned.Counts = counts
		queries[address] = planned
	}
	return queries
}

// pull pulls and merges the state of a peer; useServers says that the peer's server list is wanted.
func (e *Exchange) pull(ctx context.Context, address string, query api.GatewayQuery, useServers bool) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	state, err := e.Transport.Pull(ctx, address, query)
	e.recordReachability(address, err, time.Now())
	if err != nil {
		return
	}
	if e.mergeState(address, state, useServers, time.Now()) && !query.Full {
		e.catchUp(ctx, address, query)
	}
}

// catchUp pulls the server list from a peer that has seen rows of the servers table which this instance should have received by
// now.
func (e *Exchange) catchUp(ctx context.Context, address string, query api.GatewayQuery) {
	query.Full = true
	state, err := e.Transport.Pull(ctx, address, query)
	if err != nil {
		e.recordReachability(address, err, time.Now())
		return
	}
	e.mergeState(address, state, true, time.Now())
}

// recordReachability records the result of a pull. It logs when a peer stops and when it resumes answering, and removes a peer
// that has not answered for peerExpiry.
func (e *Exchange) recordReachability(address string, err error, now time.Time) {
	e.mu.Lock()
	since := e.lostSince[address]
	switch {
	case err == nil:
		delete(e.lostSince, address)
		delete(e.absent, address)
	case since.IsZero():
		e.lostSince[address] = now
		e.recordAbsence(address, now)
	case now.Sub(since) > peerExpiry:
		delete(e.lostSince, address)
		delete(e.peers, address)
	}
	e.updateMembers(now)
	e.mu.Unlock()
	switch {
	case err != nil && since.IsZero():
		e.Log.Warn("peer is unreachable", "peer", address, "error", err.Error())
	case err == nil && !since.IsZero():
		e.Log.Info("peer is reachable again", "peer", address)
	}
}
