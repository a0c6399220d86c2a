package serverload

import (
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

// ErrNotRelay means that an instance does not collect loads.
var ErrNotRelay = errors.New("the instance does not collect loads")

// Answer takes the report of an instance and returns the load from all others, or returns the sums that another relay asks for. It returns
// ErrNotRelay if this instance does not collect loads, and ErrMalformed if the report was dropped.
func (t *Table) Answer(query api.GatewayLoadsQuery) (api.GatewayLoads, error) {
	enabled := t.Enabled()
	t.mu.Lock()
	loads, reasons, err := t.answerLocked(query, enabled, t.clock(time.Now()))
	t.mu.Unlock()
	for _, reason := range reasons {
		t.CountDropped(reason)
	}
	return loads, err
}

// CountMalformed counts a message that could not be decoded.
func (t *Table) CountMalformed() { t.CountDropped(dropMalformed) }

func (t *Table) answerLocked(query api.GatewayLoadsQuery, enabled bool, now time.Time) (api.GatewayLoads, []string, error) {
	loads := api.GatewayLoads{Incarnation: t.incarnation}
	if !enabled || t.ledger == nil || now.Sub(t.lastRound) >= relayExpiry {
		return loads, nil, ErrNotRelay
	}
	if query.Sums {
		t.ledger.expire(now)
		loads.AgeMillis = t.ledger.reportsAge(now).Milliseconds()
		loads.Usage = t.ledger.encodeSums()
		return loads, nil, nil
	}
	reasons := t.takeReport(query, now)
	if len(reasons) > 0 && reasons[0] != dropNoRoom {
		return loads, reasons, errors.Wrap(ErrMalformed, reasons[0])
	}
	if now.Sub(t.relaySince) < warmUp {
		loads.Partial = true
		return loads, reasons, nil
	}
	t.ledger.expire(now)
	loads.AgeMillis = t.ledger.age(now).Milliseconds()
	loads.Usage, loads.SlowdownPercent = t.ledger.encodeView(query.Incarnation)
	return loads, reasons, nil
}

// takeReport takes the report of an instance. It returns why it, or a server of it, was dropped.
func (t *Table) takeReport(query api.GatewayLoadsQuery, now time.Time) []string {
	switch {
	case query.Incarnation == "" || len(query.Incarnation) > maxIDBytes:
		return []string{dropNoInstance}
	case query.Incarnation == t.incarnation:
		return []string{dropOwn}
	}
	items, reason := decodeUsage(query.Usage, reportLimits)
	if reason != "" {
		return []string{reason}
	}
	reason, omitted := t.ledger.putReport(query.Incarnation, query.Sequence, items, now)
	if reason != "" {
		return []string{reason}
	}
	return slices.Repeat([]string{dropNoRoom}, omitted)
}

// encodeSums returns the sums of the reports that this relay received itself.
func (l *ledger) encodeSums() api.GatewayUsage {
	usage := newUsage(len(l.ordered))
	for _, index := range l.ordered {
		if s := &l.slots[index]; s.direct != (load{}) || s.directEvidence.samples > 0 {
			appendUsage(&usage, s.id, s.direct, s.directEvidence)
		}
	}
	trimEvidence(&usage)
	return usage
}

// encodeView returns the load from all instances except one, and the slowdowns in percent.
func (l *ledger) encodeView(except string) (api.GatewayUsage, []int) {
	usage, slowdowns, unequal := newUsage(len(l.ordered)), make([]int, 0, len(l.ordered)), false
	l.eachTotal(except, func(s *slot, total load) {
		percent := int(math.Round(100 * s.slowdown))
		if total == (load{}) && percent == 100 {
			return
		}
		usage.Servers = append(usage.Servers, s.id)
		usage.Running = append(usage.Running, total.running)
		usage.Streaming = append(usage.Streaming, total.streaming)
		usage.PendingWork = append(usage.PendingWork, total.pending)
		slowdowns = append(slowdowns, percent)
		unequal = unequal || percent != 100
	})
	if !unequal {
		slowdowns = nil
	}
	return usage, slowdowns
}

// newUsage returns a message with room for n servers and without evidence.
func newUsage(n int) api.GatewayUsage {
	return api.GatewayUsage{
		Servers: make([]string, 0, n), Running: make([]int, 0, n), Streaming: make([]int, 0, n), PendingWork: make([]int64, 0, n),
	}
}

// servers returns the view of the instance itself.
func (l *ledger) servers(except string) map[string]Server {
	servers := make(map[string]Server, len(l.ordered))
	l.eachTotal(except, func(s *slot, total load) {
		if total != (load{}) || s.slowdown != 1 {
			servers[s.id] = Server{total.running, total.streaming, total.pending, s.slowdown}
		}
	})
	return servers
}
