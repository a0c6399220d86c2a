package migration

import (
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// Key names the counter of one version on requests of one class since an order.
type Key struct {
	Service, Version, Class string
	// Order is the revision of the order. Peers learn of an order at different times, and a version that is ordered again is
	// judged anew.
	Order int64
}

// row is one service's migration.
type row struct {
	order  Order
	status Status
	// started is when this instance learnt of the order, or earlier if a peer did.
	started time.Time
	// suspect is set once this instance found the version bad, before the record says so.
	suspect bool
	// withdrawn holds the targets of earlier orders that were rolled back. Their servers go on for some seconds.
	withdrawn []string
}

// Table holds the migrations and the evidence on versions. It is safe for concurrent use.
type Table struct {
	schedule schedule

	mu    *lockorder.Mutex
	rows  map[string]*row
	own   map[Key]Count
	peers map[string]map[Key]Count
	// starts holds what was recorded of an order's start before the order itself was seen.
	starts map[string]start
}

// start is when an order was given.
type start struct {
	revision int64
	at       time.Time
}

// NewTable returns an empty table. Exposure is the part of the requests that a bad version may get.
func NewTable(exposure float64) *Table {
	return &Table{
		schedule: schedule{exposure: exposure},

		mu:    lockorder.New(lockorder.RankVersions),
		rows:  map[string]*row{},
		own:   map[Key]Count{},
		peers: map[string]map[Key]Count{},

		starts: map[string]start{},
	}
}

// Order takes an order and reports whether it is new. The age is how long ago it was given.
func (t *Table) Order(order Order, age time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[order.Service]
	if ok && r.order.Revision >= order.Revision {
		r.begun(order.Revision, now.Add(-age))
		return false
	}
	fresh := &row{order: order, started: now.Add(-age)}
	if ok {
		fresh.status = r.status
		fresh.withdrawn = r.withdrawnTargets(order.Target)
	}
	if recorded := t.starts[order.Service]; recorded.revision == order.Revision {
		fresh.begun(recorded.revision, recorded.at)
	}
	t.rows[order.Service] = fresh
	t.forget(order.Service)
	return true
}

// withdrawnTargets returns the versions that were rolled back, without the one that is ordered now.
func (r *row) withdrawnTargets(ordered string) []string {
	versions := slices.Clone(r.withdrawn)
	if r.order.Target != "" && r.state() == StateRolledBack && !slices.Contains(versions, r.order.Target) {
		versions = append(versions, r.order.Target)
	}
	return slices.DeleteFunc(versions, func(version string) bool { return version == ordered })
}

// begun takes an earlier start of the same order.
func (r *row) begun(revision int64, at time.Time) {
	if r.order.Revision == revision && at.Before(r.started) {
		r.started = at
	}
}

// Begun takes the start of a service's order as another instance recorded it.
func (t *Table) Begun(service string, revision int64, age time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	begun := start{revision: revision, at: now.Add(-age)}
	if r, ok := t.rows[service]; ok {
		r.begun(begun.revision, begun.at)
	}
	if t.starts[service].revision <= revision {
		t.starts[service] = begun
	}
}

// forget drops the own counts from before an order. Those of peers are replaced when the peers tell new ones.
func (t *Table) forget(service string) {
	for key := range t.own {
		if key.Service == service {
			delete(t.own, key)
		}
	}
}

// Recorded takes the recorded state of a service's migration and reports whether it is news.
func (t *Table) Recorded(status Status) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[status.Service]
	if !ok {
		r = &row{}
		t.rows[status.Service] = r
	}
	if r.status.Revision >= status.Revision {
		return false
	}
	r.status = status
	return true
}

// recorded reports whether the record is about the order. Revisions come from one counter of the store.
func (r *row) recorded() bool {
	return r.status.Target == r.order.Target && r.status.Revision > r.order.Revision
}

// settled reports whether the record is final.
func (r *row) settled() bool { return r.recorded() && r.status.State.Final() }

// state returns the state that this instance acts on.
func (r *row) state() State {
	if r.settled() {
		return r.status.State
	}
	if r.suspect {
		return StateRolledBack
	}
	return StateRunning
}

// Choose returns the version that takes a session's request. Sessionless requests belong to no session.
func (t *Table) Choose(service, session string, sessionless bool, now time.Time) Preference {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[service]
	if !ok {
		return Preference{}
	}
	if r.order.Target == "" {
		return Preference{Withdrawn: r.withdrawn}
	}
	target := r.order.Target
	preference := Preference{Withdrawn: r.withdrawnTargets("")}
	part := r.part(now)
	switch state := r.state(); {
	case state == StateRolledBack:
	case state == StateCompleted || position(service, target, session) < t.schedule.share(part, sessionless):
		preference.Use = target
	case part < trialStart:
		preference.Withdrawn = append(preference.Withdrawn, target)
	default:
		preference.Avoid = target
	}
	return preference
}

func (r *row) part(now time.Time) float64 {
	if r.order.Duration <= 0 {
		return 1
	}
	return float64(now.Sub(r.started)) / float64(r.order.Duration)
}

// Withdraw takes a version that was rolled back before this instance started.
func (t *Table) Withdraw(service, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[service]
	if !ok {
		r = &row{}
		t.rows[service] = r
	}
	if !slices.Contains(r.withdrawn, version) && r.order.Target != version {
		r.withdrawn = append(r.withdrawn, version)
	}
}

// Observe records an answer of a version, with the time until it began. Class names requests of similar length.
func (t *Table) Observe(service, version, class string, bad bool, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[service]
	if !ok {
		return
	}
	key := Key{Service: service, Version: version, Class: class, Order: r.order.Revision}
	count := t.own[key]
	count.Answers++
	if bad {
		count.Bad++
	} else {
		count.took(took)
	}
	t.own[key] = count
}

// Running returns the services that are being moved.
func (t *Table) Running() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var services []string
	for service, r := range t.rows {
		if r.order.Target != "" && !r.settled() {
			services = append(services, service)
		}
	}
	return services
}
