package platform

import (
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// verdict is what happens to one call.
type verdict int

const (
	verdictServe verdict = iota
	verdictRefuse
	verdictHang
	verdictDrop
	verdictLoseReply
	verdictStale
)

// faultTable holds the faults in force.
type faultTable struct {
	mu     *lockorder.Mutex
	faults api.PlatformFaults
	// writes and reads limit the table's rate; nil means no limit.
	writes, reads *rate.Limiter
	throttled     int
}

func newFaultTable() *faultTable {
	return &faultTable{mu: lockorder.New(lockorder.RankStandin), faults: api.PlatformFaults{List: api.ListNormal}}
}

func (t *faultTable) get() api.PlatformFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// set replaces all faults.
func (t *faultTable) set(faults api.PlatformFaults) {
	if faults.List == "" {
		faults.List = api.ListNormal
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
	t.writes = limiter(faults.WritesPerSecond)
	t.reads = limiter(faults.ReadsPerSecond)
}

// limiter allows a burst of one tenth of a second.
func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

// throttle reports whether a table call exceeds the rate.
func (t *faultTable) throttle(write bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.reads
	if write {
		limit = t.writes
	}
	if limit == nil || limit.AllowN(now, 1) {
		return false
	}
	t.throttled++
	return true
}

func (t *faultTable) throttledCalls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.throttled
}

// latency returns the delay of each call.
func (t *faultTable) latency() time.Duration {
	return time.Duration(t.get().LatencyMillis) * time.Millisecond
}

// judge decides about one call of the named client and uses up a counted fault.
func (t *faultTable) judge(client, key string, write bool) verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if client != "" && slices.Contains(t.faults.Partitioned, client) {
		return verdictDrop
	}
	if key != "" && !strings.HasPrefix(key, t.faults.KeyPrefix) {
		return verdictServe
	}
	switch {
	case t.faults.Outage:
		return verdictRefuse
	case t.faults.Hang:
		return verdictHang
	case write && t.faults.LoseReplies > 0:
		t.faults.LoseReplies--
		return verdictLoseReply
	case write && t.faults.LoseRequests > 0:
		t.faults.LoseRequests--
		return verdictDrop
	case !write && t.faults.StaleReads:
		return verdictStale
	}
	return verdictServe
}
