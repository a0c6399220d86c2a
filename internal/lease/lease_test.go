package lease

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
)

// advance lets d of synthetic time pass.
func advance(d time.Duration) { <-time.After(d) }

// instance is a keeper with faults in its calls of the table and with delays before and after a write takes effect.
type instance struct {
	*Keeper
	platform.Table
	fault                   memory.Fault
	delayBefore, delayAfter time.Duration
}

func newInstance(table *memory.Table, name string) *instance {
	i := &instance{}
	i.Table = table.View(func(memory.Op, string) memory.Fault { return i.fault })
	i.Keeper = NewKeeper(Config{Table: i, Name: "placement", Incarnation: name})
	return i
}

func (i *instance) Put(ctx context.Context, key string, value []byte, cond platform.Condition) (int64, error) {
	advance(i.delayBefore)
	version, err := i.Table.Put(context.WithoutCancel(ctx), key, value, cond)
	advance(i.delayAfter)
	return version, err
}

func (i *instance) acquire(t *testing.T, want bool) {
	t.Helper()
	got, err := i.Acquire(context.Background())
	if got != want || got != i.Valid(time.Now()) {
		t.Fatalf("held %v, valid %v, want %v (%v)", got, i.Valid(time.Now()), want, err)
	}
}

// Guards against a lease that is taken before the holder's lease has expired, and a fence that does not increase.
func TestTakeoverAfterTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.NewTable()
		a, b := newInstance(table, "a"), newInstance(table, "b")
		a.acquire(t, true)
		advance(5 * time.Second)
		b.acquire(t, false)
		advance(9 * time.Second)
		b.acquire(t, false) // only 9 s after its first read of the row
		if a.Valid(time.Now()) {
			t.Fatal("the holder is valid 14 s after its last renewal")
		}
		advance(time.Second)
		b.acquire(t, true)
		if grant, refused := b.Fence(time.Now()); refused != nil || grant.Fence != 2 {
			t.Fatalf("fence %d, %v", grant.Fence, refused)
		}
		a.acquire(t, false)
		if _, refused := a.Fence(time.Now()); refused == nil {
			t.Fatal("the previous holder still gets a fence")
		}
	})
}

// Guards against a lease counted from a later write than the one in the row: another instance may have read that row long
// before and take the lease a TTL after its read.
func TestLostRepliesDoNotExtendLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.NewTable()
		a, b := newInstance(table, "a"), newInstance(table, "b")
		a.acquire(t, true)
		a.fault = memory.FaultReplyLost
		advance(time.Second)
		_, _ = a.Acquire(context.Background()) // the write is in the row, its reply and the read-back are lost
		b.acquire(t, false)
		advance(8 * time.Second)
		a.fault = memory.FaultNone
		_, _ = a.Acquire(context.Background()) // finds its own earlier write
		if grant, refused := a.Fence(time.Now()); refused != nil || time.Until(grant.ValidUntil) > 2*time.Second {
			t.Fatalf("the lease was extended by a write of 8 s ago: %v, %v", time.Until(grant.ValidUntil), refused)
		}
		a.acquire(t, true)
		if grant, refused := a.Fence(time.Now()); refused != nil || time.Until(grant.ValidUntil) < 9*time.Second {
			t.Fatal("the next renewal did not extend the lease")
		}
	})
}

// Guards against a lease counted from the reply to a write: another instance may have read the row before the reply arrived.
func TestValidityCountsFromStartOfWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newInstance(memory.NewTable(), "a")
		a.delayAfter = 9 * time.Second
		a.acquire(t, true)
		if grant, refused := a.Fence(time.Now()); refused != nil || time.Until(grant.ValidUntil) > time.Second {
			t.Fatalf("the lease is valid for another %v after a reply that took 9 s", time.Until(grant.ValidUntil))
		}
		b := newInstance(memory.NewTable(), "b")
		b.delayAfter = 11 * time.Second
		if _, _ = b.Acquire(context.Background()); b.Valid(time.Now()) {
			t.Fatal("a lease whose TTL passed before the reply is valid")
		}
	})
}

