package platform

import (
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// verdict says whether a call is executed and answered, or which fault it meets.
type verdict int

const (
	verdictServe verdict = iota
	// verdictRefuse answers with 503 without executing the call.
	verdictRefuse
	// verdictHang neither executes nor answers the call.
	verdictHang
	// verdictDrop closes the connection without executing the call.
	verdictDrop
	// verdictLoseReply executes the call and closes the connection without an answer.
	verdictLoseReply
	// verdictStale answers a read with outdated rows.
	verdictStale
)

// faultTable holds the current faults.
type faultTable struct {
	mu     *lockorder.Mutex
	faults api.PlatformFaults
	// writes and reads limit the rate of calls to the table service; nil means no limit.
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
	t.writes = newLimiter(faults.WritesPerSecond)
	t.reads = newLimiter(faults.ReadsPerSecond)
}

// newLimiter returns a limiter with a burst of the calls of one tenth of a second, or nil if perSecond is 0.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

// throttle reports whether a table call exceeds the rate limit, and counts the call if so.
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

// latency returns the time by which each call is delayed.
func (t *faultTable) latency() time.Duration {
	return time.Duration(t.get().LatencyMillis) * time.Millisecond
}

// nextVerdict returns the verdict on one call of the named client and decrements the counter of the fault that it applies.
func (t *faultTable) nextVerdict(client, key string, write bool) verdict {
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
