package matrix

import (
	"context"
	"sync"
	"time"

	"github.com/cicadawall/cicadawall/internal/lease"
)

// watchInterval is the virtual time between two checks that the lease has at most one holder.
const watchInterval = 250 * time.Millisecond

// leaseWorld is a world in which three instances compete for a lease and the lease holder sends commands to two engines. One
// engine checks the fencing token, the other ignores it.
type leaseWorld struct {
	*world
	keepers map[string]*lease.Keeper

	mu sync.Mutex
	// checkedFence is the highest fencing token that the checking engine has accepted; uncheckedFence is the last token that
	// the other engine has received.
	checkedFence, uncheckedFence int64
	commandCounts                map[string]int
	overlapCount                 int
}

func newLeaseWorld(w *world) *leaseWorld {
	w.lifetime = 90 * time.Second
	return &leaseWorld{world: w, keepers: map[string]*lease.Keeper{}, commandCounts: map[string]int{}}
}

// startKeeper starts an instance with a lease keeper. With renew, the keeper acquires and renews the lease periodically;
// without it, the caller acquires the lease.
func (d *leaseWorld) startKeeper(name string, renew bool) *lease.Keeper {
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
	n.every(time.Second, func(ctx context.Context) { d.sendCommand(ctx, n, k) })
	return k
}

// sendCommand sends the command to both engines if the instance holds the lease.
func (d *leaseWorld) sendCommand(ctx context.Context, n *instance, k *lease.Keeper) {
	grant, refused := k.Fence(time.Now())
	if refused != nil || n.isDead() {
		return
	}
	d.mu.Lock()
	d.commandCounts[n.name]++
	reissued := d.commandCounts[n.name] > 3
	d.mu.Unlock()
	if d.run.Broken("commands are not reissued") && reissued {
		return
	}
	n.call(ctx, toEngine, "command", func() any { return d.applyCommand(grant.Fence) })
}

// applyCommand delivers a command to both engines; the checking engine ignores it if its fencing token is stale.
func (d *leaseWorld) applyCommand(fence int64) any {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.uncheckedFence = fence
	switch {
	case fence >= d.checkedFence:
		d.checkedFence = fence
	case d.run.Broken("engine accepts old fences"):
		d.run.Failf("an engine that checks fencing tokens ran a command with token %d after token %d", fence, d.checkedFence)
	}
	return nil
}

// watchHolders counts the checks at which more than one instance held the lease.
func (d *leaseWorld) watchHolders() {
	d.loops.Go(func() {
		for time.Since(d.start) < d.lifetime {
			holders := 0
			for name, k := range d.keepers {
				if !d.node(name).isDead() && k.Valid(time.Now()) {
					holders++
				}
			}
			if holders > 1 {
				d.overlapCount++
			}
			advance(watchInterval)
		}
	})
}

// runKeepers runs the instances and checks that the lease never had two holders, that it has a holder after the faults, and
// that both engines follow the commands of that holder.
func (d *leaseWorld) runKeepers(releaseAfter time.Duration) {
	a := d.startKeeper("a", releaseAfter == 0)
	d.startKeeper("b", true)
	d.startKeeper("c", true)
	d.watchHolders()
	if releaseAfter > 0 {
		d.loops.Go(func() {
			_, _ = a.Acquire(context.Background())
			advance(releaseAfter)
			_ = a.Release(context.Background())
		})
	}
	advance(d.lifetime - 10*time.Second)
	var holders []string
	fence := int64(0)
	for name, k := range d.keepers {
		if grant, refused := k.Fence(time.Now()); refused == nil && !d.node(name).isDead() {
			holders, fence = append(holders, name), grant.Fence
		}
	}
	if len(holders) != 1 {
		d.run.FailLivenessf("%d lease holders after all faults: %v", len(holders), holders)
	}
	d.mu.Lock()
	if d.checkedFence != fence || d.uncheckedFence != fence {
		d.run.FailLivenessf("the lease holder has fencing token %d, but the engines last accepted tokens %d and %d", fence, d.checkedFence, d.uncheckedFence)
	}
	d.mu.Unlock()
	d.settle()
	if d.overlapCount > 0 {
		d.run.Failf("more than one instance held the lease, for about %v", time.Duration(d.overlapCount)*watchInterval)
	}
}

// leaseRow returns a row of the path "lease" whose fault starts at the nth call of an operation by an instance. If releaseAfter
// is not zero, instance a acquires the lease once and releases it after that time.
func leaseRow(step, instanceName, op string, nth int, releaseAfter time.Duration, priorFaults ...injection) Row {
	return Row{Path: "lease", Step: step, Check: func(r *Run) {
		variants(r, instanceName, op, nth, func(w *world) { newLeaseWorld(w).runKeepers(releaseAfter) }, priorFaults...)
	}}
}

func init() {
	holderDies := injection{instance: "a", op: "put:lease", nth: 3, fault: Kill, afterEffect: true}
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
