// Package exchange lets instances that forward under routes learn from each other: the load on the servers and the counts of
// good and bad answers, and while the store refuses them the configuration, the servers and the state of migrations.
package exchange

import (
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
	// owners is the number of instances that collect the counts of all for a migration, so that one may be lost.
	owners = 2
	// ownerRounds is the number of rounds after which counts are sent; evidence counts within seconds.
	ownerRounds = 2
	// configurationTimeout bounds the fetch of a configuration over a slow link: 1 MB takes 0.8 s at 10 Mbit/s.
	configurationTimeout = 5 * time.Second
	// fullRounds is the number of rounds after which a peer is asked for the list of instances, which is long.
	fullRounds = 16
	// lostAfter is the time after which a peer that does not answer no longer counts.
	lostAfter = 10 * time.Second
)

// Transport speaks to peers.
type Transport interface {
	// Pull returns the state of a peer.
	Pull(ctx context.Context, address string, query api.GatewayQuery) (api.GatewayState, error)
	// Configuration returns the encoded configuration in force at a peer.
	Configuration(ctx context.Context, address string) ([]byte, error)
}

// Options of an Exchange. All fields are required.
type Options struct {
	Incarnation    string
	Address        string
	Seeds          []string
	Configurations *gateway.Configurations
	Directory      *backend.Directory
	Migrations     *migration.Table
	// Adopt puts a pulled configuration in force.
	Adopt     func(document []byte, source string)
	Transport Transport
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
	// mergedRow is the newest row of the servers' table in the lists that were taken from peers.
	mergedRow int64
	// lost holds since when a peer has not answered.
	lost map[string]time.Time
	// most is the largest number of instances known at once. An instance that hears no other still shares with them.
	most   int
	rounds int
	// fetching is set while the configuration is fetched from a peer; it may be large, and one copy is enough.
	fetching bool
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
func (e *Exchange) Rank(duty string) int { return slices.Index(e.ranked(duty), e.Address) }

// ranked returns the addresses of the instances that can be reached, in the order for a duty.
func (e *Exchange) ranked(duty string) []string {
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
	return addresses
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
		if seed != e.Address && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses[:min(len(addresses), peersPerRound)]
}

// Round pulls from peers and tells them what they need. It is the run of a periodic duty.
func (e *Exchange) Round(ctx context.Context) error {
	away := e.Away(time.Now())
	targets := e.targets()
	e.rounds++
	query := api.GatewayQuery{
		From: api.GatewayInstance{PeerAddress: e.Address, Incarnation: e.Incarnation},
		Full: away || e.rounds%fullRounds == 0,
	}
	if services := e.Migrations.RunningServices(); len(services) > 0 && e.rounds%ownerRounds == 0 {
		query.Counts = e.counts()
		targets = e.addOwners(targets, services)
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

func (e *Exchange) pull(ctx context.Context, address string, query api.GatewayQuery, away bool) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	state, err := e.Transport.Pull(ctx, address, query)
	e.reached(address, err, time.Now())
	if err != nil {
		return
	}
	if e.merge(address, state, away, time.Now()) && !query.Full {
		e.catchUp(ctx, address, query)
	}
}

// catchUp pulls the servers from a peer that has seen changes of them which this instance should have seen too.
func (e *Exchange) catchUp(ctx context.Context, address string, query api.GatewayQuery) {
	query.Full = true
	state, err := e.Transport.Pull(ctx, address, query)
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
