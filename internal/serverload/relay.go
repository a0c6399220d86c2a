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
	enabled, now := t.Enabled(), t.clock(time.Now())
	t.mu.Lock()
	loads, reasons, err := t.answerLocked(query, enabled, now)
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
		loads.Usage, loads.List = t.ledger.encodeSums(query.List, query.Evidence)
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
	t.ledger.encodeView(&loads, query.Incarnation, query.List)
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

// encodeSums returns the sums of the reports that this relay received itself, and the fingerprint of the list of servers. The list itself
// is left out if knownList is its fingerprint.
func (l *ledger) encodeSums(knownList int64, withEvidence bool) (api.GatewayUsage, int64) {
	usage, list := l.newUsage(knownList)
	for i, index := range l.ordered {
		s := &l.slots[index]
		usage.Running[i], usage.Streaming[i], usage.PendingWork[i] = s.direct.running, s.direct.streaming, s.direct.pending
	}
	if withEvidence {
		for _, index := range l.ordered {
			appendEvidence(&usage, l.slots[index].directEvidence)
		}
		trimEvidence(&usage)
	}
	return usage, list
}

// encodeView sets the load from all instances except one, and the slowdowns in percent. The list of servers is left out if knownList is
// its fingerprint.
func (l *ledger) encodeView(loads *api.GatewayLoads, except string, knownList int64) {
	loads.Usage, loads.List = l.newUsage(knownList)
	loads.SlowdownPercent = make([]int, 0, len(l.ordered))
	unequal := false
	l.eachTotal(except, func(s *slot, total load) {
		i, percent := len(loads.SlowdownPercent), int(math.Round(100*s.slowdown))
		loads.Usage.Running[i], loads.Usage.Streaming[i], loads.Usage.PendingWork[i] = total.running, total.streaming, total.pending
		loads.SlowdownPercent = append(loads.SlowdownPercent, percent)
		unequal = unequal || percent != 100
	})
	if !unequal {
		loads.SlowdownPercent = nil
	}
}

// newUsage returns a message without load for all servers, and the fingerprint of their list.
func (l *ledger) newUsage(knownList int64) (api.GatewayUsage, int64) {
	n := len(l.ordered)
	usage := api.GatewayUsage{Running: make([]int, n), Streaming: make([]int, n), PendingWork: make([]int64, n)}
	names, list := l.serverList()
	if list != knownList {
		usage.Servers = names
	}
	return usage, list
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
