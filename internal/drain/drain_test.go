package drain

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a planned stop that closes admission before the load balancer has noticed that the instance is not ready,
// that cancels requests before the timeout, or that deregisters before bills are durable.
func TestStepOrder(t *testing.T) {
	for _, requestsHang := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var calls []string
			record := func(name string) func() { return func() { calls = append(calls, name) } }
			start := time.Now()
			err := Run(Steps{
				BalancerWait: 5 * time.Second, Timeout: 10 * time.Second,
				FailReadiness: record("not ready"),
				CloseAdmission: func() {
					if time.Since(start) < 5*time.Second {
						t.Error("admission was closed before the end of the balancer wait")
					}
					record("close admission")()
				},
				WaitForRequests: func(ctx context.Context) error {
					record("finish")()
					if requestsHang {
						<-ctx.Done()
					}
					return ctx.Err()
				},
				CancelRequests: record("cut"),
				MakeDurable:    func() error { record("durable")(); return nil },
				CloseServers:   record("close"),
				Deregister:     record("deregister"),
			})
			want := []string{"not ready", "close admission", "finish", "durable", "close", "deregister"}
			if requestsHang {
				want = slices.Insert(want, 3, "cut")
			}
			if !slices.Equal(calls, want) || errors.Is(err, context.DeadlineExceeded) != requestsHang {
				t.Errorf("requests hang: %v: steps %v, error %v", requestsHang, calls, err)
			}
		})
	}
}
