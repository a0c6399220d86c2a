package limit

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func fixed(l Limits) LimitsOf { return func(string) Limits { return l } }

// admitted returns how many of n requests are admitted at once.
func admitted(l *Local, limits Limits, need Need, n int, now time.Time) int {
	count := 0
	for range n {
		if l.Admit("o", limits, need, now) == nil {
			count++
		}
	}
	return count
}

// Guards against an instance that uses part of a limit before the others can know of it, or none after a silence.
func TestWithoutGrant(t *testing.T) {
	limits := Limits{Rates: Rates{Requests: 60}}
	l := NewLocal("a", start)
	l.SetInstances(6)
	admitted(l, limits, Need{}, 1, start)
	if n := admitted(l, limits, Need{}, 10, start.Add(Validity/2)); n != 0 {
		t.Errorf("%d requests admitted before the first grant", n)
	}
	later := start.Add(Validity)
	admitted(l, limits, Need{}, 1, later)
	if n := admitted(l, limits, Need{}, 100, later.Add(10*time.Second)); n != 10 {
		t.Errorf("%d requests admitted without a grant, want one second of a sixth of the limit", n)
	}
	refused := l.Admit("o", limits, Need{}, later.Add(10*time.Second))
	if refused == nil || refused.Code != fault.CodeLimitExceeded || refused.Outcome != api.OutcomeNotRun || refused.RetryAfter <= 0 {
		t.Errorf("%v, want limit_exceeded with a wait", refused)
	}
}

// Guards against a grant that is used after its end, or one that a late reply puts in force.
func TestGrantEnds(t *testing.T) {
	limits := Limits{Rates: Rates{Requests: 60}}
	l := NewLocal("a", start)
	l.SetInstances(6)
	l.Report([]string{"o"}, fixed(limits), start)
	grants := api.LimitGrants{Grants: []api.LimitGrant{{Organisation: "o", RequestsPerSecond: 50, ValidMillis: 60_000}}}
	held := func(now time.Time) float64 {
		return l.Report([]string{"o"}, fixed(limits), now).Demands[0].HeldRequestsPerSecond
	}
	l.Apply(grants, start, start.Add(time.Second))
	if got := held(start.Add(3*time.Second - 1)); got != 50 {
		t.Errorf("%g requests/s under the grant, want 50", got)
	}
	if got := held(start.Add(3 * time.Second)); got != 10 {
		t.Errorf("%g requests/s after the grant, want 10", got)
	}
	l.Apply(grants, start, start.Add(Validity))
	if got := held(start.Add(Validity)); got != 10 {
		t.Errorf("%g requests/s after a late reply, want 10", got)
	}
}

// Guards against the first request after a change of configuration being refused by an instance that is not new, and against
// a new instance that admits while others may use the whole limit.
func TestNewLimitStartsWithItsBurst(t *testing.T) {
	limits := Limits{Rates: Rates{Requests: 10}}
	l := NewLocal("a", start)
	if n := admitted(l, limits, Need{}, 1, start.Add(Validity/2)); n != 0 {
		t.Error("a new instance admitted without a grant")
	}
	l = NewLocal("a", start)
	if n := admitted(l, limits, Need{}, 100, start.Add(2*Validity)); n != 10 {
		t.Errorf("%d admitted at once, want one second's worth", n)
	}
}

// Guards against real use that is not charged when it differs from the estimate.
func TestSettle(t *testing.T) {
	limits := Limits{Rates: Rates{Tokens: 1000}, CostPerDay: 100}
	l := NewLocal("a", start)
	now := start.Add(Validity)
	l.Admit("o", limits, Need{}, now)
	now = now.Add(10 * time.Second)
	if n := admitted(l, limits, Need{Tokens: 100, Cost: 1}, 1, now); n != 1 {
		t.Fatal("first request refused")
	}
	l.Settle("o", Need{Tokens: 1900, Cost: 20}, now)
	if n := admitted(l, limits, Need{Tokens: 100}, 1, now.Add(time.Second)); n != 0 {
		t.Error("admitted while the bucket is in debt")
	}
	if n := admitted(l, limits, Need{Tokens: 100}, 1, now.Add(1200*time.Millisecond)); n != 1 {
		t.Error("refused after the debt was paid")
	}
	if got := l.Report([]string{"o"}, fixed(limits), now).Demands[0].Spent; got != 21 {
		t.Errorf("spent %g, want 21", got)
	}
}

