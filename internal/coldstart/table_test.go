package coldstart

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cicadawall/cicadawall/internal/routing"
)

var (
	testLimits = Limits{Overshoot: 1.5, Slack: 5}
	start      = time.Unix(1000, 0)
)

func newTable(self string, members *Members, started time.Time) *Table {
	return NewTable(Options{Self: self, Members: func() *Members { return members }, Started: started, Limits: testLimits})
}

// Guards against shares that let a cold server get more requests than it survives, or none.
func TestShare(t *testing.T) {
	for perSecond, want := range map[float64]int{7.8: 3, 10: 5, 0.5: 1, 1: 1, 100: 38} {
		got := share(Bound{PerSecond: perSecond}, testLimits)
		if got != want {
			t.Errorf("share of %v per second is %d, want %d", perSecond, got, want)
		}
		if sum := float64(2 * ownersPerServer * got); sum > perSecond*testLimits.Overshoot+testLimits.Slack {
			t.Errorf("the owners of two views send %v of %v per second", sum, perSecond)
		}
	}
	if got := share(Bound{PerSecond: 10}, Limits{Overshoot: 1, Slack: 2}); got != 3 {
		t.Errorf("share under a tighter limit is %d, want 3", got)
	}
}

// Guards against an instance that sends requests to a cold server before it knows the other instances, or just after its predecessor may
// have sent some.
func TestNewProcessOwnsNothing(t *testing.T) {
	bound, members := Bound{PerSecond: 10}, &Members{Addresses: []string{"self"}}
	late := start.Add(time.Minute)
	if wait := newTable("self", nil, start).Take("s", bound, time.Second, late); wait != time.Second {
		t.Errorf("without a list of instances the wait is %s", wait)
	}
	if wait := newTable("self", members, start).Take("s", bound, 3*time.Second, start.Add(window-1)); wait != 3*time.Second {
		t.Errorf("in the first second of the process the wait is %s", wait)
	}
	if wait := newTable("self", members, start).Take("s", bound, 3*time.Second, start.Add(window)); wait != 0 {
		t.Errorf("after the first second of the process the wait is %s", wait)
	}
	if wait := newTable("self", &Members{Addresses: []string{"other"}}, start).Take("s", bound, time.Second, late); wait != time.Second {
		t.Errorf("an instance that is no member has the wait %s", wait)
	}
}

// Guards against two workers that both use the last unit of the allowance, and against a wait that is longer or shorter than needed.
func TestAllowanceIsUsedOnce(t *testing.T) {
	bound, now := Bound{PerSecond: 10}, start.Add(time.Minute)
	table := newTable("self", &Members{Addresses: []string{"self"}}, start)
	for n := range 5 {
		if wait := table.Take("s", bound, 3*time.Second, now.Add(time.Duration(n)*time.Millisecond)); wait != 0 {
			t.Fatalf("request %d waits %s", n, wait)
		}
	}
	candidates := []routing.Candidate{{ID: "s", ColdFor: 3 * time.Second}, {ID: "other", ColdFor: time.Second}, {ID: "s"}}
	later := now.Add(100 * time.Millisecond)
	table.Mark(candidates, bound, later)
	want := window - 100*time.Millisecond
	if candidates[0].ColdWait != want || candidates[1].ColdWait != 0 || candidates[2].ColdWait != 0 {
		t.Errorf("waits %s, %s and %s", candidates[0].ColdWait, candidates[1].ColdWait, candidates[2].ColdWait)
	}
	if wait := table.Take("s", bound, 3*time.Second, later); wait != want {
		t.Errorf("wait with a used allowance: %s", wait)
	}
	if wait := table.Take("s", bound, 3*time.Second, now.Add(window)); wait != 0 {
		t.Errorf("wait after the window: %s", wait)
	}
	if wait := table.Take("s", bound, time.Millisecond, now.Add(window)); wait != time.Millisecond {
		t.Errorf("wait for a server that is soon warm: %s", wait)
	}
}

// fleetOfTables plays the instances of a fleet that send requests to one cold server and restart.
type fleetOfTables struct {
	views  [2]*Members
	tables []*Table
	// viewOf is the view of each instance.
	viewOf []int
	sent   []time.Time
}

func newFleetOfTables(instances int, started time.Time) *fleetOfTables {
	f := &fleetOfTables{viewOf: make([]int, instances), tables: make([]*Table, instances)}
	var all []string
	for n := range instances {
		all = append(all, strconv.Itoa(n))
	}
	// The views differ by the first instance, which has just joined or left.
	f.views = [2]*Members{{Addresses: all}, {Addresses: all[1:]}}
	for n := range instances {
		f.restart(n, started)
	}
	return f
}

func (f *fleetOfTables) restart(n int, now time.Time) {
	f.tables[n] = NewTable(Options{
		Self: strconv.Itoa(n), Members: func() *Members { return f.views[f.viewOf[n]] }, Started: now, Limits: testLimits,
	})
}

// most returns the largest number of requests in a second.
func (f *fleetOfTables) most() int {
	most := 0
	for i, first := range f.sent {
		end, _ := slices.BinarySearchFunc(f.sent, first.Add(time.Second), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// Guards against instances that together send more requests to a cold server than it survives, because they restart, their views of the
// fleet differ by one instance, or all send at once.
func TestFleetKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := Bound{PerSecond: rapid.SampledFrom([]float64{0.5, 3, 7.8, 10, 40}).Draw(t, "rate")}
		f := newFleetOfTables(rapid.IntRange(2, 9).Draw(t, "instances"), start)
		now := start.Add(time.Minute)
		server := rapid.StringMatching("[a-z]{4}").Draw(t, "server")
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			n := rapid.IntRange(0, len(f.tables)-1).Draw(t, "instance")
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); action {
			case 0:
				f.restart(n, now)
			case 1:
				f.viewOf[n] = 1 - f.viewOf[n]
			case 2, 3:
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond)
			default:
				for range rapid.IntRange(1, 12).Draw(t, "requests") {
					if f.tables[n].Take(server, bound, time.Minute, now) == 0 {
						f.sent = append(f.sent, now)
					}
				}
			}
		}
		if most, allowed := f.most(), bound.PerSecond*testLimits.Overshoot+testLimits.Slack; float64(most) > allowed {
			t.Errorf("%d requests in a second, allowed are %v", most, allowed)
		}
	})
}

// Guards against a cold server that gets hardly any requests although it sustains some.
func TestColdServerIsUsed(t *testing.T) {
	bound := Bound{PerSecond: 10}
	for server := range 20 {
		f := newFleetOfTables(7, start)
		now := start.Add(time.Minute)
		for step := range 300 {
			for n := range f.tables {
				if f.tables[n].Take(strconv.Itoa(server), bound, time.Minute, now.Add(time.Duration(step)*10*time.Millisecond)) == 0 {
					f.sent = append(f.sent, now)
				}
			}
		}
		if rate := float64(len(f.sent)) / 3; rate < 0.9*bound.PerSecond || rate > bound.PerSecond {
			t.Errorf("server %d gets %.1f requests a second", server, rate)
		}
	}
}
