// Package lockorder declares the order in which the shared tables are locked and provides the mutexes that the tables
// use. In builds with the tag lockcheck, locking a lock of the same or a lower rank than one already held panics.
package lockorder

import "sync"

// Rank is the position of a lock in the lock order. A goroutine that holds a lock may only lock locks of a higher rank.
type Rank int

// Ranks of the shared tables, in the order in which they are locked.
const (
	RankConfiguration  Rank = 10
	RankEvacuations    Rank = 15
	RankPeers          Rank = 20
	RankBackendServers Rank = 30
	RankServerLoads    Rank = 33
	RankPrefixIndex    Rank = 35
	RankVersions       Rank = 40
	RankColdStarts     Rank = 43
	RankCrashes        Rank = 45
	RankSessionPins    Rank = 50
	RankOrders         Rank = 60
	RankBodies         Rank = 65
	RankLimits         Rank = 70
	RankCongestion     Rank = 75
	RankQueue          Rank = 80
	RankBills          Rank = 90
	RankRetryBudgets   Rank = 100
	RankLeases         Rank = 103
	RankDuties         Rank = 105
	RankStoreHistory   Rank = 107
	RankTelemetry      Rank = 110
	RankPlatformClient Rank = 115
	// RankStandin is the rank of every table of the stand-ins; no goroutine holds the locks of two of them.
	RankStandin Rank = 120
)

// Mutex is a mutual exclusion lock with a rank.
type Mutex struct {
	rank Rank
	mu   sync.Mutex
}

// New returns an unlocked mutex of the given rank.
func New(rank Rank) *Mutex { return &Mutex{rank: rank} }

// Lock locks the mutex.
func (m *Mutex) Lock() {
	acquire(m.rank)
	m.mu.Lock()
}

// Unlock unlocks the mutex.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}

// RWMutex is a reader/writer lock with a rank.
type RWMutex struct {
	rank Rank
	mu   sync.RWMutex
}

// NewRW returns an unlocked reader/writer lock of the given rank.
func NewRW(rank Rank) *RWMutex { return &RWMutex{rank: rank} }

// Lock locks for writing.
func (m *RWMutex) Lock() {
	acquire(m.rank)
	m.mu.Lock()
}

// Unlock unlocks a lock that was locked by Lock.
func (m *RWMutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}

// RLock locks for reading.
func (m *RWMutex) RLock() {
	acquire(m.rank)
	m.mu.RLock()
}

// RUnlock unlocks a lock that was locked by RLock.
func (m *RWMutex) RUnlock() {
	m.mu.RUnlock()
	release(m.rank)
}
