// Package drain defines the order of a planned stop: the instance fails its readiness check, closes admission, waits for
// requests in flight, writes what must be durable, closes its servers and deregisters (docs/design.md section 6.7).
package drain

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Steps holds the timeouts and functions of a planned stop. All functions are required.
type Steps struct {
	// BalancerWait is the time in which the platform's load balancer notices that the instance is not ready.
	BalancerWait time.Duration
	// Timeout bounds the wait for requests in flight.
	Timeout time.Duration
	// FailReadiness makes the readiness check fail.
	FailReadiness func()
	// CloseAdmission refuses new requests. Queued requests are still served.
	CloseAdmission func()
	// WaitForRequests returns nil when queued and running requests have ended, or the context's error if it ends first.
	WaitForRequests func(ctx context.Context) error
	// CancelRequests cancels the requests that still run after the timeout.
	CancelRequests func()
	// MakeDurable writes bills and order results to the store, or copies bills to peers if the store is unavailable.
	MakeDurable func() error
	// CloseServers shuts down the HTTP servers, and the periodic duties that are not needed until deregistration.
	CloseServers func()
	// Deregister ends the instance's registration and may stop the remaining duties.
	Deregister func()
}

// Run stops the instance. It returns an error if requests were cancelled at the timeout or MakeDurable failed.
func Run(steps Steps) error {
	steps.FailReadiness()
	timer := time.NewTimer(steps.BalancerWait)
	<-timer.C
	steps.CloseAdmission()
	ctx, cancel := context.WithTimeout(context.Background(), steps.Timeout)
	defer cancel()
	waitErr := steps.WaitForRequests(ctx)
	if waitErr != nil {
		steps.CancelRequests()
	}
	durableErr := steps.MakeDurable()
	steps.CloseServers()
	steps.Deregister()
	if waitErr != nil {
		return errors.Wrap(waitErr, "drain: requests were still running at the drain timeout")
	}
	return durableErr
}
