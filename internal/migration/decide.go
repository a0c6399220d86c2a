package migration

import (
	"slices"
	"time"
)

// Decision is a state that should be recorded for a service.
type Decision struct {
	Status Status
	// Previous is the revision of the record that it replaces, 0 if there is none.
	Previous int64
	// NewCount and Old are the counts on which the decision rests.
	NewCount Count
	OldCount   Count
	Part  float64
	// Order is the order that the decision is about, and Age the time since it was given.
	Order Order
	Age   time.Duration
}

// Decide returns the states that should be recorded now. A version found bad is avoided at once, before it is recorded.
func (t *Table) Decide(now time.Time) []Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	var decisions []Decision
	for service, r := range t.rows {
		if r.order.Target == "" || r.settled() {
			continue
		}
		if decision, ok := t.decide(service, r, now); ok {
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

func (t *Table) decide(service string, r *row, now time.Time) (Decision, bool) {
	fresh, old, finding := t.compare(r.order)
	if finding == findingBad {
		r.suspect = true
	}
	decision := Decision{
		Previous: r.status.Revision, NewCount: fresh, OldCount: old, Part: r.part(now), Order: r.order, Age: now.Sub(r.started),
	}
	decision.Status = Status{Service: service, Target: r.order.Target, State: StateRunning}
	switch {
	case r.suspect:
		decision.Status.State = StateRolledBack
	case t.schedule.complete(decision.Part) && (finding != findingDoubt || decision.Age > r.order.Duration+doubtPatience):
		decision.Status.State = StateCompleted
	case r.recorded():
		return Decision{}, false
	}
	return decision, true
}

// compare sums the evidence of all instances since the order and tests it, as a whole and for each class.
func (t *Table) compare(order Order) (fresh, old Count, finding finding) {
	freshBy, oldBy := map[string]Count{}, map[string]Count{}
	add := func(counts map[Key]Count) {
		for key, count := range counts {
			if key.Service != order.Service || key.Order != order.Revision {
				continue
			}
			if key.Version == order.Target {
				freshBy[key.Class] = freshBy[key.Class].plus(count)
				fresh = fresh.plus(count)
				continue
			}
			oldBy[key.Class] = oldBy[key.Class].plus(count)
			old = old.plus(count)
		}
	}
	add(t.own)
	for _, counts := range t.peers {
		add(counts)
	}
	bad := Worse(fresh, old)
	var late delay
	for class, count := range freshBy {
		bad = bad || Worse(count, oldBy[class])
		var one delay
		one.add(count, oldBy[class])
		late.add(count, oldBy[class])
		bad = bad || one.slow()
	}
	switch {
	case bad || late.slow():
		return fresh, old, findingBad
	case late.doubtful():
		return fresh, old, findingDoubt
	default:
		return fresh, old, findingNone
	}
}

// Own returns a copy of this instance's counts.
func (t *Table) Own() map[Key]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[Key]Count, len(t.own))
	for key, count := range t.own {
		counts[key] = count
	}
	return counts
}

// Peer replaces the counts of a peer.
func (t *Table) Peer(incarnation string, counts map[Key]Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[incarnation] = counts
}

// View is a migration as it is handed to peers.
type View struct {
	Order   Order
	Status  Status
	Age     time.Duration
	Suspect bool
	// Withdrawn are the targets of earlier orders that were rolled back.
	Withdrawn []string
}

// Views returns a copy of all migrations.
func (t *Table) Views(now time.Time) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	views := make([]View, 0, len(t.rows))
	for _, r := range t.rows {
		views = append(views, View{Order: r.order, Status: r.status, Age: now.Sub(r.started), Suspect: r.suspect, Withdrawn: slices.Clone(r.withdrawn)})
	}
	return views
}

// Suspect takes a peer's finding that the target of an order is bad.
func (t *Table) Suspect(order Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rows[order.Service]; ok && r.order.Revision == order.Revision {
		r.suspect = true
	}
}
