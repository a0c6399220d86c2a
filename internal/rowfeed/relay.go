package rowfeed

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/storepos"
)

// ErrRelayUnavailable means that a peer does not pass on the table, because it does not follow the store itself.
var ErrRelayUnavailable = errors.New("the peer does not follow the store")

// ErrRelayCutOff means that a peer follows the store, but the store does not answer it.
var ErrRelayCutOff = errors.New("the store does not answer the peer")

const (
	// relayWait is the longest time that a relay waits for a change. A relay that is frozen or cut off is noticed after
	// relayWait and relayMargin; together with the delays of the other steps this stays below the 2 s after which a leaving server
	// must get no new requests.
	relayWait   = 600 * time.Millisecond
	relayMargin = 400 * time.Millisecond
	// relayRetryDelay is how long a relay is not used after a failed call.
	relayRetryDelay = 3 * time.Second
	// storeCheckInterval is the time between two calls to a store that answers neither the relays nor this instance.
	storeCheckInterval = 3 * time.Second
	// storeWaitWithoutRelay bounds the wait of a call to the store that replaces a relay, so that a relay is used again soon.
	storeWaitWithoutRelay = 3 * time.Second
)

// RelayTransport reads tables from peers that follow the store.
type RelayTransport interface {
	// Rows returns the whole table of the peer if after is zero, and otherwise the rows that changed after that position; it waits up
	// to wait for the first one. It returns ErrRelayUnavailable, ErrRelayCutOff or ErrHistoryDropped if the peer says so.
	Rows(ctx context.Context, address, table string, after storepos.Position, wait time.Duration) (Page, error)
}

// Relays says from whom an instance reads.
type Relays struct {
	// Direct is set if the instance follows the store itself.
	Direct bool
	// Small is set if every instance follows the store, because the fleet is too small for relays.
	Small bool
	// Addresses are the peers to read from, the preferred one first.
	Addresses []string
}

// RelayedSource reads tables from relays, peers that follow the store, so that the calls to the store do not grow with the number
// of instances. It reads from the store itself if the instance is a relay or no relay answers. It is safe for concurrent use.
type RelayedSource struct {
	Store     Source
	Transport RelayTransport
	// Relays returns from whom to read now.
	Relays func() Relays
	// Eras are those that the instance has seen in the answers of the store and of relays.
	Eras *Eras
	Log  *slog.Logger

	mu *lockorder.Mutex
	// avoidUntil holds when each relay whose call failed may be used again.
	avoidUntil map[string]time.Time
	// current is the relay used last, or empty for the store.
	current string
	// storeFailedAt is the time of the last call to the store if it failed, and zero otherwise.
	storeFailedAt time.Time
}

var _ Source = (*RelayedSource)(nil)

// NewRelayedSource returns a source that reads from the relays and the store.
func NewRelayedSource(store Source, transport RelayTransport, relays func() Relays, eras *Eras, log *slog.Logger) *RelayedSource {
	return &RelayedSource{
		Store: store, Transport: transport, Relays: relays, Eras: eras, Log: log,
		mu: lockorder.New(lockorder.RankLeases), avoidUntil: map[string]time.Time{},
	}
}

// Read implements Source.
func (s *RelayedSource) Read(ctx context.Context, table string, begun func()) (Page, error) {
	return s.call(ctx, table, storepos.Position{}, 0, begun, func() (Page, error) { return s.Store.Read(ctx, table, begun) })
}

// Changes implements Source. It returns ErrEraChanged if a later era is seen before the call ends.
func (s *RelayedSource) Changes(ctx context.Context, table string, after storepos.Position, wait time.Duration, begun func()) (Page, error) {
	relays := s.Relays()
	storeWait := wait
	if !relays.Direct {
		storeWait = min(wait, storeWaitWithoutRelay)
	}
	call, end, err := s.Eras.CallAfter(ctx, after)
	if err != nil {
		return Page{}, err
	}
	defer end()
	page, err := s.call(call, table, after, min(wait, relayWait), begun, func() (Page, error) {
		return s.Store.Changes(call, table, after, storeWait, begun)
	})
	if err != nil && errors.Is(context.Cause(call), ErrEraChanged) {
		return Page{}, ErrEraChanged
	}
	return page, err
}

// call reads from a relay, or from the store if this instance is a relay or the relay fails.
func (s *RelayedSource) call(
	ctx context.Context, table string, after storepos.Position, wait time.Duration, begun func(), readStore func() (Page, error),
) (Page, error) {
	relays := s.Relays()
	cutOff := false
	if relay := s.choose(relays, time.Now()); relay != "" {
		page, err := s.callRelay(ctx, relay, table, after, wait)
		if err == nil || errors.Is(err, ErrHistoryDropped) {
			begun()
			return page, err
		}
		cutOff = errors.Is(err, ErrRelayCutOff)
		s.recordRelayFailure(table, relay, err, time.Now())
		if ctx.Err() != nil {
			return Page{}, err
		}
	}
	if !relays.Direct && !s.mayCallStore(cutOff, time.Now()) {
		return Page{}, ErrRelayCutOff
	}
	s.recordUpstream(table, "")
	page, err := readStore()
	s.recordStoreCall(err, time.Now())
	return page, err
}

// callRelay reads from a relay. It returns ErrEarlierEra if the relay has not noticed yet that the store came back from an older copy.
func (s *RelayedSource) callRelay(ctx context.Context, relay, table string, after storepos.Position, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayMargin)
	defer cancel()
	page, err := s.Transport.Rows(ctx, relay, table, after, wait)
	if err != nil {
		return Page{}, err
	}
	if err := s.Eras.Observe(page.Position.Era()); err != nil {
		return Page{}, err
	}
	s.Eras.ObserveRows(page.Position)
	page.Relayed = true
	s.recordUpstream(table, relay)
	return page, nil
}

// choose returns the first relay that has not failed recently, or "" if the store is to be called.
func (s *RelayedSource) choose(relays Relays, now time.Time) string {
	if relays.Direct {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range relays.Addresses {
		if !now.Before(s.avoidUntil[address]) {
			return address
		}
	}
	return ""
}

// mayCallStore limits the calls to a store that answers nobody. Calls that replace a relay which is not cut off from the store are
// not limited.
func (s *RelayedSource) mayCallStore(relayCutOff bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !relayCutOff || s.storeFailedAt.IsZero() || now.Sub(s.storeFailedAt) >= storeCheckInterval
}

func (s *RelayedSource) recordStoreCall(err error, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFailedAt = time.Time{}
	if err != nil && !errors.Is(err, ErrHistoryDropped) && !errors.Is(err, ErrEraChanged) {
		s.storeFailedAt = now
	}
}

// recordRelayFailure excludes a relay for relayRetryDelay.
func (s *RelayedSource) recordRelayFailure(table, relay string, err error, now time.Time) {
	s.mu.Lock()
	s.avoidUntil[relay] = now.Add(relayRetryDelay)
	for address, until := range s.avoidUntil {
		if now.After(until) {
			delete(s.avoidUntil, address)
		}
	}
	s.mu.Unlock()
	s.Log.Warn("relay does not answer, reading from another one or the store", "table", table, "peer", relay, "error", err.Error())
}

// recordUpstream logs a change of the relay; relay is empty for the store.
func (s *RelayedSource) recordUpstream(table, relay string) {
	s.mu.Lock()
	changed := s.current != relay
	s.current = relay
	s.mu.Unlock()
	if changed {
		s.Log.Info("table followed at another place", "table", table, "relay", relay)
	}
}
