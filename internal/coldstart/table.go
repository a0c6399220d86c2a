package coldstart

import (
	"maps"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/routing"
)

// maxServers bounds the servers whose last requests are remembered.
const maxServers = 4096

// Members are the instances among which the owners of cold servers are chosen. They are immutable.
type Members struct {
	Addresses []string
}

// Options of a Table. All fields are required.
type Options struct {
	// Self is the address by which this instance is a member.
	Self string
	// Members returns the members, or nil while they are unknown. It returns the same pointer until they change.
	Members func() *Members
	// Started is when the process started.
	Started time.Time
	Limits  Limits
}

// Table holds the requests of the last window to cold servers. It is safe for concurrent use. Its times are those of the monotonic clock:
// time in which the machine was suspended does not count, which can only delay a request.
type Table struct {
	Options

	mu *lockorder.Mutex
	// members are those for which owned holds, by server, whether this instance is an owner.
	members *Members
	owned   map[string]bool
	// sent holds the starts of the attempts of the last window by server, the earliest first.
	sent map[string][]time.Time
}

// NewTable returns a table without requests.
func NewTable(options Options) *Table {
	return &Table{Options: options, mu: lockorder.New(lockorder.RankColdStarts), owned: map[string]bool{}, sent: map[string][]time.Time{}}
}

// SetLimits replaces the limits.
func (t *Table) SetLimits(limits Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Limits = limits
}

// Mark sets ColdWait of the candidates that are cold and may get no request of this instance now.
func (t *Table) Mark(candidates []routing.Candidate, bound Bound, now time.Time) {
	if !anyCold(candidates) {
		return
	}
	members := t.Members()
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range candidates {
		if c := &candidates[i]; c.ColdFor > 0 {
			c.ColdWait = t.wait(c.ID, members, bound, c.ColdFor, now)
		}
	}
}

func anyCold(candidates []routing.Candidate) bool {
	for i := range candidates {
		if candidates[i].ColdFor > 0 {
			return true
		}
	}
	return false
}

// Take uses one unit of the allowance of this instance for a cold server. If there is none, it returns the time until the server may get a
// request or is no longer cold, and otherwise zero.
func (t *Table) Take(server string, bound Bound, coldFor time.Duration, now time.Time) time.Duration {
	members := t.Members()
	t.mu.Lock()
	defer t.mu.Unlock()
	if wait := t.wait(server, members, bound, coldFor, now); wait > 0 {
		return wait
	}
	if len(t.sent) >= maxServers {
		t.forgetOldWindows(now)
	}
	t.sent[server] = append(t.sent[server], now)
	return 0
}

// wait returns the time until this instance may send a request to the server; zero if it may now. The caller holds the lock.
func (t *Table) wait(server string, members *Members, bound Bound, coldFor time.Duration, now time.Time) time.Duration {
	if !t.isOwner(server, members, now) {
		return coldFor
	}
	sent := t.sent[server]
	for len(sent) > 0 && now.Sub(sent[0]) >= window {
		sent = sent[1:]
	}
	if len(sent) == 0 {
		delete(t.sent, server)
	} else {
		t.sent[server] = sent
	}
	allowed := share(bound, t.Limits)
	if len(sent) < allowed {
		return 0
	}
	return min(coldFor, window-now.Sub(sent[len(sent)-allowed]))
}

// isOwner reports whether this instance is an owner of the server. It is none in the first window of the process, because its predecessor may
// have used the allowance, and while it does not know the other instances. The caller holds the lock.
func (t *Table) isOwner(server string, members *Members, now time.Time) bool {
	if members == nil || now.Sub(t.Started) < window {
		return false
	}
	if members != t.members || len(t.owned) >= maxServers {
		t.members = members
		clear(t.owned)
	}
	owner, known := t.owned[server]
	if !known {
		owner = owns(server, t.Self, members.Addresses)
		t.owned[server] = owner
	}
	return owner
}

// forgetOldWindows removes the servers without requests in the last window. The caller holds the lock.
func (t *Table) forgetOldWindows(now time.Time) {
	maps.DeleteFunc(t.sent, func(_ string, sent []time.Time) bool { return now.Sub(sent[len(sent)-1]) >= window })
}
