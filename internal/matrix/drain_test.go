package matrix

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/drain"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/membership"
)

const (
	drainAt = 30 * time.Second
	// balancerLag is the time until the balancer sees that an instance is not ready; the drain waits longer.
	balancerLag  = 4 * time.Second
	balancerWait = 5 * time.Second
	drainTimeout = 40 * time.Second
	burst        = 12
)

// stop runs a planned stop of instance a in the order of the binary, under a burst of requests that fills its workers.
func (s *site) stop() func() {
	h := s.hub("a")
	return func() {
		advance(time.Until(s.start.Add(drainAt)))
		err := drain.Run(h.steps())
		if h.isDead() {
			return
		}
		if err != nil {
			s.run.Stuckf("the planned stop failed: %v", err)
		}
		if s.run.Seed == 0 {
			s.checkStopped(h)
		}
		h.exit()
	}
}

func (h *hub) steps() drain.Steps {
	return drain.Steps{
		BalancerWait: balancerWait,
		Timeout:      drainTimeout,
		FailReadiness: func() {
			h.local("not-ready")
			h.w.loops.Go(func() {
				advance(balancerLag)
				h.setOut(true)
			})
		},
		CloseAdmission: func() {
			for n := range burst {
				h.site.callers.Go(func() { h.site.ask(h, 1000+4*n) })
			}
			advance(time.Millisecond) // some requests run, the others are queued
			h.local("close-admission")
			h.queue.Close()
			if h.w.run.Broken("queued work is cut") {
				h.pool.Stop()
			}
		},
		WaitForRequests: func(ctx context.Context) error {
			h.local("finish")
			return h.pool.Wait(ctx)
		},
		CancelRequests: h.pool.Stop,
		MakeDurable: func() error {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			return h.cashier.ledger.Drain(ctx)
		},
		CloseServers: func() {},
		Deregister: func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			if !h.w.run.Broken("registration is not ended") {
				_ = h.members.Deregister(ctx)
			}
		},
	}
}

// checkStopped checks that the stop cut no request and that the registration ended, unless the store could not be written
// (I9). A request that an engine failed, with no attempt left in the retry budget, was not cut by the stop.
func (s *site) checkStopped(h *hub) {
	s.mu.Lock()
	for _, one := range s.asked {
		if one.hub == h.name && one.result == unknown && one.at.After(s.start.Add(drainAt)) && !one.failedByEngine() {
			s.run.Failf("I9: the planned stop cut %s: %v", one.id, one.problem)
		}
	}
	s.mu.Unlock()
	link := h.linkState(toStore)
	if s.storeIsDown() || time.Now().Before(link.cut) || time.Now().Before(link.slow) {
		return // peers end the registration when the list has dropped the instance
	}
	rows, err := s.table.View(nil).Range(context.Background(), membership.KeyPrefix, "", 100)
	if err != nil {
		s.run.Failf("read registrations: %v", err)
	}
	self, _ := h.peers.Self()
	for _, row := range rows {
		if decodeRegistration(row) == self {
			return
		}
	}
	s.run.Failf("the registration %d was not ended by the planned stop", self)
}

// failedByEngine reports an answer that an engine broke off and that the retry budget did not allow to resume.
func (a asked) failedByEngine() bool {
	return a.problem != nil && a.problem.Peer != "" &&
		(a.problem.Code == fault.CodeBackendServerFailed || a.problem.Code == fault.CodeStreamCut)
}

// drainRow returns a row whose fault hits instance a during its planned stop.
func drainRow(step, op string, prelude ...injection) Row {
	return siteRow("drain", step, "a", op, 1, (*site).stop, prelude...)
}

func init() {
	local := func(step, op string) Row {
		return drainRow(step, op).
			except(reasonNoCall, PartitionOneWay, PartitionBothWays, Slow, ReplyLost, Duplicate).except(reasonNoReading, StaleRead)
	}
	outage := injection{instance: "a", op: "put:bill", nth: 1, fault: StoreUnavailable, from: drainAt + balancerWait}
	register(
		local("not ready", "not-ready"),
		local("close admission", "close-admission"),
		local("finish streams", "finish"),
		drainRow("stream under drain", "chunk").except(reasonNoReading, StaleRead),
		drainRow("flush bills to the store", "put:bill"),
		drainRow("flush bills to peers", "copy", outage).except(reasonNoReading, StaleRead),
		drainRow("deregister", "put:instance"),
	)
	registerMutants(
		Mutant{"queued work is cut", red("drain: close admission", PauseResume, StoreUnavailable)},
		Mutant{"registration is not ended", red("drain: deregister", PauseResume)},
	)
}
