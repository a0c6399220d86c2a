package retry

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// failuresToEject is the number of consecutive failures after which a server is left out. With a healthy failure rate
	// of 1% a false ejection needs 10^10 attempts.
	failuresToEject = 5
	// ejectBase is the first ejection; each further one in a row doubles it up to ejectMax, which bounds the time for
	// which a recovered server stays out.
	ejectBase = 2 * time.Second
	ejectMax  = 15 * time.Second
	// ejectJitter is the share by which an ejection is shortened at random, so that probes do not start together.
	ejectJitter = 0.2
	// probeTimeout frees the place of a probe whose end was never reported.
	probeTimeout = 30 * time.Second
)

// Health is the ejection state of one backend server as this instance sees it.
type Health struct {
	ID string
	// Failures counts consecutive failures.
	Failures int
	// Ejections counts ejections since the last success.
	Ejections int
	// Until is the end of the ejection; zero if the server is not ejected.
	Until time.Time
	// Probe is the start of the probe in flight; zero if there is none.
	Probe time.Time
}

// Use says how a backend server may be used.
type Use int

// Uses. Half-open servers take one probe at a time.
const (
	UseNormal Use = iota
	UseProbe
	UseNone
)

// state returns the use without regard to the rest of the pool.
func (h Health) state(now time.Time) Use {
	switch {
	case h.Until.IsZero():
		return UseNormal
	case now.Before(h.Until):
		return UseNone
	case h.Probe.IsZero() || now.Sub(h.Probe) > probeTimeout:
		return UseProbe
	default:
		return UseNone
	}
}

// After returns the state after an attempt. A failure while the server is ejected does not lengthen the ejection; a success
// ends it.
func (h Health) After(failed bool, now time.Time, random *rand.Rand) Health {
	if !failed {
		return Health{ID: h.ID}
	}
	h.Failures++
	if now.Before(h.Until) || h.Until.IsZero() && h.Failures < failuresToEject {
		return h
	}
	length := min(ejectBase<<min(h.Ejections, 10), ejectMax)
	length -= time.Duration(ejectJitter * random.Float64() * float64(length))
	h.Ejections++
	h.Until = now.Add(length)
	h.Probe = time.Time{}
	return h
}

// Uses returns the use of each server of a pool, in its order. At most half of the pool is left out: beyond that the servers
// whose ejection ends first are used normally, because a failure of most of a pool more likely lies in the requests or the
// network than in the servers, and the rest could not carry the load.
func Uses(pool []Health, now time.Time) []Use {
	uses := make([]Use, len(pool))
	var out []int
	for i, h := range pool {
		uses[i] = h.state(now)
		if uses[i] != UseNormal {
			out = append(out, i)
		}
	}
	excess := len(out) - len(pool)/2
	if excess <= 0 {
		return uses
	}
	sort.SliceStable(out, func(a, b int) bool { return pool[out[a]].Until.Before(pool[out[b]].Until) })
	for _, i := range out[:excess] {
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

// Uses returns the use of each server of a pool, in its order. The pool is the servers that could take the request.
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

// Begin claims an attempt. It returns false for a probe if another probe is already in flight.
func (e *Ejections) Begin(id string, use Use, now time.Time) bool {
	if use != UseProbe {
		return use == UseNormal
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.rows[id]
	if h.state(now) == UseNormal {
		return true
	}
	if h.state(now) != UseProbe {
		return false
	}
	h.Probe = now
	e.rows[id] = h
	return true
}

// End records the end of an attempt and returns the end of the server's ejection; zero if it is not ejected.
func (e *Ejections) End(id string, failed bool, now time.Time, random *rand.Rand) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.rows[id]
	h.ID = id
	h = h.After(failed, now, random)
	if h == (Health{ID: id}) {
		delete(e.rows, id)
		return time.Time{}
	}
	e.rows[id] = h
	return h.Until
}

// Keep drops the rows of servers that are not in the list.
func (e *Ejections) Keep(ids []string) {
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
