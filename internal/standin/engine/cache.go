package engine

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// maxEvents bounds the cache events that are kept; older ones are lost.
const maxEvents = 4096

type lateEvent struct {
	ready time.Time
	event api.CacheEvent
}

// cacheTable is the prefix cache of limited size with its events. Blocks are evicted in the order of their last use.
type cacheTable struct {
	mu       *lockorder.Mutex
	blocks   *simplelru.LRU[string, struct{}]
	size     int
	events   []lateEvent
	sequence int64
	evicted  []string
	random   *rand.Rand
}

func newCacheTable(size int, seed int64) (*cacheTable, error) {
	t := &cacheTable{mu: lockorder.New(lockorder.RankStandin), size: size, random: rand.New(rand.NewPCG(uint64(seed), 1))}
	blocks, err := simplelru.NewLRU(size, func(name string, _ struct{}) { t.evicted = append(t.evicted, name) })
	if err != nil {
		return nil, err
	}
	t.blocks = blocks
	return t, nil
}

// use looks up the blocks of a prompt, stores the missing ones and returns how many from the first on were there.
func (t *cacheTable) use(names []string, settings api.EngineStandinSettings, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	hits := 0
	for hits < len(names) && t.blocks.Contains(names[hits]) {
		hits++
	}
	stored := []string{}
	for i, name := range names {
		t.blocks.Add(name, struct{}{})
		if i >= hits {
			stored = append(stored, name)
		}
	}
	t.recordLocked(api.CacheStored, stored, settings, now)
	t.recordLocked(api.CacheEvicted, t.evicted, settings, now)
	t.evicted = nil
	return hits
}

// recordLocked appends an event that can be read after the lag, or loses it but uses up its sequence number.
func (t *cacheTable) recordLocked(kind api.CacheEventKind, names []string, settings api.EngineStandinSettings, now time.Time) {
	if len(names) == 0 {
		return
	}
	t.sequence++
	if t.random.Float64() < settings.EventDropFraction {
		return
	}
	ready := now.Add(time.Duration(settings.EventLagMillis) * time.Millisecond)
	t.events = append(t.events, lateEvent{ready: ready, event: api.CacheEvent{Sequence: t.sequence, Kind: kind, Blocks: names}})
	if len(t.events) > maxEvents {
		t.events = t.events[len(t.events)-maxEvents:]
	}
}

// eventsAfter returns the events after the sequence number that are ready, until they name limit blocks; 0 means no limit.
func (t *cacheTable) eventsAfter(after int64, limit int, now time.Time) api.CacheEvents {
	t.mu.Lock()
	defer t.mu.Unlock()
	start := sort.Search(len(t.events), func(i int) bool { return t.events[i].event.Sequence > after })
	result := t.readLocked(start, limit, now)
	if len(result.Events) == 0 {
		result.Next = after
	}
	return result
}

// newest returns the last events that are ready and name at most limit blocks, at least one event.
func (t *cacheTable) newest(limit int, now time.Time) api.CacheEvents {
	t.mu.Lock()
	defer t.mu.Unlock()
	start := t.readyLocked(now)
	blocks := 0
	for start > 0 {
		blocks += len(t.events[start-1].event.Blocks)
		if limit > 0 && blocks > limit && start < t.readyLocked(now) {
			break
		}
		start--
	}
	return t.readLocked(start, limit, now)
}

// readyLocked returns the number of events that can be read.
func (t *cacheTable) readyLocked(now time.Time) int {
	return sort.Search(len(t.events), func(i int) bool { return now.Before(t.events[i].ready) })
}

func (t *cacheTable) readLocked(start, limit int, now time.Time) api.CacheEvents {
	result := api.CacheEvents{Events: []api.CacheEvent{}}
	ready := t.readyLocked(now)
	if ready > 0 {
		result.LastSequence = t.events[ready-1].event.Sequence
	}
	blocks := 0
	for i := start; i < ready && (limit <= 0 || blocks < limit); i++ {
		result.Events = append(result.Events, t.events[i].event)
		result.Next = t.events[i].event.Sequence
		blocks += len(t.events[i].event.Blocks)
	}
	return result
}

// share returns the share of the cache in use.
func (t *cacheTable) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.blocks.Len()) / float64(t.size)
}
