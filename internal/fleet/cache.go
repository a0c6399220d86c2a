package fleet

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/engine"
	"github.com/cicadawall/cicadawall/internal/engine/prefix"
	"github.com/cicadawall/cicadawall/internal/table"
)

const (
	// cachePollInterval is the time between two rounds of reading cache events, and cacheTimeout bounds one round.
	cachePollInterval = 2 * time.Second
	cacheTimeout      = 2 * time.Second
	// maxEnginesPerRound bounds the engines whose events are read in a round, and maxBlocksPerReply is the number of blocks
	// after which a reply ends. At about 20 bytes a block, 4 engines x 128 blocks every 2 s are about 5 KB/s of the 15 KB/s
	// that a node may use.
	maxEnginesPerRound = 4
	maxBlocksPerReply  = 128
	cacheConcurrency   = 4
	// recentUse is the time after the last request to an engine during which its events are read. Outdated blocks of an
	// engine in the prefix index do no harm while it gets no requests.
	recentUse = time.Minute
)

// cursor is this instance's position in the cache events of one engine.
type cursor struct {
	// lastApplied is the sequence number of the last applied event; engine.NewestEvents before the first event is applied.
	lastApplied int64
	readAt      time.Time
}

func (c cursor) hasApplied() bool { return c.lastApplied != engine.NewestEvents }

// cacheReply is the reply of one engine to a read of its cache events, or the error of the read.
type cacheReply struct {
	server string
	events api.CacheEvents
	err    error
}

// PollCaches reads the cache events of the engines that this instance used recently and updates the prefix index. The
// engines whose events were read longest ago come first.
func (f *Fleet) PollCaches(ctx context.Context) error {
	now := time.Now()
	used := f.opts.Servers.Select(func(row *table.Server) bool {
		return row.Entry.Kind == api.KindEngine && !row.LastAttempt.IsZero() && now.Sub(row.LastAttempt) < recentUse
	})
	f.updateCursors(used)
	slices.SortStableFunc(used, func(a, b table.Server) int {
		return f.cursors[a.Entry.Id].readAt.Compare(f.cursors[b.Entry.Id].readAt)
	})
	for _, reply := range f.readCacheEvents(ctx, used[:min(len(used), maxEnginesPerRound)]) {
		f.applyReply(reply, now)
	}
	return nil
}

// updateCursors adds a cursor for each engine that has none and deletes the cursors of engines that were not used recently.
// When such an engine is used again, it may no longer hold the events after the old position.
func (f *Fleet) updateCursors(used []table.Server) {
	kept := make(map[string]cursor, len(used))
	for _, row := range used {
		position, ok := f.cursors[row.Entry.Id]
		if !ok {
			position.lastApplied = engine.NewestEvents
		}
		kept[row.Entry.Id] = position
	}
	f.cursors = kept
}

func (f *Fleet) readCacheEvents(ctx context.Context, servers []table.Server) []cacheReply {
	replies := make([]cacheReply, len(servers))
	var group errgroup.Group
	group.SetLimit(cacheConcurrency)
	for i, server := range servers {
		after := f.cursors[server.Entry.Id].lastApplied
		group.Go(func() error {
			events, err := f.opts.Caches.CacheEvents(ctx, server, after, maxBlocksPerReply)
			replies[i] = cacheReply{server: server.Entry.Id, events: events, err: err}
			return nil
		})
	}
	_ = group.Wait()
	return replies
}

// applyReply applies the events of one engine in order. After a gap in the sequence numbers it is unknown which blocks the
// engine caches, so all its blocks are removed from the prefix index.
func (f *Fleet) applyReply(reply cacheReply, now time.Time) {
	position := f.cursors[reply.server]
	position.readAt = now
	defer func() { f.cursors[reply.server] = position }()
	if reply.err != nil {
		f.opts.Log.Debug("cache events could not be read", "backend_server", reply.server, "error", reply.err.Error())
		return
	}
	if position.hasApplied() && reply.events.LastSequence < position.lastApplied {
		f.dropBlocks(reply.server, "the sequence numbers start again")
		position.lastApplied = engine.NewestEvents
		return
	}
	for _, event := range reply.events.Events {
		if position.hasApplied() && event.Sequence != position.lastApplied+1 {
			f.dropBlocks(reply.server, "events are missing")
		}
		f.applyEvent(reply.server, event)
		position.lastApplied = event.Sequence
	}
	if !position.hasApplied() {
		position.lastApplied = reply.events.Next
	}
}

func (f *Fleet) dropBlocks(server, reason string) {
	f.opts.Log.Debug("gap in the cache events; removed the blocks of the engine from the prefix index", "backend_server", server, "reason", reason)
	f.opts.Prefixes.RemoveServer(server)
}

func (f *Fleet) applyEvent(server string, event api.CacheEvent) {
	blocks := make([]prefix.Block, 0, len(event.Blocks))
	for _, name := range event.Blocks {
		if block, err := prefix.ParseBlock(name); err == nil {
			blocks = append(blocks, block)
		}
	}
	if event.Kind == api.CacheEvicted {
		f.opts.Prefixes.RemoveBlocks(server, blocks)
		return
	}
	f.opts.Prefixes.AddBlocks(server, blocks)
}
