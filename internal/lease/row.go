package lease

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
)

func (k *Keeper) read(ctx context.Context) (api.LeaseRecord, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := k.config.Table.Get(ctx, RowKey(k.config.Name))
	if err != nil {
		return api.LeaseRecord{}, 0, errors.Wrapf(err, "read lease %s", k.config.Name)
	}
	var record api.LeaseRecord
	if err := json.Unmarshal(stored.Value, &record); err != nil {
		return api.LeaseRecord{}, 0, errors.Wrapf(err, "decode lease %s", k.config.Name)
	}
	return record, stored.Version, nil
}

func (k *Keeper) put(ctx context.Context, value []byte, cond platform.Condition) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return k.config.Table.Put(ctx, RowKey(k.config.Name), value, cond)
}

// write puts the record over the row as of v and updates the view. The right counts from the start of the write.
func (k *Keeper) write(ctx context.Context, v view, next api.LeaseRecord) (bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return v.held, errors.Wrap(err, "encode lease")
	}
	cond := platform.IfAbsent()
	if v.known {
		cond = platform.IfVersion(v.version)
	}
	started := k.config.Now()
	version, err := k.put(ctx, value, cond)
	if err == nil {
		k.setState(view{known: true, record: next, version: version, seen: started, held: true, renewed: started})
		return k.Valid(k.config.Now()), nil
	}
	if errors.Is(err, platform.ErrUnavailable) {
		return v.held, errors.Wrapf(err, "write lease %s", k.config.Name)
	}
	present, version, readErr := k.read(ctx)
	if readErr != nil {
		return v.held, errors.Wrapf(err, "write lease %s", k.config.Name)
	}
	if present == next {
		// The attempt number makes this write unique, so the right counts from its start.
		k.setState(view{known: true, record: next, version: version, seen: started, held: true, renewed: started})
		return k.Valid(k.config.Now()), nil
	}
	if v.known && version == v.version {
		return v.held, errors.Wrapf(err, "write lease %s", k.config.Name) // not written, or a stale read; the next round decides
	}
	return k.yield(v, present, version), nil
}

// yield records that the row is not as expected. A row of this holder under its fence is an own write whose reply was
// lost: the lease is still held, but not extended.
func (k *Keeper) yield(v view, present api.LeaseRecord, version int64) bool {
	next := view{known: true, record: present, version: version, seen: k.config.Now()}
	if v.held && present.Holder == k.config.Incarnation && present.Fence == v.record.Fence {
		next.held = true
		next.renewed = v.renewed
	}
	k.setState(next)
	return next.held
}
