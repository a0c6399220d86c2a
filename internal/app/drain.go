package app

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/drain"
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

// drain stops the instance without cutting a request.
func (i *Instance) drain() error {
	err := drain.Run(drain.Steps{
		BalancerWait: settings.Millis(i.set.Timing.DrainBalancerMillis),
		Timeout:      settings.Millis(i.set.Timing.DrainTimeoutMillis),
		NotReady: func() {
			i.log.Info("draining: not ready for the balancer")
			i.ready.Store(false)
			i.draining.Store(true)
		},
		CloseAdmission: func() {
			i.log.Info("draining: admission closed", "queued", i.queue.Stats().Length)
			i.queue.Close()
		},
		Finish:      i.pool.Wait,
		Cut:         i.pool.Stop,
		MakeDurable: i.makeDurable,
		Close:       i.closeServers,
		Deregister: func() {
			i.placement.release()
			// Duties run until the registration has ended, so that the instance confirms its configuration up to then.
			i.deregister()
			i.duties.Stop()
		},
	})
	for _, closer := range i.closers {
		closer()
	}
	if err == nil {
		i.log.Info("drained")
	}
	return err
}

// makeDurable writes bills and order results, or hands bills to peers when the store is unavailable.
func (i *Instance) makeDurable() error {
	ctx, cancel := context.WithTimeout(context.Background(), durableTimeout)
	defer cancel()
	if err := i.ledger.Drain(ctx); err != nil {
		i.log.Error("bills are not durable at the end of the drain", "waiting", i.ledger.PendingBills(), "error", err.Error())
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
