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

// settleInterval is the wait between attempts to write what the table service did not take.
const settleInterval = time.Second

// pendingWrite is a result or an abandonment that the table service has not confirmed.
type pendingWrite struct {
	key   string
	claim api.OrderClaim
}

// pendingTable holds unconfirmed writes. They are lost with the instance; repeats are then answered as unknown.
type pendingTable struct {
	limit int

	mu     *lockorder.Mutex
	writes []pendingWrite
}

func newPendingTable(limit int) *pendingTable {
	return &pendingTable{limit: limit, mu: lockorder.New(lockorder.RankOrders)}
}

// room reports whether another order may start. Orders in progress may add a few writes beyond the limit.
func (t *pendingTable) room() bool { return t.size() < t.limit }

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

func (t *pendingTable) takeAll() []pendingWrite {
	t.mu.Lock()
	defer t.mu.Unlock()
	writes := t.writes
	t.writes = nil
	return writes
}

// Pending returns the number of results and abandonments that the table service has not confirmed.
func (s *Service) Pending() int { return s.pending.size() }

// Duty returns the periodic duty that writes unconfirmed results and abandonments.
func (s *Service) Duty() worker.Duty {
	return worker.Duty{Name: "order-settle", Interval: worker.Every(settleInterval), Timeout: 10 * time.Second, Run: s.Settle}
}

// Settle tries each unconfirmed write once. It returns an error if some remain.
func (s *Service) Settle(ctx context.Context) error {
	failed := 0
	for _, w := range s.pending.takeAll() {
		if ctx.Err() == nil && s.settle(ctx, w) {
			continue
		}
		s.pending.add(w)
		failed++
	}
	if failed > 0 {
		return errors.Errorf("%d order rows wait for the table service", failed)
	}
	return nil
}

// Drain settles until nothing is left or the context ends.
func (s *Service) Drain(ctx context.Context) error {
	for {
		err := s.Settle(ctx)
		if err == nil {
			return nil
		}
		if !sleep(ctx, settleInterval/4) {
			return err
		}
	}
}

func (s *Service) settle(ctx context.Context, w pendingWrite) bool {
	present, err := s.claims.read(ctx, w.key)
	if errors.Is(err, platform.ErrNotFound) {
		// The claim did not arrive. The inserted row keeps it from arriving later.
		_, mine, err := s.claims.write(ctx, w.key, w.claim, platform.IfAbsent())
		return err == nil && mine
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

// record writes a result over the claim, also when another call has raised the fence meanwhile: that call learns the same
// result from the backend server.
func (s *Service) record(ctx context.Context, key string, result api.OrderClaim, version int64) bool {
	for range writeAttempts {
		present, mine, err := s.claims.write(ctx, key, result, platform.IfVersion(version))
		if err != nil {
			return false
		}
		if mine || present.claim.State == api.ClaimDone {
			return true
		}
		result.Fence = max(result.Fence, present.claim.Fence)
		version = present.version
	}
	return false
}
