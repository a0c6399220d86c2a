package callerconn

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// evictionQuiet is the time without an eviction after which a period of evictions has ended.
const evictionQuiet = 10 * time.Second

// Evictions counts the connections and bodies of callers that give way to others, by reason, and logs the start and the end of a period in
// which that happens. It is safe for concurrent use.
type Evictions struct {
	log *slog.Logger
	// count adds one to a counter with the name.
	count func(name string)

	mu       *lockorder.Mutex
	started  time.Time
	last     time.Time
	byReason map[string]int
}

// NewEvictions returns Evictions that count with the function.
func NewEvictions(log *slog.Logger, count func(name string)) *Evictions {
	return &Evictions{log: log, count: count, mu: lockorder.New(lockorder.RankTelemetry), byReason: map[string]int{}}
}

// Add counts one eviction.
func (e *Evictions) Add(reason string) {
	e.count(fmt.Sprintf("cicadawall_evictions_total{reason=%q}", reason))
	if e.add(reason, time.Now()) {
		e.log.Warn("no room for all callers, slow connections or bodies give way", "reason", reason)
		time.AfterFunc(evictionQuiet, e.endOrWait)
	}
}

// add returns whether a period of evictions begins.
func (e *Evictions) add(reason string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	begins := len(e.byReason) == 0
	if begins {
		e.started = now
	}
	e.last = now
	e.byReason[reason]++
	return begins
}

// endOrWait logs the end of the period, or waits for the rest of the time without an eviction.
func (e *Evictions) endOrWait() {
	if wait, byReason, lasted := e.end(time.Now()); byReason == nil {
		time.AfterFunc(wait, e.endOrWait)
	} else {
		e.log.Info("room for all callers again", "lasted_ms", lasted.Milliseconds(), "gave_way", byReason)
	}
}

// end ends the period and returns its counts and duration, or the time that must still pass without an eviction.
func (e *Evictions) end(now time.Time) (time.Duration, map[string]int, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if wait := e.last.Add(evictionQuiet).Sub(now); wait > 0 {
		return wait, nil, 0
	}
	byReason := e.byReason
	e.byReason = map[string]int{}
	return 0, byReason, e.last.Sub(e.started)
}
