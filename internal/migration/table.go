package migration

import (
	"slices"
	"strings"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/storepos"
)

// Key identifies the count of one version's answers to one class of requests since an order.
type Key struct {
	Service, Version, Class string
	// OrderRevision is the revision of the order. It keeps counts of different orders apart, because peers receive an order at
	// different times and a version that is ordered again is tested anew.
	OrderRevision storepos.Position
}

// serviceMigration is the migration of one service.
type serviceMigration struct {
	order  Order
	status Status
	// row is the position of the newest row that gave the order: the store may show it again in a later era.
	row storepos.Position
	// unconfirmedOrder is set if the order is the first one of the service that this process has read, and no peer has told of it. It may be one of an earlier
	// era that the operator has written again; peers then tell under which revision they know it.
	unconfirmedOrder bool
	// stored is the position of the record of a state that the store was last found to hold for the service, and confirmed that of one with the
	// state in status.
	stored, confirmed storepos.Position
	// started is when the order was given, as far as known: when this instance received it, or earlier if a peer or the store
	// reports so.
	started time.Time
	// suspect is set once this instance or a peer found the target bad. It takes effect before the rollback is recorded.
	suspect bool
	// loadTestUsed counts the requests with which this instance has tested the target under load.
	loadTestUsed int
	// versions says which versions are withdrawn. The backend servers of a version that was rolled back keep running for some seconds.
	versions versionRecords
}

// Table holds the migrations of all services and the evidence about their versions. It is safe for concurrent use.
type Table struct {
	schedule schedule
	// slack is the number of requests that a bad version may receive in addition to the schedule, shared by the instances.
	slack     float64
	instances func() int
	// processStart is the start of the process; zero if it is unknown.
	processStart time.Time
	history      *storepos.History

	mu          *lockorder.Mutex
	migrations  map[string]*serviceMigration
	localCounts map[Key]Count
	peerCounts  map[string]map[Key]Count
	// orderStarts holds the recorded start times of orders that arrived before the orders themselves.
	orderStarts map[string]orderStart
}

// orderStart is the time when an order was given.
type orderStart struct {
	revision storepos.Position
	at       time.Time
}

// NewTable returns an empty table. Exposure is the fraction of requests that a bad version may receive.
func NewTable(exposure float64) *Table {
	return &Table{
		schedule: schedule{exposure: exposure},
		history:  storepos.NewHistory(),

		mu:          lockorder.New(lockorder.RankVersions),
		migrations:  map[string]*serviceMigration{},
		localCounts: map[Key]Count{},
		peerCounts:  map[string]map[Key]Count{},

		orderStarts: map[string]orderStart{},
	}
}

// SetSlack allows a load test a number of requests in addition to its part of the exposure budget, which the instances share. A service with
// few requests would otherwise give too few answers to tell a good version from a bad one by the deadline. While the number of instances is
// 0, unknown, none are allowed. A process that starts after an order uses none for it, because the process before it may have used its part. It
// must be called before the table is used.
func (t *Table) SetSlack(slack float64, instances func() int, processStart time.Time) {
	t.slack, t.instances, t.processStart = slack, instances, processStart
}

// SetHistory sets what is known of the eras of the store. It must be called before the table is used.
func (t *Table) SetHistory(history *storepos.History) { t.history = history }

