package serverload

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxReporters bounds the instances of which a relay keeps reports; half of an availability zone reports to one relay.
	maxReporters = 1024
	// sequenceRetention is how long a relay remembers the last report of an instance, so that a delayed one is not taken as new.
	sequenceRetention = 30 * time.Second
	// serverRetention is how long a server that no message mentions is remembered with its speed.
	serverRetention = time.Minute
	// maxDirectSamples bounds the evidence about one server, far above what a server can answer within the half-life.
	maxDirectSamples = 1_000_000
)

// entry is what one report, or the sums of one relay, say about a server.
type entry struct {
	slot int32
	load load
}

// evidenceEntry is the evidence in the sums of one relay about a server.
type evidenceEntry struct {
	slot     int32
	evidence evidence
}

// contribution is the newest report of an instance, or the newest sums of another relay.
type contribution struct {
	// at is the time of the report, or of the oldest part of the sums.
	at         time.Time
	receivedAt time.Time
	sequence   int64
	// entries are in the order of the servers' identifiers.
	entries []entry
	// evidence is kept only of sums; that of a report is added once.
	evidence []evidenceEntry
}

// slot holds the sums of one server.
type slot struct {
	id string
	// direct sums the reports that this relay received itself, remote the sums of the other relays.
	direct, remote                 load
	directEvidence, remoteEvidence evidence
	slowdown                       float64
	mentionedAt                    time.Time
	references                     int
}

// ledger holds the reports and sums of which a relay makes views. Sums by server are adjusted with each message, so that a view costs
// one pass over the servers, whatever the number of instances. It is not safe for concurrent use.
type ledger struct {
	slots   []slot
	free    []int32
	slotOf  map[string]int32
	ordered []int32 // the slots in use, by identifier
	// names are the identifiers of the ordered slots and list is their fingerprint; names is nil after a change.
	names   []string
	list    int64
	reports map[string]*contribution
	sums    map[string]*contribution
	decayed time.Time
}

func newLedger(now time.Time) *ledger {
	return &ledger{slotOf: map[string]int32{}, reports: map[string]*contribution{}, sums: map[string]*contribution{}, decayed: now}
}

// slotFor returns the slot of a server, or -1 if there is no room for another one.
func (l *ledger) slotFor(id string, now time.Time) int32 {
	if index, ok := l.slotOf[id]; ok {
		l.slots[index].mentionedAt = now
		return index
	}
	if len(l.slotOf) >= maxViewServers {
		return -1
	}
	index := int32(len(l.slots))
	if last := len(l.free) - 1; last >= 0 {
		index, l.free = l.free[last], l.free[:last]
	} else {
		l.slots = append(l.slots, slot{})
	}
	id = strings.Clone(id)
	l.slots[index] = slot{id: id, slowdown: 1, mentionedAt: now}
	l.slotOf[id] = index
	position, _ := slices.BinarySearchFunc(l.ordered, id, func(i int32, id string) int { return strings.Compare(l.slots[i].id, id) })
	l.ordered = slices.Insert(l.ordered, position, index)
	l.names = nil
	return index
}

// serverList returns the identifiers of the servers in order, which are not to be changed, and their fingerprint.
func (l *ledger) serverList() ([]string, int64) {
	if l.names == nil {
		l.names = make([]string, 0, len(l.ordered))
		hash := xxhash.New()
		for _, index := range l.ordered {
			l.names = append(l.names, l.slots[index].id)
			_, _ = hash.WriteString(l.slots[index].id)
			_, _ = hash.Write([]byte{0})
		}
		l.list = int64(hash.Sum64())
	}
	return l.names, l.list
}

// addLoads adds the loads of items to the entries of a contribution and returns how many were left out for lack of room. Items without
// a load are skipped.
func (l *ledger) addLoads(c *contribution, items []item, now time.Time, sum func(s *slot) *load) int {
	omitted := 0
	for _, i := range items {
		if i.load == (load{}) {
			continue
		}
		index := l.slotFor(i.id, now)
		if index < 0 {
			omitted++
			continue
		}
		c.entries = append(c.entries, entry{index, i.load})
		s := &l.slots[index]
		total := sum(s)
		*total = total.plus(i.load)
		s.references++
	}
	return omitted
}

// removeLoads undoes addLoads.
func (l *ledger) removeLoads(c *contribution, sum func(s *slot) *load) {
	for _, e := range c.entries {
		s := &l.slots[e.slot]
		total := sum(s)
		*total = total.minus(e.load)
		s.references--
	}
	c.entries = c.entries[:0]
}

func directLoad(s *slot) *load { return &s.direct }
func remoteLoad(s *slot) *load { return &s.remote }

