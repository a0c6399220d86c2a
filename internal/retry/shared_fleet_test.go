package retry

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/standin/retrycheck"
)

const (
	fleetInstances = 7
	fleetTick      = 50 * time.Millisecond
)

// fleetBudget is the retry budget of the users' first deployment.
var fleetBudget = retrycheck.Budget{Ratio: 0.9, Slack: 54, Window: 10 * time.Second}

// fleetRun plays the budgets of several instances in virtual time. Each request is repeated as often as the budget allows, up to three times.
type fleetRun struct {
	start, now    time.Time
	random        *rand.Rand
	budgets       []*SharedBudget
	known         int
	maxDelay      time.Duration
	sent, repeats []time.Time
	// underWay are the repeats that have been granted and have not arrived.
	underWay []repeatUnderWay
}

// repeatUnderWay is a repeat that reaches its server at a later time.
type repeatUnderWay struct {
	budget *SharedBudget
	at     time.Time
}

// newFleetRun returns instances that have run for long enough to use their parts of the slack.
func newFleetRun(seed uint64) *fleetRun {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := &fleetRun{start: start, now: start.Add(-time.Hour), random: rand.New(rand.NewPCG(seed, 0)), known: fleetInstances}
	f.budgets = make([]*SharedBudget, fleetInstances)
	for i := range f.budgets {
		f.restart(i)
	}
	f.now = start
	return f
}

// restart replaces the budget of an instance by that of a new process.
func (f *fleetRun) restart(i int) { f.startProcess(i, false) }

// startProcess gives an instance the budget of a new process; first says that the fleet starts for the first time.
func (f *fleetRun) startProcess(i int, first bool) {
	f.budgets[i] = NewSharedBudget(SharedBudgetOptions{
		Ratio: fleetBudget.Ratio, Slack: fleetBudget.Slack, Window: fleetBudget.Window, Started: f.now, FirstStart: first,
		Instances: func() int { return f.known }, Log: slog.New(slog.DiscardHandler),
	})
}

// request sends a request to an instance and repeats it as often as wanted and allowed.
func (f *fleetRun) request(i, wanted int) {
	f.sent = append(f.sent, f.now)
	f.budgets[i].CountRequest("desk", f.now)
	f.repeat(i, wanted)
}

// repeat makes up to the wanted number of repeats at an instance, which arrive after up to maxDelay.
func (f *fleetRun) repeat(i, wanted int) {
	for range wanted {
		if !f.budgets[i].Spend("desk", 1, f.now) {
			return
		}
		at := f.now.Add(time.Duration(f.random.Int64N(int64(f.maxDelay) + 1)))
		f.repeats = append(f.repeats, at)
		f.underWay = append(f.underWay, repeatUnderWay{f.budgets[i], at})
	}
	f.arrive()
}

// arrive tells the budgets of the repeats that have arrived.
func (f *fleetRun) arrive() {
	f.underWay = slices.DeleteFunc(f.underWay, func(r repeatUnderWay) bool {
		if r.at.After(f.now) {
			return false
		}
		r.budget.Arrived("desk", false, f.now)
		return true
	})
}

// play runs the step at each tick for the duration.
func (f *fleetRun) play(duration time.Duration, step func(tick int)) {
	for tick := range int(duration / fleetTick) {
		f.arrive()
		step(tick)
		f.now = f.now.Add(fleetTick)
	}
}

// check fails the test if a window exceeds the budget. It returns the number of repeats.
func (f *fleetRun) check(t *testing.T) int {
	t.Helper()
	worst := fleetBudget.Worst(f.repeats, f.sent)
	t.Logf("%d requests, %d repeats; worst window: %s", len(f.sent), len(f.repeats), worst)
	if worst.Excess > 0 {
		t.Errorf("repeats exceed the retry budget: %s", worst)
	}
	return len(f.repeats)
}

// Guards against instances that forget what their earlier processes repeated: with each start a part of the slack is spent once more.
func TestSharedBudgetHoldsWhileInstancesRestart(t *testing.T) {
	for _, requestsPerTick := range []float64{0.1, 0.5, 7} {
		for _, restartTicks := range []int{4, 10, 100} {
			f := newFleetRun(1)
			f.play(40*time.Second, func(tick int) {
				if tick%restartTicks == 0 {
					f.restart(tick / restartTicks % fleetInstances)
				}
				for due := requestsPerTick; due > 0; due-- {
					if f.random.Float64() < due {
						f.request(f.random.IntN(fleetInstances), 3)
					}
				}
			})
			f.check(t)
		}
	}
}

