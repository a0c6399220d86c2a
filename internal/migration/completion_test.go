package migration

import (
	"strconv"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/storepos"
)

// Guards against a bad version that is completed for want of evidence, after which it cannot be rolled back (review case 4, EXPOSURE): an
// instance that has just started, or a service with few requests, has seen no bad answer because it has seen no answers.
func TestMigrationDoesNotCompleteWithoutEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		answers, bad int
		want         State
	}{
		"no answers":              {0, 0, ""},
		"few answers":             {minCompletionAnswers - 1, 0, ""},
		"doubtful answers":        {minCompletionAnswers, 3, ""},
		"enough good answers":     {minCompletionAnswers, 0, StateCompleted},
		"two of many are bad":     {100, 2, StateCompleted},
		"too many of few are bad": {minCompletionAnswers - 1, 8, StateRolledBack},
	} {
		table := NewTable(0.15)
		table.AddOrder(ordered("v2", 10), 0, origin)
		table.ApplyStatus(Status{Service: service, Target: "v2", State: StateRunning, Revision: storepos.At(0, 11)})
		for n := range c.answers {
			table.Observe(service, "v2", "buy/", n < c.bad, 100*time.Millisecond)
		}
		for _, after := range []time.Duration{20 * time.Second, time.Minute, time.Hour} {
			got := State("")
			if decisions := table.Decide(origin.Add(after)); len(decisions) == 1 {
				got = decisions[0].Status.State
			}
			if got != c.want {
				t.Errorf("%s, %s after the order: state %q, want %q", name, after, got, c.want)
			}
		}
	}
}

// Guards against a version that fails in one class only and is completed before that class was tried.
func TestMigrationWaitsForMainClasses(t *testing.T) {
	table := NewTable(0.15)
	table.AddOrder(ordered("v2", 10), 0, origin)
	for n := range 200 {
		class := "buy/"
		if n%3 == 0 {
			class = "look/"
		}
		table.Observe(service, "v1", class, false, 100*time.Millisecond)
	}
	for range 2 * minCompletionAnswers {
		table.Observe(service, "v2", "buy/", false, 100*time.Millisecond)
	}
	if decisions := table.Decide(origin.Add(20 * time.Second)); len(decisions) != 1 || decisions[0].Status.State != StateRunning {
		t.Errorf("decisions without answers in one class: %+v, want running", decisions)
	}
	for range minClassAnswers {
		table.Observe(service, "v2", "look/", false, 100*time.Millisecond)
	}
	if decisions := table.Decide(origin.Add(20 * time.Second)); len(decisions) != 1 || decisions[0].Status.State != StateCompleted {
		t.Errorf("decisions with answers in all main classes: %+v, want completed", decisions)
	}
}

// Guards against a good version of a service with few requests that misses its deadline for want of answers, and against a bad one that
// gets more requests than the exposure allows: 18 requests a second at seven instances, with an order of 12 s.
func TestServiceWithFewRequestsIsTriedInTime(t *testing.T) {
	const exposure, slack, instances, perSecond = 0.15, 30, 7, 18
	order := Order{Service: service, Target: "v2", Duration: 12 * time.Second, Revision: storepos.At(0, 10)}
	var tables []*Table
	for range instances {
		table := NewTable(exposure)
		table.SetSlack(slack, func() int { return instances }, time.Time{})
		table.AddOrder(order, 0, origin)
		table.ApplyStatus(Status{Service: service, Target: "v2", State: StateRunning, Revision: storepos.At(0, 11)})
		tables = append(tables, table)
	}
	exposed, all := 0, 0
	completedAt := time.Duration(0)
	for at := time.Duration(0); at < order.Duration; at += time.Second / perSecond {
		table := tables[all%instances]
		all++
		version := "v1"
		if table.Choose(service, "request-"+strconv.Itoa(all), true, origin.Add(at)).Use == "v2" {
			version = "v2"
			exposed++
		}
		table.Observe(service, version, "plain/", false, 50*time.Millisecond)
		for n, peer := range tables[1:] {
			tables[0].SetPeerCounts(strconv.Itoa(n), peer.LocalCounts())
		}
		decisions := tables[0].Decide(origin.Add(at))
		if len(decisions) == 1 && decisions[0].Status.State == StateCompleted && completedAt == 0 {
			completedAt = at
		}
	}
	if completedAt == 0 {
		t.Errorf("not completed by the deadline with %d answers", exposed)
	}
	if allowed := exposure*float64(all) + slack; float64(exposed) > 0.9*allowed {
		t.Errorf("%d of %d requests were sent to the new version, %.0f are allowed", exposed, all, allowed)
	}
}

// Guards against an instance that takes the whole slack of the fleet while it does not know how many instances share it.
func TestNoSlackWhileTheFleetIsUnknown(t *testing.T) {
	const requests = 1000
	order := Order{Service: service, Target: "v2", Duration: 12 * time.Second, Revision: storepos.At(0, 10)}
	for _, instances := range []int{0, 1} {
		table := NewTable(0)
		table.SetSlack(30, func() int { return instances }, time.Time{})
		table.AddOrder(order, 0, origin)
		exposed := 0
		for n := range requests {
			if table.Choose(service, strconv.Itoa(n), true, origin.Add(order.Duration*9/10)).Use == "v2" {
				exposed++
			}
		}
		if known := instances > 0; known != (exposed > 0) {
			t.Errorf("%d requests were sent to the new version with %d instances", exposed, instances)
		}
	}
}