// AddOrder stores an order and reports whether it is new. Age is the time since it was given.
func (t *Table) AddOrder(order Order, age time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.migration(order.Service)
	switch t.classify(r, order) {
	case orderKnown:
		r.row = storepos.Later(r.row, order.Revision)
		r.moveStartBack(now.Add(-age))
		return false
	case orderRepeated:
		r.row = order.Revision
		return false
	case orderEarlier:
		return false
	case orderAdopted:
		// The counts and the starts that peers report refer to this revision. The row that was read is no event of the version.
		if known := r.versions[order.Target]; !known.Withdrawn && t.history.Same(known.Revision, r.order.Revision) {
			r.versions[order.Target] = VersionRecord{Version: order.Target, Revision: order.Revision}
		}
		r.order.Revision, r.unconfirmedOrder = order.Revision, false
		t.dropLocalCounts(order.Service)
		r.moveStartBack(now.Add(-age))
		return false
	}
	versions := r.versions
	if r.order.Target != "" && r.state(t.history) == StateRolledBack {
		versions.add(VersionRecord{Version: r.order.Target, Revision: r.lastEvent(t.history), Withdrawn: true}, t.history)
	}
	versions.add(VersionRecord{Version: order.Target, Revision: order.Revision}, t.history)
	replacement := &serviceMigration{
		order: order, row: order.Revision, unconfirmedOrder: r.order.Target == "", started: now.Add(-age), status: r.status, stored: r.stored,
		confirmed: r.confirmed, versions: versions,
	}
	if recorded := t.orderStarts[order.Service]; t.startsOrder(recorded, order) {
		replacement.moveStartBack(recorded.at)
	}
	t.migrations[order.Service] = replacement
	t.dropLocalCounts(order.Service)
	return true
}

// migration returns the migration of a service and adds it if there is none. The caller holds the lock.
func (t *Table) migration(service string) *serviceMigration {
	r, ok := t.migrations[service]
	if !ok {
		r = &serviceMigration{versions: versionRecords{}}
		t.migrations[service] = r
	}
	return r
}

// moveStartBack adopts an earlier start of the order.
func (r *serviceMigration) moveStartBack(at time.Time) {
	if at.Before(r.started) {
		r.started = at
	}
}

// startsOrder reports whether a recorded start is that of the order.
func (t *Table) startsOrder(start orderStart, order Order) bool {
	return !start.at.IsZero() && t.history.Same(start.revision, order.Revision)
}

// SetOrderStart adopts the start of a service's order as another instance recorded it.
func (t *Table) SetOrderStart(service string, revision storepos.Position, age time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reported := orderStart{revision: revision, at: now.Add(-age)}
	if r, ok := t.migrations[service]; ok && t.startsOrder(reported, r.order) {
		r.moveStartBack(reported.at)
	}
	if !t.history.Later(t.orderStarts[service].revision, revision) {
		t.orderStarts[service] = reported
	}
}

// dropLocalCounts removes this instance's counts for a service when it receives a new order. Counts of peers are replaced by
// the next ones that the peers report.
func (t *Table) dropLocalCounts(service string) {
	for key := range t.localCounts {
		if key.Service == service {
			delete(t.localCounts, key)
		}
	}
}

// ApplyStatus stores the recorded state of a service's migration and reports whether it is newer than the known one. A record that the store shows
// again because it lost the later ones changes nothing but what a write has to replace.
func (t *Table) ApplyStatus(status Status) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.migration(status.Service)
	r.versions.add(VersionRecord{Version: status.Target, Revision: status.Revision, Withdrawn: status.State == StateRolledBack}, t.history)
	r.stored = storepos.Later(r.stored, status.Revision)
	if status.Target == r.status.Target && status.State == r.status.State {
		r.confirmed = storepos.Later(r.confirmed, status.Revision)
	}
	if !t.history.Later(status.Revision, r.status.Revision) {
		return false
	}
	if status.Target != r.status.Target || status.State != r.status.State {
		r.confirmed = status.Revision
	}
	r.status = status
	return true
}

// ConfirmStatus records that a peer has found the recorded state of a service in the store at the position.
func (t *Table) ConfirmStatus(status Status, at storepos.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.migrations[status.Service]
	if !ok || status.Target != r.status.Target || status.State != r.status.State {
		return
	}
	r.stored, r.confirmed = storepos.Later(r.stored, at), storepos.Later(r.confirmed, at)
}

// MarkStatusesRead records that the states of all services were read from the store at the position. Those that were not found there do not exist in its
// era, or no longer do.
func (t *Table) MarkStatusesRead(at storepos.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.migrations {
		if r.stored.Era() < at.Era() {
			r.stored = storepos.At(at.Era(), 0)
		}
	}
}

// statusIsForOrder reports whether the recorded state belongs to the current order. A later revision proves it, since all
// revisions come from the store's history.
func (r *serviceMigration) statusIsForOrder(history *storepos.History) bool {
	return r.status.Target == r.order.Target && history.Later(r.status.Revision, r.order.Revision)
}

