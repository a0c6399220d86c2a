// Package demand measures how many requests run on each version: on this instance from its own attempts, and on all
// instances from their reports. The holder of the placement lease places versions by it.
package demand

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// Candidates is the number of instances that may hold the placement lease and therefore receive the reports. Three
	// survive the loss of two at a time.
	Candidates = 3
	// minInterval is the shortest interval of reports, and perInstance its growth by the number of instances: a candidate
	// receives at most 10 reports a second, about 5 KB/s at 0.5 KB a report.
	minInterval = 5 * time.Second
	perInstance = 100 * time.Millisecond
	// missedReports is the number of intervals after which the last report of an instance no longer counts.
	missedReports = 3
	// maxSenders bounds the instances whose reports are kept, five times the planned fleet.
	maxSenders = 2048
)

// LeaseName names the placement lease and, by rendezvous hash, its candidates.
const LeaseName = "placement"

// Interval returns the time between two reports of one instance.
func Interval(instances int) time.Duration {
	return max(minInterval, time.Duration(instances)*perInstance)
}

// Concurrent is the mean number of requests that ran on a version at a time.
type Concurrent struct {
	Version  declaration.VersionID
	Requests float64
}

// load is the number of running requests of one version and its integral over the time since the last report.
type load struct {
	running int
	area    float64
	changed time.Time
}

func (l *load) advance(now time.Time) {
	l.area += float64(l.running) * now.Sub(l.changed).Seconds()
	l.changed = now
}

type heard struct {
	at       time.Time
	versions []Concurrent
}

// Table holds the requests that run here and the last report of each instance. It is safe for concurrent use.
type Table struct {
	mu      *lockorder.Mutex
	since   time.Time
	running map[declaration.VersionID]*load
	reports map[string]heard
}

// NewTable returns an empty table whose first report covers the time from now.
func NewTable(now time.Time) *Table {
	return &Table{
		mu:      lockorder.New(lockorder.RankVersions),
		since:   now,
		running: map[declaration.VersionID]*load{},
		reports: map[string]heard{},
	}
}

// Begin records the start of an attempt on the version.
func (t *Table) Begin(id declaration.VersionID, now time.Time) { t.change(id, 1, now) }

// End records the end of an attempt on the version.
func (t *Table) End(id declaration.VersionID, now time.Time) { t.change(id, -1, now) }

func (t *Table) change(id declaration.VersionID, by int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.running[id]
	if !ok {
		l = &load{changed: t.since}
		t.running[id] = l
	}
	l.advance(now)
	l.running = max(0, l.running+by)
}

// Report returns the versions with requests since the last call, ordered, and starts the next interval.
func (t *Table) Report(now time.Time) []api.VersionDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	length := now.Sub(t.since).Seconds()
	t.since = now
	var out []api.VersionDemand
	for id, l := range t.running {
		l.advance(now)
		if length > 0 && l.area > 0 {
			out = append(out, api.VersionDemand{Model: id.Model, Version: id.Version, Concurrent: l.area / length})
		}
		l.area = 0
		if l.running == 0 {
			delete(t.running, id)
		}
	}
	slices.SortFunc(out, func(a, b api.VersionDemand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// Take keeps the last report of an instance. Reports without an incarnation, or of too many instances, are ignored.
func (t *Table) Take(report api.DemandReport, now time.Time) {
	kept := heard{at: now}
	for _, v := range report.Versions {
		id := declaration.VersionID{Model: v.Model, Version: v.Version}
		kept.versions = append(kept.versions, Concurrent{Version: id, Requests: max(0, v.Concurrent)})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.reports[report.Incarnation]
	if report.Incarnation == "" || !known && len(t.reports) >= maxSenders {
		return
	}
	t.reports[report.Incarnation] = kept
}

// Total returns the sum over all instances by version, ordered. Reports older than three intervals are dropped.
func (t *Table) Total(instances int, now time.Time) []Concurrent {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[declaration.VersionID]float64{}
	for sender, report := range t.reports {
		if now.Sub(report.at) > missedReports*Interval(instances) {
			delete(t.reports, sender)
			continue
		}
		for _, v := range report.versions {
			sums[v.Version] += v.Requests
		}
	}
	out := make([]Concurrent, 0, len(sums))
	for id, sum := range sums {
		out = append(out, Concurrent{Version: id, Requests: sum})
	}
	slices.SortFunc(out, func(a, b Concurrent) int { return cmp.Compare(a.Version.String(), b.Version.String()) })
	return out
}
