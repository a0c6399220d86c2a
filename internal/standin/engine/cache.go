package engine

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// maxEvents limits the number of cache events that are kept; older events are dropped.
const maxEvents = 4096

// delayedEvent is an event that can be read from the time readyAt on.
type delayedEvent struct {
	readyAt time.Time
	event   api.CacheEvent
}

// cacheTable is a prefix cache of limited size and the log of its events. The least recently used block is evicted first.
type cacheTable struct {
	mu       *lockorder.Mutex
	blocks   *simplelru.LRU[string, struct{}]
	capacity int
	events   []delayedEvent
	sequence int64
	evicted  []string
	random   *rand.Rand
}

func newCacheTable(size int, seed int64) (*cacheTable, error) {
	t := &cacheTable{mu: lockorder.New(lockorder.RankStandin), capacity: size, random: rand.New(rand.NewPCG(uint64(seed), 1))}
	blocks, err := simplelru.NewLRU(size, func(name string, _ struct{}) { t.evicted = append(t.evicted, name) })
	if err != nil {
		return nil, err
	}
	t.blocks = blocks
	return t, nil
}

// lookUpAndStore looks up the blocks of a prompt, stores those that are missing and returns the number of consecutive
// blocks, from the first on, that were cached.
func (t *cacheTable) lookUpAndStore(names []string, settings api.EngineStandinSettings, now time.Time) int {
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

// recordLocked appends an event that becomes readable after the configured lag. At the configured rate it drops events at
// random; a dropped event leaves a gap in the sequence numbers.
func (t *cacheTable) recordLocked(kind api.CacheEventKind, names []string, settings api.EngineStandinSettings, now time.Time) {
	if len(names) == 0 {
		return
	}
	t.sequence++
	if t.random.Float64() < settings.EventDropFraction {
		return
	}
	readyAt := now.Add(time.Duration(settings.EventLagMillis) * time.Millisecond)
	t.events = append(t.events, delayedEvent{readyAt: readyAt, event: api.CacheEvent{Sequence: t.sequence, Kind: kind, Blocks: names}})
	if len(t.events) > maxEvents {
		t.events = t.events[len(t.events)-maxEvents:]
	}
}

// eventsAfter returns the readable events after the sequence number and stops once they name limit blocks; 0 means no limit.
func (t *cacheTable) eventsAfter(after int64, limit int, now time.Time) api.CacheEvents {
	t.mu.Lock()
	defer t.mu.Unlock()
	start := sort.Search(len(t.events), func(i int) bool { return t.events[i].event.Sequence > after })
	result := t.readEventsLocked(start, limit, now)
	if len(result.Events) == 0 {
		result.Next = after
	}
	return result
}

// newestEvents returns the latest readable events that together name at most limit blocks, but at least one event.
func (t *cacheTable) newestEvents(limit int, now time.Time) api.CacheEvents {
	t.mu.Lock()
	defer t.mu.Unlock()
	start := t.countReadyLocked(now)
	blocks := 0
	for start > 0 {
		blocks += len(t.events[start-1].event.Blocks)
		if limit > 0 && blocks > limit && start < t.countReadyLocked(now) {
			break
		}
		start--
	}
	return t.readEventsLocked(start, limit, now)
}

// countReadyLocked returns the number of readable events.
func (t *cacheTable) countReadyLocked(now time.Time) int {
	return sort.Search(len(t.events), func(i int) bool { return now.Before(t.events[i].readyAt) })
}

func (t *cacheTable) readEventsLocked(start, limit int, now time.Time) api.CacheEvents {
	result := api.CacheEvents{Events: []api.CacheEvent{}}
	ready := t.countReadyLocked(now)
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

// usedFraction returns the fraction of the cache that is in use.
func (t *cacheTable) usedFraction() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.blocks.Len()) / float64(t.capacity)
}
