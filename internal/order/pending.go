package order

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/worker"
)

// flushInterval is the time between attempts to write the pending writes to the table service.
const flushInterval = time.Second

// pendingWrite is a claim in state done or abandoned whose write the table service has not confirmed.
type pendingWrite struct {
	key   string
	claim api.OrderClaim
}

// pendingTable holds the pending writes in memory. If the instance fails, they are lost, and later calls under the same key
// are answered with the outcome unknown.
type pendingTable struct {
	limit int

	mu     *lockorder.Mutex
	writes []pendingWrite
}

func newPendingTable(limit int) *pendingTable {
	return &pendingTable{limit: limit, mu: lockorder.New(lockorder.RankOrders)}
}

// hasCapacity reports whether another order may start. Orders in progress may still add a few writes beyond the limit.
func (t *pendingTable) hasCapacity() bool { return t.size() < t.limit }

func (t *pendingTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.writes)
}

func (t *pendingTable) add(w pendingWrite) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes = append(t.writes, w)
}

func (t *pendingTable) removeAll() []pendingWrite {
	t.mu.Lock()
	defer t.mu.Unlock()
	writes := t.writes
	t.writes = nil
	return writes
}

// Pending returns the number of pending writes: results and abandoned claims that the table service has not confirmed.
func (s *Service) Pending() int { return s.pending.size() }

// Duty returns the periodic duty that tries the pending writes again.
func (s *Service) Duty() worker.Duty {
	return worker.Duty{Name: "order-settle", Interval: worker.Every(flushInterval), Timeout: 10 * time.Second, Run: s.FlushPending}
}

// FlushPending tries each pending write once. It returns an error if any of them fails.
func (s *Service) FlushPending(ctx context.Context) error {
	failed := 0
	for _, w := range s.pending.removeAll() {
		if ctx.Err() == nil && s.writePending(ctx, w) {
			continue
		}
		s.pending.add(w)
		failed++
	}
	if failed > 0 {
		return errors.Errorf("%d pending writes of order rows could not be written to the table service", failed)
	}
	return nil
}

// Drain flushes the pending writes until none is left or the context ends. It returns the last error if some are left.
func (s *Service) Drain(ctx context.Context) error {
	for {
		err := s.FlushPending(ctx)
		if err == nil {
			return nil
		}
		if !sleep(ctx, flushInterval/4) {
			return err
		}
	}
}

// writePending tries one pending write. It returns true if the write is done or no longer needed.
func (s *Service) writePending(ctx context.Context, w pendingWrite) bool {
	present, err := s.claims.read(ctx, w.key)
	if errors.Is(err, platform.ErrNotFound) {
		// The insert of the claim was lost or is delayed. The inserted row makes the condition of a delayed insert fail.
		_, written, err := s.claims.write(ctx, w.key, w.claim, platform.IfAbsent())
		return err == nil && written
	}
	if err != nil {
		return false
	}
	if w.claim.State == api.ClaimDone {
		return s.record(ctx, w.key, w.claim, present.version)
	}
	if present.claim.AttemptID != w.claim.AttemptID || present.claim.State != api.ClaimClaimed {
		return true
	}
	_, _, err = s.claims.write(ctx, w.key, w.claim, platform.IfVersion(present.version))
	return err == nil
}

// record writes the result to the order row. It overwrites the claim even if another call has raised the fence in the
// meantime, because the backend server returns the same result to that call.
func (s *Service) record(ctx context.Context, key string, result api.OrderClaim, version int64) bool {
	for range writeAttempts {
		present, written, err := s.claims.write(ctx, key, result, platform.IfVersion(version))
		if err != nil {
			return false
		}
		if written || present.claim.State == api.ClaimDone {
			return true
		}
		result.Fence = max(result.Fence, present.claim.Fence)
		version = present.version
	}
	return false
}
