// Package lease gives one instance at a time a named duty, such as placement. The lease row carries a fencing number that
// rises with every holder, so that an engine or a reader can tell an old holder's command.
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
	"github.com/cicadawall/cicadawall/internal/worker"
)

const (
	// DefaultTTL is the time for which a renewal holds.
	DefaultTTL = 10 * time.Second
	// renewalsPerTTL is the number of renewals within one TTL; three leave room for two failed ones.
	renewalsPerTTL = 3
	// storeTimeout bounds one call to the table service.
	storeTimeout = 2 * time.Second
	// driftShare is the part of the TTL by which the holder stops early, 1/driftShare, because clocks run at rates that differ.
	driftShare = 20
)

// Config holds what a Keeper needs.
type Config struct {
	Table platform.Table
	// Name identifies the lease.
	Name string
	// Incarnation identifies the holder.
	Incarnation string
	// TTL is the time for which a renewal holds; default DefaultTTL. All instances must use the same value.
	TTL time.Duration
	// Now returns the time with a monotonic reading; the default is time.Now.
	Now func() time.Time
}

// Keeper acquires, renews and releases one lease for one instance.
type Keeper struct {
	config Config

	mu       *lockorder.Mutex
	view     view
	attempts int64
	closed   bool
}

// view is what the keeper knows of the row.
type view struct {
	known   bool
	record  api.LeaseRecord
	version int64
	// seen is the time at which a read first returned this version.
	seen time.Time
	// held is true while this instance believes that it holds the lease; renewed is the start of its last successful write.
	held    bool
	renewed time.Time
}

// Grant is a holder's right to act.
type Grant struct {
	Fence int64
	// Until is the end of the right unless the lease is renewed.
	Until time.Time
}

// NewKeeper returns a keeper that does not hold the lease.
func NewKeeper(config Config) *Keeper {
	if config.TTL == 0 {
		config.TTL = DefaultTTL
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Keeper{config: config, mu: lockorder.New(lockorder.RankLeases)}
}

// RowKey returns the key of the lease's row.
func RowKey(name string) string { return "lease/" + name }

func (k *Keeper) state() view {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view
}

func (k *Keeper) setState(v view) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v.held = v.held && !k.closed
	k.view = v
}

// attempt returns a number for one write of the row. No two writes of this holder carry the same number, so that a row
// that is read back tells which write it holds, and with it the time from which the right counts.
func (k *Keeper) attempt() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.attempts++
	return k.attempts
}

// close ends the right for good and returns what was held.
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

// until returns the end of the holder's right by its own clock. It ends early by the drift share, and it counts from the
// start of the write, so that it ends before any waiter, which counts from a later read, may take the lease.
func (k *Keeper) until(v view) time.Time {
	return v.renewed.Add(k.config.TTL - k.config.TTL/driftShare)
}

// Valid reports whether this instance holds the lease at the given time.
func (k *Keeper) Valid(now time.Time) bool {
	v := k.state()
	return v.held && now.Before(k.until(v))
}

// Fence returns the fencing number under which to act at the given time, or a fault if the lease is not held.
func (k *Keeper) Fence(now time.Time) (Grant, *fault.Error) {
	v := k.state()
	if !v.held || !now.Before(k.until(v)) {
		return Grant{}, fault.NotRun(fault.StepLease, fault.CodeLeaseLost, "this instance does not hold the lease "+k.config.Name)
	}
	return Grant{Fence: v.record.Fence, Until: k.until(v)}, nil
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

// Acquire renews the lease if this instance holds it, or takes it if it is free or was seen unchanged for a TTL. It makes
// one attempt and returns whether the lease is held. An error means that the table service gave no clear answer; a valid
// lease then stays valid until its end.
func (k *Keeper) Acquire(ctx context.Context) (bool, error) {
	if k.isClosed() {
		return false, nil
	}
	v := k.state()
	if v.held {
		return k.renew(ctx, v)
	}
	return k.take(ctx, v)
}

func (k *Keeper) renew(ctx context.Context, v view) (bool, error) {
	if !k.config.Now().Before(k.until(v)) {
		// Another instance may hold the lease by now. The row decides; if it is unchanged it is taken under a new fence.
		v.held = false
		k.setState(v)
		return k.take(ctx, v)
	}
	next := v.record
	next.Renewals = k.attempt()
	return k.write(ctx, v, next)
}

func (k *Keeper) take(ctx context.Context, v view) (bool, error) {
	record, version, err := k.read(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return k.write(ctx, view{}, api.LeaseRecord{Holder: k.config.Incarnation, Fence: 1, Renewals: k.attempt()})
	}
	if err != nil {
		return false, err
	}
	if !v.known || v.version != version {
		v = view{known: true, record: record, version: version, seen: k.config.Now()}
		k.setState(v)
	}
	free := record.Holder == "" || record.Holder == k.config.Incarnation
	if !free && k.config.Now().Sub(v.seen) < k.config.TTL {
		return false, nil
	}
	return k.write(ctx, v, api.LeaseRecord{Holder: k.config.Incarnation, Fence: record.Fence + 1, Renewals: k.attempt()})
}

// Release gives the lease up for good, so that another instance can take it at once. The fence stays in the row.
func (k *Keeper) Release(ctx context.Context) error {
	// The right ends before the write, so that it has ended even if the reply is lost.
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
