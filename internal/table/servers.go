package table

import (
	"slices"
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// Server is a copy of one backend server's row.
type Server struct {
	Entry api.InstanceEntry
	// Leaving is set by the instance list or by the server's own word that it drains; it stays set.
	Leaving bool
	// InFlight is the exact number of this instance's requests on the server.
	InFlight int
	// LastBegin is when this instance last began an attempt on the server; zero if it never did.
	LastBegin time.Time
	// Load is the last load report; ReportedAt is when it held, by this instance's clock.
	Load       api.EngineLoad
	ReportedAt time.Time
	// SentSince counts this instance's requests sent after ReportedAt.
	SentSince int
	// sent holds the times of these requests, oldest first.
	sent []time.Time
	// ConsecutiveFailures counts failures since the last success.
	ConsecutiveFailures int
	LastFailure         time.Time
	// EjectedUntil is the end of an ejection; zero if there is none.
	EjectedUntil time.Time
	// FirstToken is a moving average of the time to the first token.
	FirstToken time.Duration
}

// Loads reports whether the server has the version loaded, by its last report.
func (s *Server) Loads(id declaration.VersionID) bool {
	for _, v := range s.Load.Versions {
		if v.Model == id.Model && v.Version == id.Version {
			return true
		}
	}
	return false
}

// maxSent bounds the requests counted on top of a report. With more than that the report is useless anyway.
const maxSent = 1024

// firstTokenWeight is the weight of a new sample in the moving average of the time to the first token.
const firstTokenWeight = 0.2

// Servers is the table of backend servers that this instance uses.
type Servers struct {
	mu   *lockorder.RWMutex
	rows map[string]*Server
}

// NewServers returns an empty table.
func NewServers() *Servers {
	return &Servers{mu: lockorder.NewRW(lockorder.RankBackendServers), rows: map[string]*Server{}}
}

// Sync replaces the set of servers. Rows of servers that stay keep their state; a server that drains stays leaving.
func (t *Servers) Sync(entries []api.InstanceEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := map[string]bool{}
	for _, entry := range entries {
		if entry.Kind == api.KindEntry {
			continue
		}
		present[entry.Id] = true
		row, ok := t.rows[entry.Id]
		if !ok {
			row = &Server{}
			t.rows[entry.Id] = row
		}
		row.Entry = entry
		row.Leaving = row.Leaving || entry.State == api.InstanceLeaving
	}
	for id := range t.rows {
		if !present[id] {
			delete(t.rows, id)
		}
	}
}

// Select returns copies of the rows that the filter accepts, ordered by id. The filter must not block.
func (t *Servers) Select(accept func(*Server) bool) []Server {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Server
	for _, row := range t.rows {
		if accept(row) {
			out = append(out, *row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Entry.Id < out[j].Entry.Id })
	return out
}

// Get returns a copy of one row.
func (t *Servers) Get(id string) (Server, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, ok := t.rows[id]
	if !ok {
		return Server{}, false
	}
	return *row, true
}

// Update changes one row under the lock. The change must not block.
func (t *Servers) Update(id string, change func(*Server)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row, ok := t.rows[id]; ok {
		change(row)
	}
}

// Begin records the start of an attempt. It returns false if the server is gone or leaving, so that nothing new starts on
// a server that was marked between the choice and the send.
func (t *Servers) Begin(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[id]
	if !ok || row.Leaving {
		return false
	}
	row.InFlight++
	if len(row.sent) == maxSent {
		row.sent = row.sent[1:]
	}
	row.sent = append(row.sent, time.Now())
	row.SentSince = len(row.sent)
	row.LastBegin = time.Now()
	return true
}

// End records the end of an attempt and whether the server failed it.
func (t *Servers) End(id string, failed bool, now time.Time) {
	t.Update(id, func(row *Server) {
		row.InFlight = max(0, row.InFlight-1)
		if !failed {
			row.ConsecutiveFailures = 0
			return
		}
		row.ConsecutiveFailures++
		row.LastFailure = now
	})
}

// ObserveLoad records a load report that held at the given time.
func (t *Servers) ObserveLoad(id string, load api.EngineLoad, at time.Time) {
	t.Update(id, func(row *Server) {
		if at.Before(row.ReportedAt) {
			return
		}
		row.Load = load
		row.ReportedAt = at
		// A report lags: requests sent after the time at which it held are not in it.
		after := slices.IndexFunc(row.sent, func(sent time.Time) bool { return sent.After(at) })
		if after < 0 {
			after = len(row.sent)
		}
		row.sent = append([]time.Time(nil), row.sent[after:]...)
		row.SentSince = len(row.sent)
		row.Leaving = row.Leaving || load.Draining
	})
}

// ObserveFirstToken records a time to the first token.
func (t *Servers) ObserveFirstToken(id string, sample time.Duration) {
	t.Update(id, func(row *Server) {
		if row.FirstToken == 0 {
			row.FirstToken = sample
			return
		}
		row.FirstToken += time.Duration(firstTokenWeight * float64(sample-row.FirstToken))
	})
}
