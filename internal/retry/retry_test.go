package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against an outcome that states more than is certain, and against a retry of non-repeatable work that may have run.
func TestOutcomeAndRetry(t *testing.T) {
	cases := []struct {
		name                                        string
		attempt                                     Attempt
		want                                        api.Outcome
		retriedIfNotRepeatable, retriedIfRepeatable bool // want a retry
	}{
		{"nothing sent", Attempt{}, api.OutcomeNotRun, true, true},
		{"sent, no response", Attempt{Sent: true}, api.OutcomeUnknown, false, true},
		{"header only", Attempt{Sent: true, Responded: true, Status: 200}, api.OutcomeUnknown, false, true},
		{"whole answer", Attempt{Sent: true, Responded: true, Complete: true, Status: 200}, api.OutcomeAnswered, false, false},
		{"faulty request", Attempt{Sent: true, Responded: true, Complete: true, Status: 422}, api.OutcomeAnswered, false, false},
		{"server error", Attempt{Sent: true, Responded: true, Complete: true, Status: 500}, api.OutcomeUnknown, false, true},
		{"503 without statement", Attempt{Sent: true, Responded: true, Complete: true, Status: 503}, api.OutcomeUnknown, false, true},
		{"stated refusal", Attempt{Sent: true, Responded: true, Complete: true, Status: 503, Refused: true}, api.OutcomeNotRun, true, true},
		{"cut refusal", Attempt{Sent: true, Responded: true, Status: 503, Refused: true}, api.OutcomeUnknown, false, true},
		{"request timeout", Attempt{Sent: true, Responded: true, Complete: true, Status: 408}, api.OutcomeUnknown, false, true},
		{"too many requests", Attempt{Sent: true, Responded: true, Complete: true, Status: 429}, api.OutcomeAnswered, false, true},
	}
	for _, c := range cases {
		if got := Outcome(c.attempt); got != c.want {
			t.Errorf("%s: outcome %s, want %s", c.name, got, c.want)
		}
		for _, repeatable := range []bool{false, true} {
			want := c.retriedIfNotRepeatable
			if repeatable {
				want = c.retriedIfRepeatable
			}
			s := RequestState{Attempt: c.attempt, AttemptsMade: 1, Repeatable: repeatable}
			if got := Decide(s, start, seeded()); got.Retry != want {
				t.Errorf("%s: repeatable %t: %+v, want retry %t", c.name, repeatable, got, want)
			}
		}
	}
}

// Guards against retries after part of an answer was relayed, after the last attempt or beyond the deadline.
func TestRetryLimits(t *testing.T) {
	base := RequestState{Attempt: Attempt{Sent: true}, AttemptsMade: 1, Repeatable: true}
	relayed, last, late := base, base, base
	relayed.Relayed = true
	last.AttemptsMade = maxAttempts
	late.Deadline = start.Add(60 * time.Millisecond)
	for want, s := range map[Reason]RequestState{ReasonRelayed: relayed, ReasonAttempts: last, ReasonDeadline: late} {
		if got := Decide(s, start, seeded()); got.Retry || got.Reason != want {
			t.Errorf("%+v, want no retry because of %s", got, want)
		}
	}
}

// Guards against extra attempts above 10% of the requests, over the window or in one burst, and against a class with few
// requests that gets no retry.
func TestBudget(t *testing.T) {
	b := NewBudgets()
	first, second := b.Spend("quiet", start), b.Spend("quiet", start)
	if !first || second {
		t.Error("a class without requests must have exactly one extra attempt per window")
	}
	now := start
	for range 1000 {
		b.CountRequest("busy", now)
		now = now.Add(10 * time.Millisecond)
	}
	burst := 0
	for b.Spend("busy", now) {
		burst++
	}
	if burst < 8 || burst > 10 {
		t.Errorf("%d extra attempts at once at 100 requests/s, want about 10", burst)
	}
	slow := 0
	for i := range 40 {
		at := start.Add(time.Duration(i) * 500 * time.Millisecond)
		b.CountRequest("slow", at)
		for b.Spend("slow", at) {
			slow++
		}
	}
	if slow > 5 {
		t.Errorf("%d extra attempts for 40 requests in 20 s, want at most 5", slow)
	}
	total := 0
	for range 1000 {
		b.CountRequest("busy", now)
		for b.Spend("busy", now) {
			total++
		}
		now = now.Add(10 * time.Millisecond)
	}
	if total < 80 || total > 100 {
		t.Errorf("%d extra attempts for 1000 requests, want 80 to 100", total)
	}
}

