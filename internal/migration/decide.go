package migration

import (
	"strings"
	"time"

	"github.com/cicadawall/cicadawall/internal/storepos"
)

// PaceClassSuffix marks the classes of evidence on the pace of streams. The times of other classes are those until the answer began.
const PaceClassSuffix = "/pace"

// Decision is a state that must be recorded for a service.
type Decision struct {
	Status Status
	// PreviousRow is the position of the recorded state to be replaced, with version 0 if there is none. If it is of an earlier era of the store, the
	// recorded states must be read before.
	PreviousRow storepos.Position
	// NewCount and OldCount are the counts of the new and the old versions on which the decision is based.
	NewCount Count
	OldCount Count
	// ElapsedFraction is the elapsed time since the order as a fraction of its duration.
	ElapsedFraction float64
	// Order is the order to which the decision applies, and OrderAge is the time since it was given.
	Order    Order
	OrderAge time.Duration
	// OrderRow is the position of the order's row in the newest era of the store.
	OrderRow storepos.Position
}

// Decide returns the states that must be recorded now. A version found bad is avoided at once, before its rollback is
// recorded. A state that the store has lost is recorded again. Nothing is recorded for an order whose row the newest era of the store has not shown.
func (t *Table) Decide(now time.Time) []Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	var decisions []Decision
	for _, r := range t.migrations {
		if r.order.Target == "" || r.finished(t.history) && t.history.Current(r.confirmed) {
			continue
		}
		if !t.history.Current(r.row) {
			continue
		}
		if decision, ok := t.decide(r, now); ok {
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

// Overdue returns the number of migrations that have no final state after their deadlines.
func (t *Table) Overdue(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	overdue := 0
	for _, r := range t.migrations {
		if r.order.Target != "" && !r.finished(t.history) && now.Sub(r.started) > r.order.Duration {
			overdue++
		}
	}
	return overdue
}

func (t *Table) decide(r *serviceMigration, now time.Time) (Decision, bool) {
	if r.finished(t.history) {
		return t.decision(r, r.status.State, now), true
	}
	lightlyLoaded := !t.schedule.mayComplete(r.elapsedFraction(now))
	newCount, oldCount, finding := t.compare(r.order, lightlyLoaded, t.startedAfter(r))
	if finding == findingBad {
		r.suspect = true
	}
	decision := t.decision(r, StateRunning, now)
	decision.NewCount, decision.OldCount = newCount, oldCount
	switch {
	case r.suspect:
		decision.Status.State = StateRolledBack
	case t.schedule.mayComplete(decision.ElapsedFraction) && finding.allowsCompletion(decision.OrderAge-r.order.Duration):
		decision.Status.State = StateCompleted
	case r.statusIsForOrder(t.history) && t.history.Current(r.confirmed):
		return Decision{}, false
	}
	return decision, true
}

// decision returns the decision to record a state of the current order. The caller holds the lock.
func (t *Table) decision(r *serviceMigration, state State, now time.Time) Decision {
	return Decision{
		Status: Status{Service: r.order.Service, Target: r.order.Target, State: state}, PreviousRow: r.stored,
		ElapsedFraction: r.elapsedFraction(now), Order: r.order, OrderAge: now.Sub(r.started), OrderRow: r.row,
	}
}

// compare sums the counts of all instances since the order and tests them in total and for each class. The start and the pace of answers
// are tested apart. If the new version is lightly loaded, the starts of its streams are also compared with those on lightly loaded servers;
// the times of plain answers differ for other reasons than waiting. If this process started after the order, answers given before are not known,
// and more evidence is needed.
func (t *Table) compare(order Order, lightlyLoaded, startedAfter bool) (newCount, oldCount Count, result finding) {
	newByClass, oldByClass := map[string]Count{}, map[string]Count{}
	add := func(counts map[Key]Count) {
		for key, count := range counts {
			if key.Service != order.Service || !t.history.Same(key.OrderRevision, order.Revision) {
				continue
			}
			if key.Version == order.Target {
				newByClass[key.Class] = newByClass[key.Class].combinedWith(count)
				newCount = newCount.combinedWith(count)
				continue
			}
			oldByClass[key.Class] = oldByClass[key.Class].combinedWith(count)
			oldCount = oldCount.combinedWith(count)
		}
	}
	add(t.localCounts)
	for _, counts := range t.peerCounts {
		add(counts)
	}
	bad := HasMoreBadAnswers(newCount, oldCount)
	// The servers of a new version are nearly idle and generate tokens faster, which must not hide that their answers begin late.
	var start, pace, idleStart slowdown
	for class, count := range newByClass {
		bad = bad || HasMoreBadAnswers(count, oldByClass[class])
		var inClass slowdown
		inClass.addClass(count, oldByClass[class])
		if strings.HasSuffix(class, PaceClassSuffix) {
			pace.addClass(count, oldByClass[class])
		} else {
			start.addClass(count, oldByClass[class])
		}
		if _, streams := oldByClass[class+PaceClassSuffix]; streams {
			idleStart.addLightlyLoadedClass(count, oldByClass[class])
		}
		bad = bad || inClass.significant()
	}
	excess, uncertain := excessBadAnswers(newByClass, oldByClass), excessUncertain
	if startedAfter {
		uncertain = excessUncertainAfterStart
	}
	bad = bad || newCount.Bad > minBadAnswers && excess > excessBad
	switch {
	case bad || start.significant() || pace.significant() || lightlyLoaded && idleStart.significantUnderLightLoad():
		return newCount, oldCount, findingBad
	case tooFewAnswers(newByClass) || mayHaveMoreBadAnswers(newCount, oldCount) || excess > excessInsufficient:
		return newCount, oldCount, findingInsufficient
	case excess > uncertain:
		return newCount, oldCount, findingDoubtful
	case start.uncertain() || pace.uncertain() || classUncertain(newByClass, oldByClass):
		return newCount, oldCount, findingUncertain
	default:
		return newCount, oldCount, findingNone
	}
}

// LocalCounts returns a copy of this instance's counts.
func (t *Table) LocalCounts() map[Key]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[Key]Count, len(t.localCounts))
	for key, count := range t.localCounts {
		counts[key] = count
	}
	return counts
}

// SetPeerCounts replaces the counts of a peer.
func (t *Table) SetPeerCounts(incarnation string, counts map[Key]Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerCounts[incarnation] = counts
}

// View is the state of a migration as instances exchange it.
type View struct {
	Order   Order
	Status  Status
	Age     time.Duration
	Suspect bool
	// Versions are the last events of the versions of the service.
	Versions []VersionRecord
	// Confirmed is where the state was last found in the store.
	Confirmed storepos.Position
	// Unconfirmed is set if this process has read the order itself and no peer has told of it.
	Unconfirmed bool
}

// Views returns a copy of all migrations.
func (t *Table) Views(now time.Time) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	views := make([]View, 0, len(t.migrations))
	for _, r := range t.migrations {
		views = append(views, View{Order: r.order, Status: r.status, Age: now.Sub(r.started), Suspect: r.suspect, Versions: t.reportedVersions(r),
			Confirmed: r.confirmed, Unconfirmed: r.unconfirmedOrder && r.order.Revision.Era() != 0})
	}
	return views
}

// MarkSuspect records that a peer found the target of an order bad.
func (t *Table) MarkSuspect(order Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.migrations[order.Service]; ok && t.history.Same(r.order.Revision, order.Revision) {
		r.suspect = true
	}
}
