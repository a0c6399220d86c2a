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
	// cacheInterval is the wait between two rounds of cache events, and cacheTimeout bounds one round.
	cacheInterval = 2 * time.Second
	cacheTimeout  = 2 * time.Second
	// cacheEngines bounds the engines read in a round and cacheBlocks the blocks after which a reply ends. At about 20
	// bytes a block 4 engines x 128 blocks every 2 s are about 5 KB/s of the 15 KB/s that a node may use.
	cacheEngines     = 4
	cacheBlocks      = 128
	cacheConcurrency = 4
	// usedLately is the time since the last request within which the events of an engine are read. Entries of engines that
	// get no requests cost nothing until one is sent there.
	usedLately = time.Minute
)

// cursor is the position in the cache events of one engine.
type cursor struct {
	// next is the sequence number of the last event that was applied; engine.NewestEvents if none was.
	next int64
	read time.Time
}

func (c cursor) known() bool { return c.next != engine.NewestEvents }

// cacheRead is the reply of one engine.
type cacheRead struct {
	server string
	events api.CacheEvents
	err    error
}

// PollCaches reads the cache events of the engines that this instance used lately, those that were read longest ago first,
// and brings the prefix index in step with them.
func (f *Fleet) PollCaches(ctx context.Context) error {
	now := time.Now()
	used := f.opts.Servers.Select(func(row *table.Server) bool {
		return row.Entry.Kind == api.KindEngine && !row.LastAttempt.IsZero() && now.Sub(row.LastAttempt) < usedLately
	})
	f.keepCursors(used)
	slices.SortStableFunc(used, func(a, b table.Server) int {
		return f.cursors[a.Entry.Id].read.Compare(f.cursors[b.Entry.Id].read)
	})
	for _, reply := range f.readCaches(ctx, used[:min(len(used), cacheEngines)]) {
		f.applyCache(reply, now)
	}
	return nil
}

// keepCursors starts the engines that are new and forgets the position of those that were not used lately, whose events may
// be gone when they are used again.
func (f *Fleet) keepCursors(used []table.Server) {
	kept := make(map[string]cursor, len(used))
	for _, row := range used {
		position, ok := f.cursors[row.Entry.Id]
		if !ok {
			position.next = engine.NewestEvents
		}
		kept[row.Entry.Id] = position
	}
	f.cursors = kept
}

func (f *Fleet) readCaches(ctx context.Context, servers []table.Server) []cacheRead {
	replies := make([]cacheRead, len(servers))
	var group errgroup.Group
	group.SetLimit(cacheConcurrency)
	for i, server := range servers {
		after := f.cursors[server.Entry.Id].next
		group.Go(func() error {
			events, err := f.opts.Caches.CacheEvents(ctx, server, after, cacheBlocks)
			replies[i] = cacheRead{server: server.Entry.Id, events: events, err: err}
			return nil
		})
	}
	_ = group.Wait()
	return replies
}

// applyCache applies the events of one engine in order. After a gap the engine's blocks are unknown and are forgotten.
func (f *Fleet) applyCache(reply cacheRead, now time.Time) {
	position := f.cursors[reply.server]
	position.read = now
	defer func() { f.cursors[reply.server] = position }()
	if reply.err != nil {
		f.opts.Log.Debug("cache events not read", "backend_server", reply.server, "error", reply.err.Error())
		return
	}
	if position.known() && reply.events.LastSequence < position.next {
		f.gap(reply.server, "the numbers start again")
		position.next = engine.NewestEvents
		return
	}
	for _, event := range reply.events.Events {
		if position.known() && event.Sequence != position.next+1 {
			f.gap(reply.server, "events are missing")
		}
		f.applyEvent(reply.server, event)
		position.next = event.Sequence
	}
	if !position.known() {
		position.next = reply.events.Next
	}
}

func (f *Fleet) gap(server, reason string) {
	f.opts.Log.Debug("gap in the cache events, the blocks of the engine are forgotten", "backend_server", server, "reason", reason)
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
