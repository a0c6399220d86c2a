package app

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/settings"
)

const (
	// durableTimeout bounds the time in which bills and orders become durable at a planned stop.
	durableTimeout = 20 * time.Second
	// deregisterTimeout bounds the end of the registration.
	deregisterTimeout = 5 * time.Second
	// closeTimeout bounds the end of the HTTP servers once no request runs.
	closeTimeout = 5 * time.Second
)

// drain stops the instance without cutting a request: out of the balancer first, then no new work, then the requests that
// run, then what must be durable, then the registration.
func (i *Instance) drain() error {
	i.log.Info("draining: not ready for the balancer")
	i.ready.Store(false)
	i.draining.Store(true)
	timer := time.NewTimer(settings.Millis(i.set.Timing.DrainBalancerMillis))
	<-timer.C

	i.log.Info("draining: admission closed", "queued", i.queue.Stats().Length)
	i.queue.Close()
	ctx, cancel := context.WithTimeout(context.Background(), settings.Millis(i.set.Timing.DrainTimeoutMillis))
	defer cancel()
	cut := i.pool.Wait(ctx)
	if cut != nil {
		i.pool.Stop()
	}
	durable := i.makeDurable()
	i.closeServers()
	i.duties.Stop()
	i.placement.release()
	i.deregister()
	for _, closer := range i.closers {
		closer()
	}
	if cut != nil {
		return errors.Wrap(cut, "drain: requests were still running at the drain timeout")
	}
	if durable != nil {
		return durable
	}
	i.log.Info("drained")
	return nil
}

// makeDurable writes bills and order results, or hands bills to peers when the store is unavailable.
func (i *Instance) makeDurable() error {
	ctx, cancel := context.WithTimeout(context.Background(), durableTimeout)
	defer cancel()
	if err := i.ledger.Drain(ctx); err != nil {
		i.log.Error("bills are not durable at the end of the drain", "waiting", i.ledger.Waiting(), "error", err.Error())
		return errors.Wrap(err, "drain bills")
	}
	if err := i.orders.Drain(ctx); err != nil {
		i.log.Error("order results are not recorded at the end of the drain", "pending", i.orders.Pending(), "error", err.Error())
		return errors.Wrap(err, "drain orders")
	}
	return nil
}

func (i *Instance) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, l := range i.listeners {
		if err := l.server.Shutdown(ctx); err != nil {
			i.log.Warn("server did not shut down in time", "server", l.name, "error", err.Error())
		}
	}
}

func (i *Instance) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := i.membership.Deregister(ctx); err != nil {
		i.log.Warn("registration was not ended; peers end it after the platform's list drops this instance", "error", err.Error())
	}
}
