package matrix

import (
	"context"
	"sync"
	"time"

	"github.com/cicadawall/cicadawall/internal/lease"
)

// watchInterval is the virtual time between two checks that there is only one holder.
const watchInterval = 250 * time.Millisecond

// depot is a world in which three instances compete for a lease and its holder commands two engines.
type depot struct {
	*world
	keepers map[string]*lease.Keeper

	mu sync.Mutex
	// checking is the highest fence that the checking engine accepted; ignoring is the last fence that the other one took.
	checking, ignoring int64
	issued             map[string]int
	overlaps           int
}

func newDepot(w *world) *depot {
	w.lifetime = 90 * time.Second
	return &depot{world: w, keepers: map[string]*lease.Keeper{}, issued: map[string]int{}}
}

// join starts an instance; a keeper without renewals acquires the lease once.
func (d *depot) join(name string, renew bool) *lease.Keeper {
	n := d.node(name)
	config := lease.Config{Table: n, Name: "placement", Incarnation: name}
	if d.run.Broken("holder ignores its deadline") && name == "a" {
		config.TTL = time.Hour
	}
	k := lease.NewKeeper(config)
	d.keepers[name] = k
	if renew {
		n.every(lease.DefaultTTL/3, func(ctx context.Context) { _, _ = k.Acquire(ctx) })
	}
	n.every(time.Second, func(ctx context.Context) { d.command(ctx, n, k) })
	return k
}

// command states the desired state to both engines, as long as the lease is held.
func (d *depot) command(ctx context.Context, n *instance, k *lease.Keeper) {
	grant, refused := k.Fence(time.Now())
	if refused != nil || n.isDead() {
		return
	}
	d.mu.Lock()
	d.issued[n.name]++
	often := d.issued[n.name] > 3
	d.mu.Unlock()
	if d.run.Broken("commands are not reissued") && often {
		return
	}
	n.call(ctx, toEngine, "command", func() any { return d.apply(grant.Fence) })
}

func (d *depot) apply(fence int64) any {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ignoring = fence
	switch {
	case fence >= d.checking:
		d.checking = fence
	case d.run.Broken("engine accepts old fences"):
		d.run.Failf("an engine that checks fencing numbers ran a command with fence %d after %d", fence, d.checking)
	}
	return nil
}

// watch counts the moments at which two instances hold the lease.
func (d *depot) watch() {
	d.loops.Go(func() {
		for time.Since(d.start) < d.lifetime {
			holders := 0
			for name, k := range d.keepers {
				if !d.node(name).isDead() && k.Valid(time.Now()) {
					holders++
				}
			}
			if holders > 1 {
				d.overlaps++
			}
			advance(watchInterval)
		}
	})
}

// compete runs the instances to the end and checks that there is one holder, whom both engines follow.
func (d *depot) compete(release time.Duration) {
	a := d.join("a", release == 0)
	d.join("b", true)
	d.join("c", true)
	d.watch()
	if release > 0 {
		d.loops.Go(func() {
			_, _ = a.Acquire(context.Background())
			advance(release)
			_ = a.Release(context.Background())
		})
	}
	advance(d.lifetime - 10*time.Second)
	var live []string
	fence := int64(0)
	for name, k := range d.keepers {
		if grant, refused := k.Fence(time.Now()); refused == nil && !d.node(name).isDead() {
			live, fence = append(live, name), grant.Fence
		}
	}
	if len(live) != 1 {
		d.run.Stuckf("%d holders after all faults: %v", len(live), live)
	}
	d.mu.Lock()
	if d.checking != fence || d.ignoring != fence {
		d.run.Stuckf("the holder has fence %d, the engines follow %d and %d", fence, d.checking, d.ignoring)
	}
	d.mu.Unlock()
	d.settle()
	if d.overlaps > 0 {
		d.run.Failf("two instances held the lease for about %v", time.Duration(d.overlaps)*watchInterval)
	}
}

// leaseRow returns a row whose fault hits the nth call of an operation by an instance.
func leaseRow(step, name, op string, nth int, release time.Duration, prelude ...injection) Row {
	return Row{Path: "lease", Step: step, Check: func(r *Run) {
		variants(r, name, op, nth, func(w *world) { newDepot(w).compete(release) }, prelude...)
	}}
}

func init() {
	holderDies := injection{instance: "a", op: "put:lease", nth: 3, fault: Kill, late: true}
	register(
		leaseRow("read", "a", "get:lease", 1, 0).except(reasonRead, ReplyLost).except(reasonTwoReads, Duplicate),
		leaseRow("acquire", "a", "put:lease", 1, 0),
		leaseRow("renew", "a", "put:lease", 3, 0),
		leaseRow("take over", "b", "put:lease", 1, 0, holderDies),
		leaseRow("release", "a", "put:lease", 2, 5*time.Second),
		leaseRow("command an engine", "a", "command", 3, 0),
	)
	registerMutants(
		Mutant{"holder ignores its deadline", red("lease: renew", PauseResume, PartitionBothWays, PartitionOneWay)},
		Mutant{"unconditional writes", red("lease: renew", PauseResume)},
		Mutant{"lost replies count as written", red("lease: acquire", PartitionBothWays)},
		Mutant{"engine accepts old fences", red("lease: command an engine", PauseResume)},
		Mutant{"commands are not reissued", red("lease: command an engine", PauseResume)},
	)
}
