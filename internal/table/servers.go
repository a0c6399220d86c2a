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
	// Leaving is set once the instance list or a load report of the server shows that it is leaving; it is never cleared.
	Leaving bool
	// InFlight is the number of this instance's requests in flight on the server.
	InFlight int
	// LastAttempt is the time at which this instance last began an attempt on the server; zero if it never did.
	LastAttempt time.Time
	// Load is the last load report; ReportedAt is the time to which it applies, by this instance's clock.
	Load       api.EngineLoad
	ReportedAt time.Time
	// SentSinceReport counts this instance's requests sent after ReportedAt.
	SentSinceReport int
	// sentAt holds the send times of these requests, oldest first.
	sentAt []time.Time
	// ConsecutiveFailures counts failures since the last success.
	ConsecutiveFailures int
	LastFailure         time.Time
	// EjectedUntil is the end of the server's ejection; zero if it is not ejected.
	EjectedUntil time.Time
	// TimeToFirstToken is an exponential moving average of the time to first token.
	TimeToFirstToken time.Duration
}

// HasLoaded reports whether the server has the version loaded, according to its last load report.
func (s *Server) HasLoaded(id declaration.VersionID) bool {
	for _, v := range s.Load.Versions {
		if v.Model == id.Model && v.Version == id.Version {
			return true
		}
	}
	return false
}

// maxSentTimes bounds the requests counted in addition to a load report. With more of them, the report says nothing useful.
const maxSentTimes = 1024

// firstTokenSmoothing is the weight of a new sample in the exponential moving average of the time to first token.
const firstTokenSmoothing = 0.2

// Servers is the table of backend servers that this instance uses.
type Servers struct {
	mu   *lockorder.RWMutex
	rows map[string]*Server
}

// NewServers returns an empty table.
func NewServers() *Servers {
	return &Servers{mu: lockorder.NewRW(lockorder.RankBackendServers), rows: map[string]*Server{}}
}

// Sync replaces the set of servers. A server that was already in the table keeps its state; a leaving server stays leaving.
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

// Select returns copies of the rows that accept returns true for, ordered by id. The function must not block.
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

// Update calls change on one row while it holds the lock. The function must not block.
func (t *Servers) Update(id string, change func(*Server)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row, ok := t.rows[id]; ok {
		change(row)
	}
}

// BeginAttempt records the start of an attempt. It returns false if the server was removed or is leaving, so that no attempt
// starts on a server that was marked as leaving between the choice and the send.
func (t *Servers) BeginAttempt(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[id]
	if !ok || row.Leaving {
		return false
	}
	row.InFlight++
	if len(row.sentAt) == maxSentTimes {
		row.sentAt = row.sentAt[1:]
	}
	row.sentAt = append(row.sentAt, time.Now())
	row.SentSinceReport = len(row.sentAt)
	row.LastAttempt = time.Now()
	return true
}

// EndAttempt records the end of an attempt and whether the server failed it.
func (t *Servers) EndAttempt(id string, failed bool, now time.Time) {
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

// ObserveLoad records a load report that applies to the given time. A report older than the last one is ignored.
func (t *Servers) ObserveLoad(id string, load api.EngineLoad, reportedAt time.Time) {
	t.Update(id, func(row *Server) {
		if reportedAt.Before(row.ReportedAt) {
			return
		}
		row.Load = load
		row.ReportedAt = reportedAt
		// A report lags: it does not contain requests sent after the time to which it applies.
		firstAfter := slices.IndexFunc(row.sentAt, func(sent time.Time) bool { return sent.After(reportedAt) })
		if firstAfter < 0 {
			firstAfter = len(row.sentAt)
		}
		row.sentAt = append([]time.Time(nil), row.sentAt[firstAfter:]...)
		row.SentSinceReport = len(row.sentAt)
		row.Leaving = row.Leaving || load.Draining
	})
}

// ObserveTimeToFirstToken adds a sample to the average time to first token.
func (t *Servers) ObserveTimeToFirstToken(id string, sample time.Duration) {
	t.Update(id, func(row *Server) {
		if row.TimeToFirstToken == 0 {
			row.TimeToFirstToken = sample
			return
		}
		row.TimeToFirstToken += time.Duration(firstTokenSmoothing * float64(sample-row.TimeToFirstToken))
	})
}