// Guards against a released lease that blocks the next holder or that the previous holder acquires again.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.NewTable()
		a, b := newInstance(table, "a"), newInstance(table, "b")
		a.acquire(t, true)
		if err := a.Release(context.Background()); err != nil {
			t.Fatal(err)
		}
		a.acquire(t, false)
		b.acquire(t, true)
		if grant, _ := b.Fence(time.Now()); grant.Fence != 2 {
			t.Fatalf("fence %d", grant.Fence)
		}
	})
}

// Guards against two simultaneous holders under random faults, pauses before and after the write, and stale reads.
func TestNeverTwoHolders(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 7))
			table := memory.NewTable()
			keepers := []*instance{newInstance(table, "a"), newInstance(table, "b"), newInstance(table, "c")}
			faults := []memory.Fault{0, 0, 0, 0, memory.FaultUnavailable, memory.FaultReplyLost, memory.FaultRequestLost, memory.FaultStale}
			heldCount := 0
			for range 100 {
				for _, k := range keepers {
					k.fault = faults[rnd.IntN(len(faults))]
					k.delayBefore = time.Duration(rnd.IntN(100)*rnd.IntN(2)) * 100 * time.Millisecond
					k.delayAfter = time.Duration(rnd.IntN(100)*rnd.IntN(2)) * 100 * time.Millisecond
					if rnd.IntN(3) > 0 {
						_, _ = k.Acquire(context.Background())
					}
					validCount := 0
					for _, other := range keepers {
						if other.Valid(time.Now()) {
							validCount++
						}
					}
					if validCount > 1 {
						t.Fatalf("seed %d: %d holders", seed, validCount)
					}
					heldCount += validCount
				}
				advance(time.Duration(rnd.IntN(4000)) * time.Millisecond)
			}
			if heldCount == 0 {
				t.Fatalf("seed %d: the lease was never held", seed)
			}
		})
	}
}

// Guards against a lease that has no holder for longer than the documented bound after its holder was killed: a TTL after the
// other instance first read the last renewal, plus one interval until that read and one until the takeover.
func TestGapAfterHolderKilled(t *testing.T) {
	var longest, total time.Duration
	const runs = 200
	for seed := range uint64(runs) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			table := memory.NewTable()
			a, b := newInstance(table, "a"), newInstance(table, "b")
			killed := time.Now().Add(time.Duration(rnd.IntN(60_000)) * time.Millisecond)
			go func() {
				for time.Now().Before(killed) {
					_, _ = a.Acquire(context.Background())
					advance(DefaultTTL / renewalsPerTTL)
				}
			}()
			advance(time.Duration(1+rnd.IntN(3_000)) * time.Millisecond)
			for !b.Valid(time.Now()) {
				_, _ = b.Acquire(context.Background())
				advance(DefaultTTL / renewalsPerTTL)
			}
			gap := time.Since(killed) - DefaultTTL/renewalsPerTTL
			total += gap
			longest = max(longest, gap)
		})
	}
	t.Logf("without a holder after a kill: mean %v, longest %v of %d runs", total/runs, longest, runs)
	if limit := DefaultTTL + 2*DefaultTTL/renewalsPerTTL; longest > limit {
		t.Errorf("the longest gap is %v, the limit %v", longest, limit)
	}
}

// Guards against a holder that was suspended for longer than the lease lasts and still acts on it: the monotonic clock does not count
// that time, and another instance holds the lease by then.
func TestSuspensionEndsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		a := newInstance(memory.NewTable(), "a")
		a.config.Suspended = func() time.Duration { return suspended }
		a.acquire(t, true)
		suspended = DefaultTTL
		if _, refused := a.Fence(time.Now()); refused == nil || a.Valid(time.Now()) {
			t.Error("the lease is valid although the holder was suspended for its whole duration")
		}
		a.acquire(t, true)
		if grant, refused := a.Fence(time.Now()); refused != nil || grant.Fence != 2 {
			t.Errorf("fence %d after the lease was taken again, %v", grant.Fence, refused)
		}
	})
}