// Guards against a window that is shorter than the users': of two bursts of failures at the two ends of a window, the second is repeated as if
// the first were over.
func TestSharedBudgetHoldsForBurstsAtBothEndsOfAWindow(t *testing.T) {
	for _, random := range []bool{false, true} {
		for offset := range 20 {
			for _, gap := range []time.Duration{9 * time.Second, 9550 * time.Millisecond, 9950 * time.Millisecond, 10 * time.Second} {
				f := newFleetRun(uint64(offset))
				first := time.Duration(20+offset)*fleetTick + 10*time.Second
				f.play(30*time.Second, func(tick int) {
					at := time.Duration(tick) * fleetTick
					if tick%4 == 0 {
						target := tick / 4 % fleetInstances
						if random {
							target = f.random.IntN(fleetInstances)
						}
						f.request(target, 0)
					}
					if at == first || at == first+gap {
						for i := range f.budgets {
							f.repeat(i, 100)
						}
					}
				})
				f.check(t)
			}
		}
	}
}

// Guards against repeats that are counted before they arrive: those that wait for a connection reach the servers together with later ones.
func TestSharedBudgetHoldsForRepeatsThatArriveLate(t *testing.T) {
	for _, requestsPerTick := range []int{1, 10} {
		f := newFleetRun(1)
		f.maxDelay = 1200 * time.Millisecond
		f.play(60*time.Second, func(tick int) {
			for range requestsPerTick {
				f.request(f.random.IntN(fleetInstances), 3)
			}
		})
		f.check(t)
	}
}

// Guards against instances whose windows allow more in sum than the users' window: callers that move from instances which have repeated what
// they may to others, or to new processes of the same ones, bring further repeats for the requests of the same time.
func TestSharedBudgetHoldsWhileCallersMove(t *testing.T) {
	for name, move := range map[string]func(f *fleetRun, tick int){
		"restart of all": func(f *fleetRun, tick int) {
			if tick == 0 {
				for i := range f.budgets {
					f.restart(i)
				}
			}
		},
		"restarts in series": func(f *fleetRun, tick int) {
			if tick%10 == 0 {
				f.restart(tick / 10 % fleetInstances)
			}
		},
		"to one instance after the other": func(*fleetRun, int) {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleetRun(1)
			target := func(tick int) int { return f.random.IntN(fleetInstances) }
			f.play(15*time.Second, func(tick int) {
				for range 5 {
					f.request(target(tick), 0)
				}
			})
			for i := range f.budgets {
				f.repeat(i, 1000)
			}
			if name == "to one instance after the other" {
				target = func(tick int) int { return tick / 40 % fleetInstances }
			}
			f.play(30*time.Second, func(tick int) {
				move(f, tick)
				for range 5 {
					f.request(target(tick), 3)
				}
			})
			f.check(t)
		})
	}
}

// Guards against a fleet that starts for the first time and exceeds the budget while its instances do not know each other, or that repeats nothing
// beyond the ratio for as long as restarted instances, which must allow for what their earlier processes repeated.
func TestSharedBudgetAtTheFirstStart(t *testing.T) {
	f := newFleetRun(1)
	for i := range f.budgets {
		f.startProcess(i, true)
	}
	f.known = 1
	repeats := 0
	f.play(40*time.Second, func(tick int) {
		if f.now.Sub(f.start) > fleetBudget.Window/2 {
			f.known = fleetInstances
		}
		if f.now.Sub(f.start) == fleetBudget.Window {
			repeats = len(f.repeats)
		}
		if tick%100 == 0 {
			f.request(tick/100%fleetInstances, 3)
		}
		if tick == 300 {
			// One instance dies and starts again, when its part of the slack has just been spent.
			f.restart(0)
		}
		f.request(tick%fleetInstances, 3)
	})
	f.check(t)
	if after := len(f.repeats) - repeats; repeats == 0 || after == 0 {
		t.Errorf("%d repeats in the first window, %d after it", repeats, after)
	}
	alone := newFleetRun(1)
	for first, want := range map[bool]bool{true: true, false: false} {
		alone.now = alone.start
		alone.startProcess(0, first)
		alone.now = alone.now.Add(fleetBudget.Window)
		if got := alone.budgets[0].Spend("desk", 1, alone.now); got != want {
			t.Errorf("first start %t: a repeat by the slack is granted a window after the start: %t", first, got)
		}
	}
}
