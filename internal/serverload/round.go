package serverload

import (
	"context"
	"maps"
	"slices"
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
		t.withdraw(ctx, "")
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
	t.forgetLists(relays)
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
		t.recordFailedReport(address, err)
		return
	}
	t.publishAnswer(address, loads, sent)
	t.withdraw(ctx, address)
}

// publishAnswer publishes the view of an answer to a report that was sent at a time.
func (t *Table) publishAnswer(address string, loads api.GatewayLoads, sent time.Time) {
	if loads.Partial {
		return
	}
	var servers map[string]Server
	reason := t.restoreList(address, &loads)
	if reason == "" {
		servers, reason = decodeView(loads)
	}
	if reason != "" {
		t.CountDropped(reason)
		return
	}
	t.keepList(address, loads)
	t.publish(servers, sent.Add(-time.Duration(loads.AgeMillis)*time.Millisecond))
}

// recordFailedReport excludes a relay for relayRetryDelay. It may have taken the report, unless it refused.
func (t *Table) recordFailedReport(address string, err error) {
	now := t.clock(time.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoidUntil[address] = now.Add(relayRetryDelay)
	if !errors.Is(err, ErrNotRelay) && !slices.Contains(t.reportedTo, address) && len(t.reportedTo) < maxWithdrawals {
		t.reportedTo = append(t.reportedTo, address)
	}
}

// withdraw replaces the reports at relays other than the current one by empty ones, so that this instance does not count twice until its
// report expires there. A relay that does not answer is not asked again.
func (t *Table) withdraw(ctx context.Context, current string) {
	t.mu.Lock()
	former, sequence := t.reportedTo, t.sequence
	t.reportedTo = nil
	if current != "" {
		t.reportedTo = []string{current}
	}
	t.mu.Unlock()
	for _, address := range former {
		if address != current {
			_, _ = t.call(ctx, address, api.GatewayLoadsQuery{Incarnation: t.incarnation, Sequence: sequence})
		}
	}
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

// call sends one message.
func (t *Table) call(ctx context.Context, address string, query api.GatewayLoadsQuery) (api.GatewayLoads, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.mu.Lock()
	query.List = t.lists[address].fingerprint
	t.mu.Unlock()
	loads, err := t.Transport.Loads(ctx, address, query)
	if errors.Is(err, ErrMalformed) {
		t.CountMalformed()
	}
	return loads, err
}

// restoreList sets the list of servers of an answer that leaves it out, or returns the reason why the answer is dropped.
func (t *Table) restoreList(address string, loads *api.GatewayLoads) string {
	if len(loads.Usage.Servers) > 0 || len(loads.Usage.Running) == 0 {
		return ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.lists[address]
	if loads.List != known.fingerprint {
		return dropUnknownList
	}
	loads.Usage.Servers = known.names
	return ""
}

// keepList keeps the list of servers of an answer that was accepted.
func (t *Table) keepList(address string, loads api.GatewayLoads) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lists[address] = serverList{loads.List, loads.Usage.Servers}
}

// forgetLists forgets the lists of all peers except some.
func (t *Table) forgetLists(except []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.lists, func(address string, _ serverList) bool { return !slices.Contains(except, address) })
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
	withEvidence := t.putOwn(items)
	t.forgetLists(others)
	done := make(chan struct{}, len(others))
	for _, address := range others {
		go func() {
			t.pullSums(ctx, address, withEvidence)
			done <- struct{}{}
		}()
	}
	for range others {
		<-done
	}
	t.finishRelayRound()
}

// putOwn takes this instance's own usage as a report and reports whether evidence is due in this round.
func (t *Table) putOwn(items []item) bool {
	now := t.clock(time.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ledger == nil {
		t.ledger, t.relaySince = newLedger(now), now
	}
	t.sequence++
	t.lastRound = now
	t.ledger.putReport(t.incarnation, t.sequence, items, now)
	return t.sequence%evidenceRounds == 0
}

// pullSums replaces the sums of another relay. If it has ended to be a relay, its sums are removed at once, because the instances that
// reported to it report to others.
func (t *Table) pullSums(ctx context.Context, address string, withEvidence bool) {
	sent := time.Now()
	loads, err := t.call(ctx, address, api.GatewayLoadsQuery{Incarnation: t.incarnation, Sums: true, Evidence: withEvidence})
	t.recordResult("pull sums of loads", address, err)
	if err != nil {
		if errors.Is(err, ErrNotRelay) {
			t.removeSums(address)
		}
		return
	}
	items, reason := t.decodeSums(address, &loads)
	if reason != "" {
		t.CountDropped(reason)
		return
	}
	t.keepList(address, loads)
	at := sent.Add(-time.Duration(loads.AgeMillis) * time.Millisecond)
	for range t.putSums(address, at, items, withEvidence) {
		t.CountDropped(dropNoRoom)
	}
}

// decodeSums checks the sums of another relay and returns their items, or the reason why they are dropped.
func (t *Table) decodeSums(address string, loads *api.GatewayLoads) ([]item, string) {
	if loads.Incarnation == t.incarnation {
		return nil, dropOwn
	}
	if loads.AgeMillis < 0 || loads.AgeMillis >= reportExpiry.Milliseconds() {
		return nil, dropRange
	}
	if reason := t.restoreList(address, loads); reason != "" {
		return nil, reason
	}
	return decodeUsage(loads.Usage, sumsLimits)
}

func (t *Table) removeSums(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ledger != nil {
		t.ledger.removeSums(address)
	}
}

// putSums replaces the sums of another relay, whose oldest part is from the time at. It returns the number of servers left out.
func (t *Table) putSums(address string, at time.Time, items []item, withEvidence bool) int {
	suspended := t.Suspended()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ledger == nil {
		return 0
	}
	return t.ledger.putSums(address, at.Add(suspended), items, withEvidence, time.Now().Add(suspended))
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