// lastEvent returns the revision of the last recorded event of the current order.
func (r *serviceMigration) lastEvent(history *storepos.History) storepos.Position {
	if r.statusIsForOrder(history) {
		return r.status.Revision
	}
	return r.order.Revision
}

// finished reports whether the recorded state of the current order is final.
func (r *serviceMigration) finished(history *storepos.History) bool {
	return r.statusIsForOrder(history) && r.status.State.Final()
}

// state returns the state that determines this instance's routing.
func (r *serviceMigration) state(history *storepos.History) State {
	if r.finished(history) {
		return r.status.State
	}
	if r.suspect {
		return StateRolledBack
	}
	return StateRunning
}

// Choose returns which versions may serve a request. Sessionless requests belong to no session; for them, session is a key
// that distributes the requests over the versions.
func (t *Table) Choose(service, session string, sessionless bool, now time.Time) Preference {
	return t.choose(service, session, sessionless, now, (*serviceMigration).useLoadTest)
}

// Preview returns what Choose would return, without counting the request.
func (t *Table) Preview(service, session string, sessionless bool, now time.Time) Preference {
	return t.choose(service, session, sessionless, now, (*serviceMigration).hasLoadTest)
}

// choose returns which versions may serve a request. The function testLeft decides whether the request may take part in a load test, of so many
// requests in total.
func (t *Table) choose(
	service, session string, sessionless bool, now time.Time, testLeft func(r *serviceMigration, allowed float64) bool,
) Preference {
	fleet := t.fleetShare()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.migrations[service]
	if !ok {
		return Preference{}
	}
	preference := Preference{Withdrawn: r.versions.withdrawn()}
	if r.order.Target == "" {
		return preference
	}
	target := r.order.Target
	elapsedFraction := r.elapsedFraction(now)
	switch state := r.state(t.history); {
	case state == StateRolledBack:
		// This instance may have found the version bad before the rollback is recorded.
		if !slices.Contains(preference.Withdrawn, target) {
			preference.Withdrawn = append(preference.Withdrawn, target)
		}
	case state == StateCompleted ||
		sessionPosition(service, target, session) < t.schedule.newVersionFraction(elapsedFraction, sessionless):
		preference.Use = target
	case sessionless && t.schedule.mayTestLoad(elapsedFraction) && testLeft(r, t.loadTestRequests(r, fleet, elapsedFraction)):
		preference.Use, preference.LoadTest = target, t.concurrency(r, fleet, now)
	case elapsedFraction < trialStartFraction:
		preference.Withdrawn = append(preference.Withdrawn, target)
	default:
		preference.Avoid = target
	}
	return preference
}

// elapsedFraction returns the time since the order as a fraction of its duration. It is above 1 after the deadline.
func (r *serviceMigration) elapsedFraction(now time.Time) float64 {
	if r.order.Duration <= 0 {
		return 1
	}
	return float64(now.Sub(r.started)) / float64(r.order.Duration)
}

// Observe counts an answer of a version. The latency is the time until the answer began. Class groups requests of similar
// length.
func (t *Table) Observe(service, version, class string, bad bool, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.migrations[service]
	if !ok {
		return
	}
	key := Key{Service: service, Version: version, Class: class, OrderRevision: r.order.Revision}
	count := t.localCounts[key]
	count.Answers++
	if bad {
		count.Bad++
	} else {
		count.addLatency(latency)
		if version != r.order.Target && !strings.HasSuffix(class, PaceClassSuffix) {
			count.StartTimes.add(logMillis(latency))
		}
	}
	t.localCounts[key] = count
}

// HasOrders reports whether any order is known.
func (t *Table) HasOrders() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.migrations {
		if r.order.Target != "" {
			return true
		}
	}
	return false
}

// RunningServices returns the services with a migration whose recorded state is not final.
func (t *Table) RunningServices() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var services []string
	for service, r := range t.migrations {
		if r.order.Target != "" && !r.finished(t.history) {
			services = append(services, service)
		}
	}
	return services
}
