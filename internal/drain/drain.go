// Package drain holds the order of a planned stop: out of the balancer first, then no new work, then the requests that
// run, then what must be durable, then the registration (docs/design.md section 6.7).
package drain

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Steps are the parts of a planned stop. All functions are required.
type Steps struct {
	// BalancerWait is the time that the platform's balancer needs to see that the instance is not ready.
	BalancerWait time.Duration
	// Timeout bounds the requests that run.
	Timeout time.Duration
	// NotReady makes the readiness check fail.
	NotReady func()
	// CloseAdmission refuses new work. Queued work is still served.
	CloseAdmission func()
	// Finish returns when queued and running requests have ended, or the context's error.
	Finish func(ctx context.Context) error
	// Cut ends the requests that still run after the timeout.
	Cut func()
	// MakeDurable writes bills and order results, or hands bills to peers.
	MakeDurable func() error
	// Close ends servers and duties.
	Close func()
	// Deregister ends the registration.
	Deregister func()
}

// Run stops the instance. It returns an error if requests were cut at the timeout or something is not durable.
func Run(s Steps) error {
	s.NotReady()
	timer := time.NewTimer(s.BalancerWait)
	<-timer.C
	s.CloseAdmission()
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	cut := s.Finish(ctx)
	if cut != nil {
		s.Cut()
	}
	durable := s.MakeDurable()
	s.Close()
	s.Deregister()
	if cut != nil {
		return errors.Wrap(cut, "drain: requests were still running at the drain timeout")
	}
	return durable
}
