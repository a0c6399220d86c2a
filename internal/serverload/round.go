package serverload

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Transport sends messages about loads to peers.
type Transport interface {
	// Loads sends a report, or a request for sums, to a peer and returns its answer. The error is ErrNotRelay if the peer does not collect
	// loads, and ErrMalformed if the answer could not be decoded.
	Loads(ctx context.Context, address string, query api.GatewayLoadsQuery) (api.GatewayLoads, error)
}

// Round exchanges loads once: an instance reports to a relay, and a relay pulls the sums of the other relays. It is the function of a
// periodic duty.
func (t *Table) Round(ctx context.Context) error {
	if !t.Enabled() {
		t.reset()
		return nil
	}
	items, topology := ownItems(t.Own()), t.Topology()
	if topology.Relay {
		t.relayRound(ctx, items, topology.Others)
		return nil
	}
	t.reportRound(ctx, items, topology.Relays)
	return nil
}

// reset forgets all loads.
func (t *Table) reset() {
	t.published.Store(nil)
	t.stopRelaying()
}

func (t *Table) stopRelaying() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger = nil
}

// reportRound sends a report to the first usable relay and publishes the view that it answers with. Evidence in a report that fails is
// lost: the relay may have taken it, and a second report would count it twice.
func (t *Table) reportRound(ctx context.Context, items []item, relays []string) {
	t.stopRelaying()
	sent := time.Now()
	address, sequence := t.chooseRelay(relays, t.clock(sent))
	if address == "" {
		return
	}
	loads, err := t.call(ctx, address, api.GatewayLoadsQuery{
		Incarnation: t.incarnation, Sequence: sequence, Usage: encodeReport(items),
	})
	t.recordResult("report loads", address, err)
	if err != nil {
		t.avoid(address)
		return
	}
	if loads.Partial {
		return
	}
	servers, reason := decodeView(loads)
	if reason != "" {
		t.CountDropped(reason)
		return
	}
	t.publish(servers, sent.Add(-time.Duration(loads.AgeMillis)*time.Millisecond))
}

// chooseRelay returns the first relay to which no report failed recently, or the first one if all failed, and the sequence number of the
// report.
func (t *Table) chooseRelay(relays []string, now time.Time) (string, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	for address, until := range t.avoidUntil {
		if !now.Before(until) {
			delete(t.avoidUntil, address)
		}
	}
	for _, address := range relays {
		if _, avoided := t.avoidUntil[address]; !avoided {
			return address, t.sequence
		}
	}
	// All have failed: the one that failed first is the first to try again.
	var oldest string
	for _, address := range relays {
		if oldest == "" || t.avoidUntil[address].Before(t.avoidUntil[oldest]) {
			oldest = address
		}
	}
	return oldest, t.sequence
}

// avoid excludes a relay for relayRetryDelay.
func (t *Table) avoid(address string) {
	now := t.clock(time.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoidUntil[address] = now.Add(relayRetryDelay)
}

// call sends one message.
func (t *Table) call(ctx context.Context, address string, query api.GatewayLoadsQuery) (api.GatewayLoads, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	loads, err := t.Transport.Loads(ctx, address, query)
	if errors.Is(err, ErrMalformed) {
		t.CountMalformed()
	}
	return loads, err
}

// recordResult logs when messages to a peer begin to fail and when they succeed again.
func (t *Table) recordResult(step, address string, err error) {
	t.mu.Lock()
	failed := t.failing[address]
	switch {
	case err == nil:
		delete(t.failing, address)
	case len(t.failing) < maxReporters:
		t.failing[address] = true
	}
	t.mu.Unlock()
	switch {
	case err != nil && !failed:
		t.Log.Warn("relay of loads does not answer", "step", step, "peer", address, "error", err.Error())
	case err == nil && failed:
		t.Log.Info("relay of loads answers again", "step", step, "peer", address)
	}
}

// relayRound takes this instance's own usage as a report, pulls the sums of the other relays and publishes the view of this instance.
func (t *Table) relayRound(ctx context.Context, items []item, others []string) {
	t.putOwn(items)
	done := make(chan struct{}, len(others))
	for _, address := range others {
		go func() {
			t.pullSums(ctx, address)
			done <- struct{}{}
		}()
	}
	for range others {
		<-done
	}
	t.finishRelayRound()
}

func (t *Table) putOwn(items []item) {
	now := t.clock(time.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ledger == nil {
		t.ledger, t.relaySince = newLedger(now), now
	}
	t.sequence++
	t.lastRound = now
	t.ledger.putReport(t.incarnation, t.sequence, items, now)
}

// pullSums replaces the sums of another relay. If it has ended to be a relay, its sums are removed at once, because the instances that
// reported to it report to others.
func (t *Table) pullSums(ctx context.Context, address string) {
	sent := time.Now()
	loads, err := t.call(ctx, address, api.GatewayLoadsQuery{Incarnation: t.incarnation, Sums: true})
	t.recordResult("pull sums of loads", address, err)
	if err != nil && !errors.Is(err, ErrNotRelay) {
		return
	}
	items, reason := decodeUsage(loads.Usage, sumsLimits)
	age := time.Duration(loads.AgeMillis) * time.Millisecond
	switch {
	case err == nil && reason == "" && loads.Incarnation == t.incarnation:
		reason = dropOwn
	case err == nil && reason == "" && (loads.AgeMillis < 0 || age >= reportExpiry):
		reason = dropRange
	}
	now, omitted := t.clock(time.Now()), 0
	t.mu.Lock()
	switch {
	case t.ledger == nil:
	case err != nil:
		t.ledger.removeSums(address)
	case reason == "":
		omitted = t.ledger.putSums(address, now.Add(-time.Since(sent)-age), items, now)
	}
	t.mu.Unlock()
	if reason != "" {
		t.CountDropped(reason)
	}
	for range omitted {
		t.CountDropped(dropNoRoom)
	}
}

func (t *Table) finishRelayRound() {
	wall := time.Now()
	now := t.clock(wall)
	t.mu.Lock()
	if t.ledger == nil || now.Sub(t.relaySince) < warmUp {
		t.mu.Unlock()
		return
	}
	t.ledger.expire(now)
	t.ledger.updateSpeeds(now)
	servers, age := t.ledger.servers(t.incarnation), t.ledger.age(now)
	t.mu.Unlock()
	t.publish(servers, wall.Add(-age))
}
