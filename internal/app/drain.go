package app

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/drain"
	"github.com/cicadawall/cicadawall/internal/settings"
)

const (
	// makeDurableTimeout bounds the time for writing bills and order results at a planned stop.
	makeDurableTimeout = 20 * time.Second
	// deregisterTimeout bounds the call that ends the registration.
	deregisterTimeout = 5 * time.Second
	// shutdownTimeout bounds the shutdown of the HTTP servers after all requests have ended.
	shutdownTimeout = 5 * time.Second
)

// drain stops the instance. Requests in flight are cancelled only at the drain timeout.
func (i *Instance) drain() error {
	err := drain.Run(drain.Steps{
		BalancerWait: settings.Millis(i.settings.Timing.DrainBalancerMillis),
		Timeout:      settings.Millis(i.settings.Timing.DrainTimeoutMillis),
		FailReadiness: func() {
			i.log.Info("draining: the instance reports itself as not ready to the load balancer")
			i.ready.Store(false)
			i.draining.Store(true)
		},
		CloseAdmission: func() {
			i.log.Info("draining: new requests are refused, queued and running ones go on", "queued", i.queue.Stats().Length)
			i.queue.Close()
		},
		WaitForRequests: i.pool.Wait,
		CancelRequests:  i.pool.Stop,
		MakeDurable:     i.makeDurable,
		CloseServers:    i.closeServers,
		Deregister: func() {
			i.placement.releaseLease()
			// Duties run until the registration has ended, so that the instance confirms its configuration up to then.
			i.deregister()
			i.duties.Stop()
		},
	})
	for _, closer := range i.closers {
		closer()
	}
	if err == nil {
		i.log.Info("drain finished")
	}
	return err
}

// makeDurable writes bills and order results to the store. If the store is unavailable, bills are copied to peers instead.
func (i *Instance) makeDurable() error {
	ctx, cancel := context.WithTimeout(context.Background(), makeDurableTimeout)
	defer cancel()
	if err := i.ledger.Drain(ctx); err != nil {
		i.log.Error("bills could not be made durable during the drain", "waiting", i.ledger.PendingBills(), "error", err.Error())
		return errors.Wrap(err, "make bills durable")
	}
	if err := i.orders.Drain(ctx); err != nil {
		i.log.Error("order results could not be recorded during the drain", "pending", i.orders.Pending(), "error", err.Error())
		return errors.Wrap(err, "record order results")
	}
	return nil
}

func (i *Instance) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, l := range i.listeners {
		if err := l.server.Shutdown(ctx); err != nil {
			i.log.Warn("HTTP server did not shut down in time", "server", l.name, "error", err.Error())
		}
	}
}

func (i *Instance) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := i.membership.Deregister(ctx); err != nil {
		i.log.Warn("registration could not be ended; peers end it when the platform no longer lists this instance", "error", err.Error())
	}
}
