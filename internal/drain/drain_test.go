package drain

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a stop that closes admission before the balancer knows, cuts requests early, or deregisters before bills
// are durable.
func TestOrder(t *testing.T) {
	for _, stuck := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var order []string
			note := func(name string) func() { return func() { order = append(order, name) } }
			start := time.Now()
			err := Run(Steps{
				BalancerWait: 5 * time.Second, Timeout: 10 * time.Second,
				NotReady: note("not ready"),
				CloseAdmission: func() {
					if time.Since(start) < 5*time.Second {
						t.Error("admission was closed before the balancer could see it")
					}
					note("close admission")()
				},
				Finish: func(ctx context.Context) error {
					note("finish")()
					if stuck {
						<-ctx.Done()
					}
					return ctx.Err()
				},
				Cut:         note("cut"),
				MakeDurable: func() error { note("durable")(); return nil },
				Close:       note("close"),
				Deregister:  note("deregister"),
			})
			want := []string{"not ready", "close admission", "finish", "durable", "close", "deregister"}
			if stuck {
				want = slices.Insert(want, 3, "cut")
			}
			if !slices.Equal(order, want) || errors.Is(err, context.DeadlineExceeded) != stuck {
				t.Errorf("stuck %v: %v, error %v", stuck, order, err)
			}
		})
	}
}