// Guards against an allocator and a cut-off instance that disagree on what the instance still uses: the instance's part may fall
// only while no allocator of half the fleet answers, and the allocator may give the difference away only while it hears more
// than half.
func TestPartOfSilentInstanceFalls(t *testing.T) {
	limits := Limits{Rates: Rates{Requests: 300}}
	for _, c := range []struct {
		name     string
		heard    []string
		minority bool
		granted  float64 // to all heard instances together, 60 s later
	}{
		{"majority", []string{"a", "b"}, false, 250},
		{"minority", []string{"a"}, true, 100},
	} {
		a, now := NewAllocator(), start
		var sum float64
		var last api.LimitGrant
		for now.Before(start.Add(time.Minute)) {
			sum = 0
			for _, id := range c.heard {
				demand := api.Demand{Organisation: "o", RequestsPerSecond: 300, Day: dayOf(now)}
				report := api.DemandReport{Incarnation: id, Demands: []api.Demand{demand}}
				last = a.Report(report, []string{"a", "b", "c"}, fixed(limits), now).Grants[0]
				sum += last.RequestsPerSecond
			}
			now = now.Add(time.Second)
		}
		if math.Abs(sum-c.granted) > 0.1 || last.Minority != c.minority {
			t.Errorf("%s: %.1f requests/s granted, minority %t; want %.1f, %t", c.name, sum, last.Minority, c.granted, c.minority)
		}
	}

	l := NewLocal("c", start)
	l.SetInstances(3)
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{Validity, 100}, {aloneFull, 100}, {aloneFull + aloneFall/2, 75}, {aloneFull + aloneFall, 50}, {time.Hour, 50}} {
		now := start.Add(c.after)
		l.Report([]string{"o"}, fixed(limits), now)
		if got := l.rows["o"].requests.rate; got != c.want {
			t.Errorf("%g requests/s after %s, want %g", got, c.after, c.want)
		}
		l.rows["o"].reached = start
	}
}

type transport struct {
	dead  string
	asked []string
}

func (t *transport) ReportDemand(_ context.Context, to string, report api.DemandReport) (api.LimitGrants, error) {
	t.asked = append(t.asked, to)
	if to == t.dead {
		return api.LimitGrants{}, errors.New("connection refused")
	}
	grant := api.LimitGrant{Organisation: report.Demands[0].Organisation, RequestsPerSecond: 7, ValidMillis: 3000}
	return api.LimitGrants{Grants: []api.LimitGrant{grant}}, nil
}

// Guards against limits that stay at limit/n while the allocator of an organisation is dead.
func TestReporterTriesNext(t *testing.T) {
	members := []string{"a", "b", "c"}
	organisation := ""
	for i := 0; organisation == ""; i++ {
		name := fmt.Sprint("o", i)
		first := Owner(name, members, func(string) bool { return false })
		second := Owner(name, members, func(m string) bool { return m == first })
		if first == "b" && second == "c" {
			organisation = name
		}
	}
	limits := fixed(Limits{Rates: Rates{Requests: 60}})
	net := &transport{dead: "b"}
	local := NewLocal("a", time.Now())
	view := func() View { return View{Members: members, Limited: []string{organisation}, Limits: limits} }
	r := NewReporter("a", local, NewAllocator(), net, view)
	for range 2 {
		if err := r.Run(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if got := fmt.Sprint(net.asked); got != "[b c c]" {
		t.Errorf("asked %s, want [b c c]", got)
	}
	if got := local.Report([]string{organisation}, limits, time.Now()).Demands[0].HeldRequestsPerSecond; got != 7 {
		t.Errorf("holds %g requests/s, want the grant of 7", got)
	}
}

// Guards against shares that add up to more than the limit while an instance still uses an earlier, larger share, and
// against nothing kept back for an instance that is not heard.
func TestRoomBesideHeldShares(t *testing.T) {
	a := NewAllocator()
	limits := fixed(Limits{Rates: Rates{Requests: 60}})
	ask := func(id string, demand, held float64, now time.Time) float64 {
		d := api.Demand{Organisation: "o", RequestsPerSecond: demand, Holds: true, HeldRequestsPerSecond: held, Day: dayOf(now)}
		report := api.DemandReport{Incarnation: id, Demands: []api.Demand{d}}
		return a.Report(report, []string{"a", "b", "c"}, limits, now).Grants[0].RequestsPerSecond
	}
	now := start
	for range 4 {
		ask("a", 100, 40, now)
		ask("b", 0, 0, now)
		now = now.Add(time.Second)
	}
	ask("a", 100, 40, now)
	if got, most := ask("b", 100, 0, now), 60*overlap-40-20; got > most+1e-9 {
		t.Errorf("granted %g beside a share of 40 and an unheard instance, want at most %g", got, most)
	}
}
