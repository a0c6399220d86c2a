package matrix

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/drain"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/membership"
)

const (
	drainAfter = 30 * time.Second
	// balancerLag is the time until the load balancer sees that an instance is not ready; the drain waits longer (balancerWait).
	balancerLag   = 4 * time.Second
	balancerWait  = 5 * time.Second
	drainTimeout  = 40 * time.Second
	burstRequests = 12
)

// plannedStop returns a scenario that stops instance a as planned, with the steps in the order of the binary, under a burst of
// requests that occupies all its workers.
func (s *fleet) plannedStop() func() {
	h := s.instanceNamed("a")
	return func() {
		advance(time.Until(s.start.Add(drainAfter)))
		err := drain.Run(h.drainSteps())
		if h.isDead() {
			return
		}
		if err != nil {
			s.run.FailLivenessf("the planned stop failed: %v", err)
		}
		if s.run.Seed == 0 {
			s.checkPlannedStop(h)
		}
		h.exit()
	}
}

func (h *fleetInstance) drainSteps() drain.Steps {
	return drain.Steps{
		BalancerWait: balancerWait,
		Timeout:      drainTimeout,
		FailReadiness: func() {
			h.local("not-ready")
			h.w.loops.Go(func() {
				advance(balancerLag)
				h.setOutOfRotation(true)
			})
		},
		CloseAdmission: func() {
			for n := range burstRequests {
				h.fleet.callers.Go(func() { h.fleet.sendRequest(h, 1000+4*n) })
			}
			advance(time.Millisecond) // some requests of the burst run, the others are queued
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
			return h.bills.ledger.Drain(ctx)
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

// checkPlannedStop checks that the stop interrupted no request and that it ended the registration, unless the store was not
// reachable (I9). A request that failed because of an engine, with the retry budget used up, was not interrupted by the stop.
func (s *fleet) checkPlannedStop(h *fleetInstance) {
	s.mu.Lock()
	for _, request := range s.requests {
		if request.instanceName == h.name && request.result == unknown && request.sentAt.After(s.start.Add(drainAfter)) && !request.failedByEngine() {
			s.run.Failf("I9: the planned stop interrupted %s: %v", request.id, request.problem)
		}
	}
	s.mu.Unlock()
	link := h.linkState(toStore)
	if s.storeIsDown() || time.Now().Before(link.cutUntil) || time.Now().Before(link.slowUntil) {
		return // peers end the registration after the instance list has dropped the instance
	}
	rows, err := s.table.View(nil).Range(context.Background(), membership.KeyPrefix, "", 100)
	if err != nil {
		s.run.Failf("read registrations: %v", err)
	}
	self, _ := h.peers.Self()
	for _, row := range rows {
		if endedSequence(row) == self {
			return
		}
	}
	s.run.Failf("the planned stop did not end the registration %d", self)
}

// failedByEngine reports whether an engine interrupted the answer and the retry budget did not allow another attempt.
func (a requestRecord) failedByEngine() bool {
	return a.problem != nil && a.problem.Peer != "" &&
		(a.problem.Code == fault.CodeBackendServerFailed || a.problem.Code == fault.CodeStreamCut)
}

// drainRow returns a row of the path "drain" whose fault affects instance a during its planned stop.
func drainRow(step, op string, priorFaults ...injection) Row {
	return fleetRow("drain", step, "a", op, 1, (*fleet).plannedStop, priorFaults...)
}

func init() {
	stepRow := func(step, op string) Row {
		return drainRow(step, op).
			except(reasonNoCall, PartitionOneWay, PartitionBothWays, Slow, ReplyLost, Duplicate).except(reasonNoReading, StaleRead)
	}
	storeOutage := injection{instance: "a", op: "put:bill", nth: 1, fault: StoreUnavailable, minAge: drainAfter + balancerWait}
	register(
		stepRow("not ready", "not-ready"),
		stepRow("close admission", "close-admission"),
		stepRow("finish streams", "finish"),
		drainRow("stream under drain", "chunk").except(reasonNoReading, StaleRead),
		drainRow("flush bills to the store", "put:bill"),
		drainRow("flush bills to peers", "copy", storeOutage).except(reasonNoReading, StaleRead),
		drainRow("deregister", "put:instance"),
	)
	registerMutants(
		Mutant{"queued work is cut", red("drain: close admission", PauseResume, StoreUnavailable)},
		Mutant{"registration is not ended", red("drain: deregister", PauseResume)},
	)
}
