// Package demand measures how many requests run on each version: on this instance from its own attempts, and on all
// instances from their reports. The holder of the placement lease bases the placement of versions on the result.
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
	// LeaseCandidates is the number of instances that may hold the placement lease and therefore receive the reports. With
	// three, two may fail at the same time.
	LeaseCandidates = 3
	// minInterval is the shortest interval between reports, and intervalPerInstance its increase with the number of instances:
	// a candidate receives at most 10 reports a second, about 5 KB/s at 0.5 KB a report.
	minInterval         = 5 * time.Second
	intervalPerInstance = 100 * time.Millisecond
	// reportValidityIntervals is the number of intervals after which the last report of an instance expires.
	reportValidityIntervals = 3
	// maxReportingInstances bounds the number of instances whose reports are kept. It is five times the planned fleet size.
	maxReportingInstances = 2048
)

// LeaseName is the name of the placement lease. Its rendezvous hash determines the candidates for the lease.
const LeaseName = "placement"

// ReportInterval returns the time between two reports of one instance.
func ReportInterval(instances int) time.Duration {
	return max(minInterval, time.Duration(instances)*intervalPerInstance)
}

// VersionLoad is the mean number of concurrent requests on a version.
type VersionLoad struct {
	Version            declaration.VersionID
	ConcurrentRequests float64
}

// loadIntegral holds the number of running requests of one version and its integral over the time since the last report.
type loadIntegral struct {
	running        int
	requestSeconds float64
	updatedAt      time.Time
}

func (l *loadIntegral) advance(now time.Time) {
	l.requestSeconds += float64(l.running) * now.Sub(l.updatedAt).Seconds()
	l.updatedAt = now
}

type receivedReport struct {
	receivedAt time.Time
	versions   []VersionLoad
}

// Table holds the running requests of this instance and the last report of each instance. It is safe for concurrent use.
type Table struct {
	mu            *lockorder.Mutex
	intervalStart time.Time
	loads         map[declaration.VersionID]*loadIntegral
	reports       map[string]receivedReport
}

// NewTable returns an empty table. Its first report covers the time since now.
func NewTable(now time.Time) *Table {
	return &Table{
		mu:            lockorder.New(lockorder.RankVersions),
		intervalStart: now,
		loads:         map[declaration.VersionID]*loadIntegral{},
		reports:       map[string]receivedReport{},
	}
}

// Begin records the start of an attempt on the version.
func (t *Table) Begin(id declaration.VersionID, now time.Time) { t.addRunning(id, 1, now) }

// End records the end of an attempt on the version.
func (t *Table) End(id declaration.VersionID, now time.Time) { t.addRunning(id, -1, now) }

func (t *Table) addRunning(id declaration.VersionID, delta int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.loads[id]
	if !ok {
		l = &loadIntegral{updatedAt: t.intervalStart}
		t.loads[id] = l
	}
	l.advance(now)
	l.running = max(0, l.running+delta)
}

// Report returns the versions that had requests since the last call, ordered by model and version, and starts the next
// interval.
func (t *Table) Report(now time.Time) []api.VersionDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsedSeconds := now.Sub(t.intervalStart).Seconds()
	t.intervalStart = now
	var out []api.VersionDemand
	for id, l := range t.loads {
		l.advance(now)
		if elapsedSeconds > 0 && l.requestSeconds > 0 {
			out = append(out, api.VersionDemand{Model: id.Model, Version: id.Version, Concurrent: l.requestSeconds / elapsedSeconds})
		}
		l.requestSeconds = 0
		if l.running == 0 {
			delete(t.loads, id)
		}
	}
	slices.SortFunc(out, func(a, b api.VersionDemand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// HandleReport stores the report as the last one of its instance. Reports without an incarnation, and those of further
// instances beyond maxReportingInstances, are ignored.
func (t *Table) HandleReport(report api.DemandReport, now time.Time) {
	received := receivedReport{receivedAt: now}
	for _, v := range report.Versions {
		id := declaration.VersionID{Model: v.Model, Version: v.Version}
		received.versions = append(received.versions, VersionLoad{Version: id, ConcurrentRequests: max(0, v.Concurrent)})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.reports[report.Incarnation]
	if report.Incarnation == "" || !known && len(t.reports) >= maxReportingInstances {
		return
	}
	t.reports[report.Incarnation] = received
}

// Total returns the concurrent requests of all instances by version, ordered. Reports older than three intervals are dropped.
func (t *Table) Total(instances int, now time.Time) []VersionLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[declaration.VersionID]float64{}
	for incarnation, report := range t.reports {
		if now.Sub(report.receivedAt) > reportValidityIntervals*ReportInterval(instances) {
			delete(t.reports, incarnation)
			continue
		}
		for _, v := range report.versions {
			sums[v.Version] += v.ConcurrentRequests
		}
	}
	out := make([]VersionLoad, 0, len(sums))
	for id, sum := range sums {
		out = append(out, VersionLoad{Version: id, ConcurrentRequests: sum})
	}
	slices.SortFunc(out, func(a, b VersionLoad) int { return cmp.Compare(a.Version.String(), b.Version.String()) })
	return out
}