// putReport replaces the report of an instance. It returns the reason if the report is dropped, and the number of servers left out.
func (l *ledger) putReport(incarnation string, sequence int64, items []item, now time.Time) (string, int) {
	report, known := l.reports[incarnation]
	switch {
	case known && sequence <= report.sequence:
		return dropStale, 0
	case !known && len(l.reports) >= maxReporters:
		return dropManyReporter, 0
	case !known:
		report = &contribution{}
		l.reports[incarnation] = report
	}
	l.removeLoads(report, directLoad)
	report.at, report.receivedAt, report.sequence = now, now, sequence
	omitted := l.addLoads(report, items, now, directLoad)
	for _, i := range items {
		if i.evidence.samples > 0 {
			l.addDirectEvidence(i, now)
		}
	}
	return "", omitted
}

// addDirectEvidence adds the evidence of a report, which stays and decays.
func (l *ledger) addDirectEvidence(i item, now time.Time) {
	index := l.slotFor(i.id, now)
	if index < 0 || l.slots[index].directEvidence.samples >= maxDirectSamples {
		return
	}
	l.slots[index].directEvidence = l.slots[index].directEvidence.plus(i.evidence)
}

// putSums replaces the sums of another relay, and their evidence if withEvidence is set. It returns the number of servers left out.
func (l *ledger) putSums(address string, at time.Time, items []item, withEvidence bool, now time.Time) int {
	sums, known := l.sums[address]
	if !known {
		sums = &contribution{}
		l.sums[address] = sums
	}
	l.removeLoads(sums, remoteLoad)
	sums.at, sums.receivedAt = at, now
	omitted := l.addLoads(sums, items, now, remoteLoad)
	if withEvidence {
		l.removeEvidence(sums)
		l.addEvidence(sums, items, now)
	}
	return omitted
}

// addEvidence adds the evidence of the sums of another relay.
func (l *ledger) addEvidence(sums *contribution, items []item, now time.Time) {
	for _, i := range items {
		if i.evidence.samples <= 0 {
			continue
		}
		if index := l.slotFor(i.id, now); index >= 0 {
			sums.evidence = append(sums.evidence, evidenceEntry{index, i.evidence})
			s := &l.slots[index]
			s.remoteEvidence = s.remoteEvidence.plus(i.evidence)
			s.references++
		}
	}
}

// removeEvidence undoes addEvidence.
func (l *ledger) removeEvidence(sums *contribution) {
	for _, e := range sums.evidence {
		s := &l.slots[e.slot]
		s.remoteEvidence = s.remoteEvidence.plus(evidence{-e.evidence.samples, -e.evidence.logs})
		s.references--
	}
	sums.evidence = sums.evidence[:0]
}

// removeSums forgets the sums of another relay.
func (l *ledger) removeSums(address string) {
	if sums, known := l.sums[address]; known {
		l.removeLoads(sums, remoteLoad)
		l.removeEvidence(sums)
		delete(l.sums, address)
	}
}

// expire takes out the reports and sums that are too old and forgets servers that were not mentioned for long.
func (l *ledger) expire(now time.Time) {
	for incarnation, report := range l.reports {
		age := now.Sub(report.receivedAt)
		if age >= reportExpiry {
			l.removeLoads(report, directLoad)
		}
		if age >= sequenceRetention {
			delete(l.reports, incarnation)
		}
	}
	for address, sums := range l.sums {
		if now.Sub(sums.receivedAt) >= sumsExpiry {
			l.removeSums(address)
		}
	}
	l.ordered = slices.DeleteFunc(l.ordered, func(index int32) bool {
		s := &l.slots[index]
		if s.references > 0 || now.Sub(s.mentionedAt) < serverRetention {
			return false
		}
		delete(l.slotOf, s.id)
		*s = slot{}
		l.free = append(l.free, index)
		l.names = nil
		return true
	})
}

// reportsAge returns the age of the oldest report that still counts, except those whose instances have most likely ended.
func (l *ledger) reportsAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, report := range l.reports {
		if age := now.Sub(report.at); age < settledAge {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// age returns the age of a view made now.
func (l *ledger) age(now time.Time) time.Duration {
	oldest := l.reportsAge(now)
	for _, sums := range l.sums {
		oldest = max(oldest, now.Sub(sums.at))
	}
	return oldest
}

// eachTotal calls visit for each server in the order of the identifiers, with the load from all instances except one.
func (l *ledger) eachTotal(except string, visit func(s *slot, total load)) {
	var own []entry
	if report, ok := l.reports[except]; ok {
		own = report.entries
	}
	for _, index := range l.ordered {
		s := &l.slots[index]
		total := s.direct.plus(s.remote)
		if len(own) > 0 && own[0].slot == index {
			total = total.minus(own[0].load)
			own = own[1:]
		}
		visit(s, total)
	}
}
