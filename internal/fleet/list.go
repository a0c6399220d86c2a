// Package fleet updates the table of backend servers from the platform's list and the servers' load reports, and the prefix
// index from the engines' cache events.
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
	// Load returns the report and the time, by this instance's clock, at which it was valid.
	Load(ctx context.Context, server table.Server) (api.EngineLoad, time.Time, error)
}

// CacheReader reads the cache events of an engine.
type CacheReader interface {
	// CacheEvents returns the events after a sequence number, or the newest events if after is engine.NewestEvents. The reply
	// ends when its events name limit blocks.
	CacheEvents(ctx context.Context, server table.Server, after int64, limit int) (api.CacheEvents, error)
}

// Options are the dependencies and settings of a Fleet.
type Options struct {
	Servers   *table.Servers
	Prefixes  *routing.PrefixIndex
	Instances platform.Instances
	Loads     LoadReader
	Caches    CacheReader
	Log       *slog.Logger
	// Instance and AvailabilityZone are the ID and the zone of this instance, by which its subset is chosen.
	Instance         string
	AvailabilityZone string
	// Members returns the registered instances among which the engines are divided; nil means that this is the only one.
	Members func() []routing.Member
	// MembersVersion returns a number that changes whenever the result of Members does; nil means that it never changes.
	MembersVersion func() int64
	// SubsetSize is the number of engines of each version that this instance uses; 0 means all.
	SubsetSize   int
	ListInterval time.Duration
	LoadInterval time.Duration
}

// Fleet is the set of backend servers that this instance uses. Periodic duties call its methods; no method runs concurrently
// with itself.
type Fleet struct {
	opts Options
	// knownServers holds the backend servers by ID as of the last poll: those listed and the missing ones that were kept.
	knownServers map[string]api.InstanceEntry
	// assignedIDs holds the engines of this instance's subsets; assignedFingerprint identifies the inputs from which they were
	// computed.
	assignedIDs         []string
	assignedFingerprint uint64
	// lastEntries is the list of the last poll and lastMembersVersion the version of the members at that time. If keepsMissing
	// is set, servers that the list lacks were kept.
	lastEntries        []api.InstanceEntry
	lastMembersVersion int64
	keepsMissing       bool
	// cursors holds the positions in the cache events of the recently used engines by engine ID. Only PollCaches uses it.
	cursors map[string]cursor
}

// New returns a fleet without servers.
func New(opts Options) *Fleet {
	return &Fleet{opts: opts, knownServers: map[string]api.InstanceEntry{}, cursors: map[string]cursor{}}
}

// Duties returns the periodic duties of the fleet.
func (f *Fleet) Duties() []worker.Duty {
	return []worker.Duty{
		{Name: DutyList, Interval: worker.Every(f.opts.ListInterval), Timeout: listTimeout, Run: f.PollList},
		{Name: DutyLoad, Interval: worker.Every(f.opts.LoadInterval), Timeout: loadTimeout, Run: f.PollLoads},
		{Name: DutyCache, Interval: worker.Every(cachePollInterval), Timeout: cacheTimeout, Run: f.PollCaches},
	}
}

// PollList reads the platform's list and updates the table of backend servers. If the list cannot be read, the table stays
// as it is.
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
	f.knownServers = f.keepMissing(listed)
	f.opts.Servers.Sync(f.subsetEntries())
	f.lastEntries, f.lastMembersVersion = entries, version
	return nil
}

// unchanged reports whether the list and the registered instances are those of the last poll. The platform client returns
// the same slice for a list that has not changed. While missing servers are kept it returns false, because each poll must
// check whether they have failed.
func (f *Fleet) unchanged(entries []api.InstanceEntry, version int64) bool {
	same := len(entries) > 0 && len(entries) == len(f.lastEntries) && &entries[0] == &f.lastEntries[0]
	return same && version == f.lastMembersVersion && !f.keepsMissing
}

func (f *Fleet) membersVersion() int64 {
	if f.opts.MembersVersion == nil {
		return 0
	}
	return f.opts.MembersVersion()
}

// keepMissing returns the servers to use: the listed ones and, if more than half of the known servers are missing from the
// list, the missing ones without failures. So many missing servers are more likely a fault of the list than of the servers,
// so each stays until an attempt at it or a load report fails.
func (f *Fleet) keepMissing(listed map[string]api.InstanceEntry) map[string]api.InstanceEntry {
	missing := 0
	for id := range f.knownServers {
		if _, ok := listed[id]; !ok {
			missing++
		}
	}
	f.keepsMissing = missing*2 > len(f.knownServers)
	if !f.keepsMissing {
		f.dropPrefixes(listed)
		return listed
	}
	f.opts.Log.Warn("instance list lacks most of the known backend servers; keeping those without failures", "missing", missing, "known", len(f.knownServers))
	for id, entry := range f.knownServers {
		if _, ok := listed[id]; ok {
			continue
		}
		if row, ok := f.opts.Servers.Get(id); ok && row.ConsecutiveFailures == 0 {
			listed[id] = entry
		}
	}
	return listed
}

// dropPrefixes removes the servers that are no longer listed from the prefix index.
func (f *Fleet) dropPrefixes(listed map[string]api.InstanceEntry) {
	for id := range f.knownServers {
		if _, ok := listed[id]; !ok {
			f.opts.Prefixes.RemoveServer(id)
		}
	}
}
