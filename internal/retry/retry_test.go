package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against an outcome that claims more than is certain, and against repeating work that may have run.
func TestOutcomeAndRetry(t *testing.T) {
	cases := []struct {
		name       string
		attempt    Attempt
		want       api.Outcome
		once, many bool // retried when not repeatable, when repeatable
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
			want := c.once
			if repeatable {
				want = c.many
			}
			s := Situation{Attempt: c.attempt, Number: 1, Repeatable: repeatable}
			if got := Decide(s, start, seeded()); got.Retry != want {
				t.Errorf("%s: repeatable %t: %+v, want retry %t", c.name, repeatable, got, want)
			}
		}
	}
}

// Guards against retries after part of an answer, beyond the number of attempts or beyond the deadline.
func TestRetryEnds(t *testing.T) {
	base := Situation{Attempt: Attempt{Sent: true}, Number: 1, Repeatable: true}
	relayed, last, late := base, base, base
	relayed.Relayed = true
	last.Number = maxAttempts
	late.Deadline = start.Add(60 * time.Millisecond)
	for want, s := range map[Reason]Situation{ReasonRelayed: relayed, ReasonAttempts: last, ReasonDeadline: late} {
		if got := Decide(s, start, seeded()); got.Retry || got.Reason != want {
			t.Errorf("%+v, want no retry because of %s", got, want)
		}
	}
}

// Guards against a budget above 10% over the window or in one burst, and one that leaves a quiet class without retries.
func TestBudget(t *testing.T) {
	b := NewBudgets()
	first, second := b.Spend("quiet", start), b.Spend("quiet", start)
	if !first || second {
		t.Error("a class without requests must have exactly one extra attempt per window")
	}
	now := start
	for range 1000 {
		b.Request("busy", now)
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
		b.Request("slow", at)
		for b.Spend("slow", at) {
			slow++
		}
	}
	if slow > 5 {
		t.Errorf("%d extra attempts for 40 requests in 20 s, want at most 5", slow)
	}
	total := 0
	for range 1000 {
		b.Request("busy", now)
		for b.Spend("busy", now) {
			total++
		}
		now = now.Add(10 * time.Millisecond)
	}
	if total < 80 || total > 100 {
		t.Errorf("%d extra attempts for 1000 requests, want at most 100 and nearly as many", total)
	}
}

// Guards against hedges before the 95th percentile, without evidence, after the first token or for work to run once.
func TestHedge(t *testing.T) {
	b := NewBudgets()
	for range 30 {
		b.Request("c", start)
	}
	in := HedgeInput{Elapsed: 98 * time.Millisecond, Repeatable: true}
	for i := range 100 {
		if i < hedgeEvidence && b.Hedge("c", in, start) {
			t.Fatal("hedged without evidence")
		}
		b.ObserveFirstToken("c", time.Duration(i+1)*time.Millisecond, start)
	}
	if p95, ok := b.P95("c"); !ok || p95 < 80*time.Millisecond || p95 > 97*time.Millisecond {
		t.Fatalf("95th percentile %s", p95)
	}
	for _, change := range []func(*HedgeInput){
		func(in *HedgeInput) { in.Elapsed = 50 * time.Millisecond },
		func(in *HedgeInput) { in.Repeatable = false },
		func(in *HedgeInput) { in.FirstByte = true },
		func(in *HedgeInput) { in.Hedged = true },
		func(in *HedgeInput) { in.Deadline = start.Add(50 * time.Millisecond) },
	} {
		changed := in
		change(&changed)
		if b.Hedge("c", changed, start) {
			t.Errorf("hedged: %+v", changed)
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

// Guards against ejecting more than half of a pool, more than one probe at a time, and servers that stay out.
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
			e.End(id, true, now, random)
		}
	}
	fail("a", failuresToEject-1)
	if count(UseNormal) != 5 {
		t.Error("ejected too early")
	}
	for _, id := range ids[:4] {
		fail(id, failuresToEject)
	}
	if count(UseNone) != 2 {
		t.Errorf("%d of 5 ejected, want 2", count(UseNone))
	}
	e.End("b", false, now, random)
	e.End("c", false, now, random)
	e.End("d", false, now, random)
	now = now.Add(ejectBase)
	if got := e.Uses(ids, now)[0]; got != UseProbe {
		t.Fatalf("use after the ejection %d, want a probe", got)
	}
	probe, another := e.Begin("a", UseProbe, now), e.Begin("a", UseProbe, now)
	if !probe || another {
		t.Error("exactly one probe may be in flight")
	}
	fail("a", 1)
	now = now.Add(ejectBase)
	if got := e.Uses(ids, now)[0]; got != UseNone {
		t.Errorf("use after a failed probe %d, want a longer ejection", got)
	}
	now = now.Add(ejectBase)
	if !e.Begin("a", UseProbe, now) {
		t.Fatal("no second probe")
	}
	e.End("a", false, now, random)
	if count(UseNormal) != 5 {
		t.Error("a successful probe does not end the ejection")
	}
}
