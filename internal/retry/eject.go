package retry

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// failuresToEject is the number of consecutive failures after which a backend server is ejected. For a healthy server
	// that fails 1% of its attempts, a false ejection is expected once in 10^10 attempts.
	failuresToEject = 5
	// ejectBase is the length of the first ejection. Each further ejection without a success in between doubles it, up to
	// ejectMax, which bounds the time for which a recovered server stays ejected.
	ejectBase = 2 * time.Second
	ejectMax  = 15 * time.Second
	// ejectJitterFraction is the largest fraction by which an ejection is shortened at random, so that probes of several
	// servers do not start together.
	ejectJitterFraction = 0.2
	// probeTimeout is the time after which a probe whose end was never reported no longer blocks another probe.
	probeTimeout = 30 * time.Second
)

// Health is the ejection state of one backend server as this instance sees it.
type Health struct {
	ID                  string
	ConsecutiveFailures int
	// EjectionCount is the number of ejections since the last success.
	EjectionCount int
	// EjectedUntil is the end of the ejection; zero if the server is not ejected.
	EjectedUntil time.Time
	// ProbeStarted is the start of the probe in flight; zero if there is none.
	ProbeStarted time.Time
}

// Use says whether a backend server may take requests.
type Use int

// Uses. A backend server whose ejection has expired takes one probe at a time until an attempt succeeds.
const (
	UseNormal Use = iota
	UseProbe
	UseNone
)

// use returns how the backend server may be used, without regard to the rest of the pool.
func (h Health) use(now time.Time) Use {
	switch {
	case h.EjectedUntil.IsZero():
		return UseNormal
	case now.Before(h.EjectedUntil):
		return UseNone
	case h.ProbeStarted.IsZero() || now.Sub(h.ProbeStarted) > probeTimeout:
		return UseProbe
	default:
		return UseNone
	}
}

// AfterAttempt returns the state after an attempt. A failure while the backend server is ejected does not extend the
// ejection; a success ends it.
func (h Health) AfterAttempt(failed bool, now time.Time, random *rand.Rand) Health {
	if !failed {
		return Health{ID: h.ID}
	}
	h.ConsecutiveFailures++
	if now.Before(h.EjectedUntil) || h.EjectedUntil.IsZero() && h.ConsecutiveFailures < failuresToEject {
		return h
	}
	length := min(ejectBase<<min(h.EjectionCount, 10), ejectMax)
	length -= time.Duration(ejectJitterFraction * random.Float64() * float64(length))
	h.EjectionCount++
	h.EjectedUntil = now.Add(length)
	h.ProbeStarted = time.Time{}
	return h
}

// Uses returns how each backend server of a pool may be used, in the order of the pool. At most half of the pool is left
// out: if more servers are ejected, those whose ejection ends first are used normally. When most of a pool fails, the cause
// is more likely in the requests or the network than in the servers, and the remaining servers could not carry the load.
func Uses(pool []Health, now time.Time) []Use {
	uses := make([]Use, len(pool))
	var ejected []int
	for i, h := range pool {
		uses[i] = h.use(now)
		if uses[i] != UseNormal {
			ejected = append(ejected, i)
		}
	}
	excess := len(ejected) - len(pool)/2
	if excess <= 0 {
		return uses
	}
	sort.SliceStable(ejected, func(a, b int) bool { return pool[ejected[a]].EjectedUntil.Before(pool[ejected[b]].EjectedUntil) })
	for _, i := range ejected[:excess] {
		uses[i] = UseNormal
	}
	return uses
}

// Ejections is the table of the backend servers' ejection states. It is safe for concurrent use.
type Ejections struct {
	mu   *lockorder.Mutex
	rows map[string]Health
}

// NewEjections returns an empty table.
func NewEjections() *Ejections {
	return &Ejections{mu: lockorder.New(lockorder.RankRetryBudgets), rows: map[string]Health{}}
}

// Uses returns how each backend server of a pool may be used, in the order of ids. The pool consists of the backend servers
// that could take the request.
func (e *Ejections) Uses(ids []string, now time.Time) []Use {
	return Uses(e.pool(ids), now)
}

func (e *Ejections) pool(ids []string) []Health {
	e.mu.Lock()
	defer e.mu.Unlock()
	pool := make([]Health, len(ids))
	for i, id := range ids {
		pool[i] = e.rows[id]
		pool[i].ID = id
	}
	return pool
}

// BeginAttempt reports whether an attempt with the given use may start, and records the start of a probe. It returns false
// for a probe if another probe is already in flight.
func (e *Ejections) BeginAttempt(id string, use Use, now time.Time) bool {
	if use != UseProbe {
		return use == UseNormal
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.rows[id]
	if h.use(now) == UseNormal {
		return true
	}
	if h.use(now) != UseProbe {
		return false
	}
	h.ProbeStarted = now
	e.rows[id] = h
	return true
}

// EndAttempt records the result of an attempt. It returns the end of the backend server's ejection; zero if it is not
// ejected.
func (e *Ejections) EndAttempt(id string, failed bool, now time.Time, random *rand.Rand) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.rows[id]
	h.ID = id
	h = h.AfterAttempt(failed, now, random)
	if h == (Health{ID: id}) {
		delete(e.rows, id)
		return time.Time{}
	}
	e.rows[id] = h
	return h.EjectedUntil
}

// Retain removes the rows of the backend servers that are not in ids.
func (e *Ejections) Retain(ids []string) {
	present := map[string]bool{}
	for _, id := range ids {
		present[id] = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.rows {
		if !present[id] {
			delete(e.rows, id)
		}
	}
}
