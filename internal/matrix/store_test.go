package matrix

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
)

// written is the result of a Put.
type written struct {
	version int64
	err     error
}

// Put implements platform.Table.
func (n *instance) Put(ctx context.Context, key string, value []byte, cond platform.Condition) (int64, error) {
	if n.w.run.Broken("unconditional writes") {
		cond = platform.Condition{}
	}
	reply, v := n.call(ctx, toStore, "put:"+kind(key), func() any {
		version, err := n.w.table.View(nil).Put(context.Background(), key, value, cond)
		return written{version, err}
	})
	switch v {
	case noEffect:
		return 0, platform.ErrUnavailable
	case lost:
		if n.w.run.Broken("lost replies count as written") {
			return 1, nil
		}
		return 0, platform.ErrAmbiguous
	}
	return reply.(written).version, reply.(written).err
}

// got is the result of a Get.
type got struct {
	row api.Row
	err error
}

// Get implements platform.Table.
func (n *instance) Get(ctx context.Context, key string) (api.Row, error) {
	reply, v := n.call(ctx, toStore, "get:"+kind(key), func() any {
		row, err := n.w.table.View(n.staleness).Get(context.Background(), key)
		return got{row, err}
	})
	if v != done {
		return api.Row{}, platform.ErrUnavailable
	}
	return reply.(got).row, reply.(got).err
}

func (n *instance) staleness(memory.Op, string) memory.Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Now().Before(n.stale) {
		return memory.FaultStale
	}
	return memory.FaultNone
}

// scanned is the result of a Range.
type scanned struct {
	rows []api.Row
	err  error
}

// Range implements platform.Table.
func (n *instance) Range(ctx context.Context, prefix, after string, limit int) ([]api.Row, error) {
	reply, v := n.call(ctx, toStore, "range:"+kind(prefix), func() any {
		rows, err := n.w.table.View(n.staleness).Range(context.Background(), prefix, after, limit)
		return scanned{rows, err}
	})
	if v != done {
		return nil, platform.ErrUnavailable
	}
	return reply.(scanned).rows, reply.(scanned).err
}
