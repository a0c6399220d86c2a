// Package fleet keeps the table of backend servers in step with the platform's list, the servers' load reports and their
// health.
package fleet

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/routing"
	"github.com/cicadawall/cicadawall/internal/table"
	"github.com/cicadawall/cicadawall/internal/worker"
)

// Names of the periodic duties.
const (
	DutyList  = "backend-server-list"
	DutyLoad  = "backend-server-load"
	DutyCache = "backend-server-cache-events"
)

const (
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
	// loadTimeout bounds one round of load reports.
	loadTimeout = 2 * time.Second
)

// LoadReader reads the load report of an engine.
type LoadReader interface {
	// Load returns the report and the time at which it held, by this instance's clock.
	Load(ctx context.Context, server table.Server) (api.EngineLoad, time.Time, error)
}

// CacheReader reads the cache events of an engine.
type CacheReader interface {
	// CacheEvents returns events after the sequence number, or the newest ones for engine.NewestEvents, until they name
	// limit blocks.
	CacheEvents(ctx context.Context, server table.Server, after int64, limit int) (api.CacheEvents, error)
}

// Options are the parts that a fleet works with.
type Options struct {
	Servers   *table.Servers
	Prefixes  *routing.PrefixIndex
	Instances platform.Instances
	Loads     LoadReader
	Caches    CacheReader
	Log       *slog.Logger
	// Instance and AvailabilityZone name this instance for the choice of its subset.
	Instance         string
	AvailabilityZone string
	// Members returns the instances among which the engines are divided.
	Members func() []routing.Member
	// MembersVersion changes whenever Members does; nil means that they never change.
	MembersVersion func() int64
	// SubsetSize is the number of engines of each version that this instance uses; 0 means all.
	SubsetSize   int
	ListInterval time.Duration
	LoadInterval time.Duration
}

// Fleet is the set of backend servers as this instance uses it. Its methods are called by duties, one at a time each.
type Fleet struct {
	opts Options
	// known holds the last list that was taken.
	known map[string]api.InstanceEntry
	// assigned holds the engines of this instance's subsets for the inputs with the fingerprint assignedFor.
	assigned    []string
	assignedFor uint64
	// taken is the list of the last poll, taken with the members of version takenVersion; holding means that servers which
	// it lacks are kept.
	taken        []api.InstanceEntry
	takenVersion int64
	holding      bool
	// cursors holds the position in the cache events of the engines that were used lately. Only PollCaches uses it.
	cursors map[string]cursor
}

// New returns a fleet without servers.
func New(opts Options) *Fleet {
	return &Fleet{opts: opts, known: map[string]api.InstanceEntry{}, cursors: map[string]cursor{}}
}

// Duties returns the periodic duties.
func (f *Fleet) Duties() []worker.Duty {
	return []worker.Duty{
		{Name: DutyList, Interval: worker.Every(f.opts.ListInterval), Timeout: listTimeout, Run: f.PollList},
		{Name: DutyLoad, Interval: worker.Every(f.opts.LoadInterval), Timeout: loadTimeout, Run: f.PollLoads},
		{Name: DutyCache, Interval: worker.Every(cacheInterval), Timeout: cacheTimeout, Run: f.PollCaches},
	}
}

// PollList reads the platform's list. An unreachable list leaves the table as it is.
func (f *Fleet) PollList(ctx context.Context) error {
	entries, err := f.opts.Instances.List(ctx)
	if err != nil {
		return errors.Wrap(err, "read the platform's instance list")
	}
	version := f.membersVersion()
	if f.unchanged(entries, version) {
		return nil
	}
	listed := map[string]api.InstanceEntry{}
	for _, entry := range entries {
		if entry.Kind != api.KindEntry {
			listed[entry.Id] = entry
		}
	}
	f.known = f.merge(listed)
	f.opts.Servers.Sync(f.subset())
	f.taken, f.takenVersion = entries, version
	return nil
}

// unchanged reports whether the list and the registered instances are those of the last poll. The platform client returns
// the same slice for a list that has not changed. A list that is held against the platform's is looked at each time.
func (f *Fleet) unchanged(entries []api.InstanceEntry, version int64) bool {
	same := len(entries) > 0 && len(entries) == len(f.taken) && &entries[0] == &f.taken[0]
	return same && version == f.takenVersion && !f.holding
}

func (f *Fleet) membersVersion() int64 {
	if f.opts.MembersVersion == nil {
		return 0
	}
	return f.opts.MembersVersion()
}

// merge decides which servers stay. If more than half of the known servers vanish at once, the list is more likely wrong
// than the servers: the missing ones stay until they fail by themselves.
func (f *Fleet) merge(listed map[string]api.InstanceEntry) map[string]api.InstanceEntry {
	missing := 0
	for id := range f.known {
		if _, ok := listed[id]; !ok {
			missing++
		}
	}
	f.holding = missing*2 > len(f.known)
	if !f.holding {
		f.forget(listed)
		return listed
	}
	f.opts.Log.Warn("the instance list lacks more than half of the backend servers", "missing", missing, "known", len(f.known))
	for id, entry := range f.known {
		if _, ok := listed[id]; ok {
			continue
		}
		if row, ok := f.opts.Servers.Get(id); ok && row.ConsecutiveFailures == 0 {
			listed[id] = entry
		}
	}
	return listed
}

// forget drops the prefixes of servers that are gone.
func (f *Fleet) forget(listed map[string]api.InstanceEntry) {
	for id := range f.known {
		if _, ok := listed[id]; !ok {
			f.opts.Prefixes.RemoveServer(id)
		}
	}
}