// Guards against hedging before the 95th percentile of the time to first token, without enough samples, after the first
// token, twice, too close to the deadline or for non-repeatable work.
func TestHedge(t *testing.T) {
	b := NewBudgets()
	for range 30 {
		b.CountRequest("c", start)
	}
	in := HedgeInput{Elapsed: 98 * time.Millisecond, Repeatable: true}
	for i := range 100 {
		if i < minHedgeSamples && b.Hedge("c", in, start) {
			t.Fatal("hedged without enough samples")
		}
		b.ObserveFirstToken("c", time.Duration(i+1)*time.Millisecond, start)
	}
	if p95, ok := b.FirstTokenP95("c"); !ok || p95 < 80*time.Millisecond || p95 > 97*time.Millisecond {
		t.Fatalf("95th percentile is %s, want 80 ms to 97 ms", p95)
	}
	for _, change := range []func(*HedgeInput){
		func(in *HedgeInput) { in.Elapsed = 50 * time.Millisecond },
		func(in *HedgeInput) { in.Repeatable = false },
		func(in *HedgeInput) { in.FirstTokenArrived = true },
		func(in *HedgeInput) { in.Hedged = true },
		func(in *HedgeInput) { in.Deadline = start.Add(50 * time.Millisecond) },
	} {
		changed := in
		change(&changed)
		if b.Hedge("c", changed, start) {
			t.Errorf("hedged, want no hedge: %+v", changed)
		}
	}
	hedges := 0
	for b.Hedge("c", in, start) {
		hedges++
	}
	if hedges != 2 {
		t.Errorf("%d hedges for 30 requests, want 2", hedges)
	}
}

// Guards against the ejection of more than half of a pool, more than one probe at a time, and backend servers that stay
// ejected after a successful probe.
func TestEjection(t *testing.T) {
	e, random, now := NewEjections(), seeded(), start
	ids := []string{"a", "b", "c", "d", "e"}
	count := func(use Use) int {
		n := 0
		for _, u := range e.Uses(ids, now) {
			if u == use {
				n++
			}
		}
		return n
	}
	fail := func(id string, times int) {
		for range times {
			e.EndAttempt(id, true, now, random)
		}
	}
	fail("a", failuresToEject-1)
	if count(UseNormal) != 5 {
		t.Error("ejected before failuresToEject consecutive failures")
	}
	for _, id := range ids[:4] {
		fail(id, failuresToEject)
	}
	if count(UseNone) != 2 {
		t.Errorf("%d of 5 ejected, want 2", count(UseNone))
	}
	e.EndAttempt("b", false, now, random)
	e.EndAttempt("c", false, now, random)
	e.EndAttempt("d", false, now, random)
	now = now.Add(ejectBase)
	if got := e.Uses(ids, now)[0]; got != UseProbe {
		t.Fatalf("use after the ejection %d, want a probe", got)
	}
	probe, another := e.BeginAttempt("a", UseProbe, now), e.BeginAttempt("a", UseProbe, now)
	if !probe || another {
		t.Error("exactly one probe may be in flight")
	}
	fail("a", 1)
	now = now.Add(ejectBase)
	if got := e.Uses(ids, now)[0]; got != UseNone {
		t.Errorf("use after a failed probe %d, want a longer ejection", got)
	}
	now = now.Add(ejectBase)
	if !e.BeginAttempt("a", UseProbe, now) {
		t.Fatal("no probe after the longer ejection")
	}
	e.EndAttempt("a", false, now, random)
	if count(UseNormal) != 5 {
		t.Error("a successful probe does not end the ejection")
	}
}

// Guards against a window that forgets extra attempts up to a second too early: those of two bursts of failures at its two ends are both made
// for the requests of the second burst.
func TestBudgetCountsExtraAttemptsForAWholeWindow(t *testing.T) {
	const requests = 200
	window := budgetSlotCount * budgetSlotLength
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	budgets := NewBudgets()
	spendAll := func(now time.Time) (spent int) {
		for budgets.Spend("a", now) {
			spent++
		}
		return spent
	}
	burst := func(now time.Time) {
		for range requests {
			budgets.CountRequest("a", now)
		}
	}
	burst(start)
	// The window of the two spends begins after the first burst of requests.
	first := spendAll(start.Add(budgetSlotLength * 9 / 10))
	burst(start.Add(window - budgetSlotLength/10))
	second := spendAll(start.Add(window + budgetSlotLength/10))
	if first == 0 || float64(first+second) > budgetRatio*requests {
		t.Errorf("%d and %d extra attempts in a window with %d requests", first, second, requests)
	}
}
