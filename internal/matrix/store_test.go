package matrix

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
)

// putReply is the result of a Put.
type putReply struct {
	version int64
	err     error
}

// Put implements platform.Table.
func (n *instance) Put(ctx context.Context, key string, value []byte, cond platform.Condition) (int64, error) {
	if n.w.run.Broken("unconditional writes") {
		cond = platform.Condition{}
	}
	reply, v := n.call(ctx, toStore, "put:"+keyKind(key), func() any {
		version, err := n.w.table.View(nil).Put(context.Background(), key, value, cond)
		return putReply{version, err}
	})
	switch v {
	case noEffect:
		return 0, platform.ErrUnavailable
	case noReply:
		if n.w.run.Broken("lost replies count as written") {
			return 1, nil
		}
		return 0, platform.ErrAmbiguous
	}
	return reply.(putReply).version, reply.(putReply).err
}

// getReply is the result of a Get.
type getReply struct {
	row api.Row
	err error
}

// Get implements platform.Table.
func (n *instance) Get(ctx context.Context, key string) (api.Row, error) {
	reply, v := n.call(ctx, toStore, "get:"+keyKind(key), func() any {
		row, err := n.w.table.View(n.staleness).Get(context.Background(), key)
		return getReply{row, err}
	})
	if v != done {
		return api.Row{}, platform.ErrUnavailable
	}
	return reply.(getReply).row, reply.(getReply).err
}

func (n *instance) staleness(memory.Op, string) memory.Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Now().Before(n.staleUntil) {
		return memory.FaultStale
	}
	return memory.FaultNone
}

// rangeReply is the result of a Range.
type rangeReply struct {
	rows []api.Row
	err  error
}

// Range implements platform.Table.
func (n *instance) Range(ctx context.Context, prefix, after string, limit int) ([]api.Row, error) {
	reply, v := n.call(ctx, toStore, "range:"+keyKind(prefix), func() any {
		rows, err := n.w.table.View(n.staleness).Range(context.Background(), prefix, after, limit)
		return rangeReply{rows, err}
	})
	if v != done {
		return nil, platform.ErrUnavailable
	}
	return reply.(rangeReply).rows, reply.(rangeReply).err
}
