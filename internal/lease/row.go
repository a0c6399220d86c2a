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

// write replaces the row with the record if the row is unchanged since v, and updates the view. The lease is valid from the
// start of the write.
func (k *Keeper) write(ctx context.Context, v view, next api.LeaseRecord) (bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return v.held, errors.Wrap(err, "encode lease")
	}
	cond := platform.IfAbsent()
	if v.known {
		cond = platform.IfVersion(v.version)
	}
	started, suspendedBefore := k.config.Now(), k.config.Suspended()
	renewed := view{known: true, record: next, firstSeen: started, held: true, renewedAt: started, suspendedBefore: suspendedBefore}
	version, err := k.put(ctx, value, cond)
	if err == nil {
		renewed.version = version
		k.setView(renewed)
		return k.Valid(k.config.Now()), nil
	}
	if errors.Is(err, platform.ErrUnavailable) {
		return v.held, errors.Wrapf(err, "write lease %s", k.config.Name)
	}
	current, version, readErr := k.read(ctx)
	if readErr != nil {
		return v.held, errors.Wrapf(err, "write lease %s", k.config.Name)
	}
	if current == next {
		// The write took effect although its reply was lost. Its number is unique, so the lease is valid from its start.
		renewed.version = version
		k.setView(renewed)
		return k.Valid(k.config.Now()), nil
	}
	if v.known && version == v.version {
		return v.held, errors.Wrapf(err, "write lease %s", k.config.Name) // not written, or a stale read; the next attempt finds out
	}
	return k.adoptRow(v, current, version), nil
}

// adoptRow updates the view with a row that is not the expected one. If the row names this instance and its current fence, it
// comes from an earlier write whose reply was lost: the lease is still held, but not extended.
func (k *Keeper) adoptRow(v view, current api.LeaseRecord, version int64) bool {
	next := view{known: true, record: current, version: version, firstSeen: k.config.Now()}
	if v.held && current.Holder == k.config.Incarnation && current.Fence == v.record.Fence {
		next.held = true
		next.renewedAt, next.suspendedBefore = v.renewedAt, v.suspendedBefore
	}
	k.setView(next)
	return next.held
}
