// Package lease implements named leases, such as the one for placement, each held by at most one instance at a time. The row
// of a lease carries a fence (fencing token) that increases with every holder, so that an engine or a reader can recognise
// and refuse the command of an earlier holder.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/suspend"
	"github.com/cicadawall/cicadawall/internal/worker"
)

const (
	// DefaultTTL is the time for which a lease stays valid after a renewal.
	DefaultTTL = 10 * time.Second
	// renewalsPerTTL is the number of renewals within one TTL. With three, two may fail before the lease expires.
	renewalsPerTTL = 3
	// storeTimeout bounds one call of the table service.
	storeTimeout = 2 * time.Second
	// driftDivisor determines the fraction of the TTL, 1/driftDivisor, by which the holder's lease ends early, because the
	// clocks of instances run at different rates.
	driftDivisor = 20
)

// Config holds the dependencies and settings of a Keeper.
type Config struct {
	Table platform.Table
	// Name identifies the lease.
	Name string
	// Incarnation identifies the holder.
	Incarnation string
	// TTL is the time for which the lease stays valid after a renewal; default DefaultTTL. All instances must use the same
	// value.
	TTL time.Duration
	// Now returns the time with a monotonic reading; the default is time.Now.
	Now func() time.Time
	// Suspended returns how long the machine was suspended in total, which Now does not count; the default is suspend.Total.
	Suspended func() time.Duration
}

// Keeper acquires, renews and releases one lease for one instance.
type Keeper struct {
	config Config

	mu         *lockorder.Mutex
	view       view
	writeCount int64
	closed     bool
}

// view is the keeper's last known state of the row.
type view struct {
	known   bool
	record  api.LeaseRecord
	version int64
	// firstSeen is the time at which a read first returned this version.
	firstSeen time.Time
	// held is true if this instance held the lease according to its last write or read of the row; the lease may have expired
	// since. renewedAt is the start of the last successful write.
	held      bool
	renewedAt time.Time
	// suspendedBefore is the total time of suspension at renewedAt.
	suspendedBefore time.Duration
}

// Grant is the permission to act as the lease holder for a limited time.
type Grant struct {
	Fence int64
	// ValidUntil is the end of the permission unless the lease is renewed.
	ValidUntil time.Time
}

// NewKeeper returns a keeper that does not hold the lease.
func NewKeeper(config Config) *Keeper {
	if config.TTL == 0 {
		config.TTL = DefaultTTL
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Suspended == nil {
		config.Suspended = suspend.Total
	}
	return &Keeper{config: config, mu: lockorder.New(lockorder.RankLeases)}
}

// RowKey returns the key of the lease's row.
func RowKey(name string) string { return "lease/" + name }

func (k *Keeper) currentView() view {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view
}

func (k *Keeper) setView(v view) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v.held = v.held && !k.closed
	k.view = v
}

// nextWriteNumber returns a unique number for one write of the row by this instance. When the row is read back after a lost
// reply, the number tells which write it holds, and thus from which time the lease is valid.
func (k *Keeper) nextWriteNumber() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writeCount++
	return k.writeCount
}

// close ends the lease of this keeper permanently and returns the view before.
func (k *Keeper) close() view {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.view
	k.closed = true
	k.view.held = false
	return v
}

func (k *Keeper) isClosed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closed
}

// validUntil returns the end of the lease by the holder's own clock. The lease is shortened by 1/driftDivisor of the TTL and
// counted from the start of the write. It therefore ends before another instance, which counts the TTL from a later read, may
// take it. Time in which the machine was suspended counts.
func (k *Keeper) validUntil(v view) time.Time {
	return v.renewedAt.Add(k.config.TTL - k.config.TTL/driftDivisor - (k.config.Suspended() - v.suspendedBefore))
}

// Valid reports whether this instance holds the lease at the given time.
func (k *Keeper) Valid(now time.Time) bool {
	v := k.currentView()
	return v.held && now.Before(k.validUntil(v))
}

// Fence returns the fence under which to act at the given time, or a fault if the lease is not held.
func (k *Keeper) Fence(now time.Time) (Grant, *fault.Error) {
	v := k.currentView()
	if !v.held || !now.Before(k.validUntil(v)) {
		return Grant{}, fault.NotRun(fault.StepLease, fault.CodeLeaseLost, "this instance does not hold the lease "+k.config.Name)
	}
	return Grant{Fence: v.record.Fence, ValidUntil: k.validUntil(v)}, nil
}

// Duty returns the periodic duty that renews the lease, or tries to acquire it.
func (k *Keeper) Duty() worker.Duty {
	return worker.Duty{
		Name:     "lease-" + k.config.Name,
		Interval: worker.Every(k.config.TTL / renewalsPerTTL),
		Timeout:  k.config.TTL / renewalsPerTTL,
		Run: func(ctx context.Context) error {
			_, err := k.Acquire(ctx)
			return err
		},
	}
}

// Acquire renews the lease if this instance holds it, or takes it if it is free or its row has not changed for a TTL. It makes
// one attempt and returns whether the lease is held. An error means that the table service returned no definite result; a
// valid lease then stays valid until its end.
func (k *Keeper) Acquire(ctx context.Context) (bool, error) {
	if k.isClosed() {
		return false, nil
	}
	v := k.currentView()
	if v.held {
		return k.renew(ctx, v)
	}
	return k.tryTakeover(ctx, v)
}

func (k *Keeper) renew(ctx context.Context, v view) (bool, error) {
	if !k.config.Now().Before(k.validUntil(v)) {
		// Another instance may hold the lease by now, so the row is read again. If it is unchanged, the lease is taken again
		// under a new fence.
		v.held = false
		k.setView(v)
		return k.tryTakeover(ctx, v)
	}
	next := v.record
	next.Renewals = k.nextWriteNumber()
	return k.write(ctx, v, next)
}

func (k *Keeper) tryTakeover(ctx context.Context, v view) (bool, error) {
	record, version, err := k.read(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return k.write(ctx, view{}, api.LeaseRecord{Holder: k.config.Incarnation, Fence: 1, Renewals: k.nextWriteNumber()})
	}
	if err != nil {
		return false, err
	}
	if !v.known || v.version != version {
		v = view{known: true, record: record, version: version, firstSeen: k.config.Now()}
		k.setView(v)
	}
	free := record.Holder == "" || record.Holder == k.config.Incarnation
	if !free && k.config.Now().Sub(v.firstSeen) < k.config.TTL {
		return false, nil
	}
	return k.write(ctx, v, api.LeaseRecord{Holder: k.config.Incarnation, Fence: record.Fence + 1, Renewals: k.nextWriteNumber()})
}

// Release gives up the lease permanently, so that another instance can take it at once. The fence stays in the row.
func (k *Keeper) Release(ctx context.Context) error {
	// The lease ends locally before the write, so that it has ended even if the reply is lost.
	v := k.close()
	if !v.held {
		return nil
	}
	value, err := json.Marshal(api.LeaseRecord{Fence: v.record.Fence})
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	_, err = k.put(ctx, value, platform.IfVersion(v.version))
	if errors.Is(err, platform.ErrConditionFailed) {
		return nil
	}
	return errors.Wrapf(err, "release lease %s", k.config.Name)
}
