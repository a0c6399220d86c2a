package migration

import "time"

// fleetShare is what the load test of this instance depends on in the fleet.
type fleetShare struct {
	// slack is this instance's part of the exposure slack, instances the number of instances that share it; both are zero while it is unknown.
	slack     float64
	instances int
}

// fleetShare returns the share as of now. It must be called without the table's lock.
func (t *Table) fleetShare() fleetShare {
	if t.instances == nil {
		return fleetShare{}
	}
	instances := t.instances()
	if instances < 1 {
		return fleetShare{}
	}
	return fleetShare{slack: t.slack / float64(instances), instances: instances}
}

// loadTestRequests returns the number of requests with which this instance may test the new version under load: a part of its slack, and a part of
// the exposure budget for the requests that it expects between the order and the deadline. The caller holds the lock.
func (t *Table) loadTestRequests(r *serviceMigration, fleet fleetShare, elapsedFraction float64) float64 {
	answers := 0
	for key, count := range t.localCounts {
		if key.Service == r.order.Service && isRequestClass(key.Class) {
			answers += count.Answers
		}
	}
	expected := float64(answers) / elapsedFraction
	slack := loadTestSlackFraction * fleet.slack
	if t.startedAfter(r) {
		// The process before this one may have used it.
		slack = 0
	}
	return slack + loadTestExposureFraction*t.schedule.exposure*expected
}

// startedAfter reports whether this process started after the order was given. The caller holds the lock.
func (t *Table) startedAfter(r *serviceMigration) bool { return r.started.Before(t.processStart) }

// concurrency returns the number of requests of the service that run at a time at all instances together, as estimated from the answers of the old
// versions that this instance got since the order. The caller holds the lock.
func (t *Table) concurrency(r *serviceMigration, fleet fleetShare, now time.Time) float64 {
	busyMillis := 0.0
	for key, count := range t.localCounts {
		if key.Service == r.order.Service && key.Version != r.order.Target && isRequestClass(key.Class) {
			busyMillis += float64(count.Answers) * count.MeanMillis()
		}
	}
	elapsedMillis := max(1, now.Sub(r.started).Milliseconds())
	return float64(fleet.instances) * busyMillis / float64(elapsedMillis)
}

// useLoadTest reports whether one more request may test the target under load, if so many may in total, and counts it.
func (r *serviceMigration) useLoadTest(allowed float64) bool {
	if !r.hasLoadTest(allowed) {
		return false
	}
	r.loadTestUsed++
	return true
}

// hasLoadTest reports whether one more request may test the target under load, if so many may in total.
func (r *serviceMigration) hasLoadTest(allowed float64) bool {
	return float64(r.loadTestUsed+1) <= allowed
}
