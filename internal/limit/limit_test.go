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

func fixedLimits(l Limits) LimitsOf { return func(string) Limits { return l } }

// countAdmitted returns how many of n requests are admitted at once.
func countAdmitted(l *LocalLimits, limits Limits, estimate Usage, n int, now time.Time) int {
	count := 0
	for range n {
		if l.Admit("o", limits, estimate, now) == nil {
			count++
		}
	}
	return count
}

// Guards against an instance that uses part of a limit before the other instances can know of it, and against one that
// admits nothing when it gets no grant for long.
func TestAdmissionWithoutGrant(t *testing.T) {
	limits := Limits{Rates: Rates{Requests: 60}}
	l := NewLocalLimits("a", start)
	l.SetInstances(6)
	countAdmitted(l, limits, Usage{}, 1, start)
	if n := countAdmitted(l, limits, Usage{}, 10, start.Add(ShareValidity/2)); n != 0 {
		t.Errorf("%d requests admitted before the first grant", n)
	}
	later := start.Add(ShareValidity)
	countAdmitted(l, limits, Usage{}, 1, later)
	if n := countAdmitted(l, limits, Usage{}, 100, later.Add(10*time.Second)); n != 10 {
		t.Errorf("%d requests admitted without a grant, want 10: one second at a sixth of the limit", n)
	}
	refused := l.Admit("o", limits, Usage{}, later.Add(10*time.Second))
	if refused == nil || refused.Code != fault.CodeLimitExceeded || refused.Outcome != api.OutcomeNotRun || refused.RetryAfter <= 0 {
		t.Errorf("got %v, want limit_exceeded with RetryAfter set", refused)
	}
}

// Guards against a grant that is used after it expires, or that is applied although its reply arrived too late.
func TestGrantExpires(t *testing.T) {
	limits := Limits{Rates: Rates{Requests: 60}}
	l := NewLocalLimits("a", start)
	l.SetInstances(6)
	l.BuildReport([]string{"o"}, fixedLimits(limits), start)
	grants := api.LimitGrants{Grants: []api.LimitGrant{{Organisation: "o", RequestsPerSecond: 50, ValidMillis: 60_000}}}
	held := func(now time.Time) float64 {
		return l.BuildReport([]string{"o"}, fixedLimits(limits), now).Demands[0].HeldRequestsPerSecond
	}
	l.ApplyGrants(grants, start, start.Add(time.Second))
	if got := held(start.Add(3*time.Second - 1)); got != 50 {
		t.Errorf("%g requests/s under the grant, want 50", got)
	}
	if got := held(start.Add(3 * time.Second)); got != 10 {
		t.Errorf("%g requests/s after the grant, want 10", got)
	}
	l.ApplyGrants(grants, start, start.Add(ShareValidity))
	if got := held(start.Add(ShareValidity)); got != 10 {
		t.Errorf("%g requests/s after a late reply, want 10", got)
	}
}

// Guards against a running instance that refuses the first request after a configuration change, and against a new instance
// that admits requests while the others may use the whole limit.
func TestNewLimitStartsWithFullBurst(t *testing.T) {
	limits := Limits{Rates: Rates{Requests: 10}}
	l := NewLocalLimits("a", start)
	if n := countAdmitted(l, limits, Usage{}, 1, start.Add(ShareValidity/2)); n != 0 {
		t.Error("a new instance admitted without a grant")
	}
	l = NewLocalLimits("a", start)
	if n := countAdmitted(l, limits, Usage{}, 100, start.Add(2*ShareValidity)); n != 10 {
		t.Errorf("%d requests admitted at once, want 10: one second at the limit", n)
	}
}

// Guards against actual use that is not charged when it differs from the estimate.
func TestReconcile(t *testing.T) {
	limits := Limits{Rates: Rates{Tokens: 1000}, CostPerDay: 100}
	l := NewLocalLimits("a", start)
	now := start.Add(ShareValidity)
	l.Admit("o", limits, Usage{}, now)
	now = now.Add(10 * time.Second)
	if n := countAdmitted(l, limits, Usage{Tokens: 100, Cost: 1}, 1, now); n != 1 {
		t.Fatal("first request refused")
	}
	l.Reconcile("o", Usage{Tokens: 1900, Cost: 20}, now)
	if n := countAdmitted(l, limits, Usage{Tokens: 100}, 1, now.Add(time.Second)); n != 0 {
		t.Error("request admitted while the level of the bucket is negative")
	}
	if n := countAdmitted(l, limits, Usage{Tokens: 100}, 1, now.Add(1200*time.Millisecond)); n != 1 {
		t.Error("request refused after the bucket was refilled")
	}
	if got := l.BuildReport([]string{"o"}, fixedLimits(limits), now).Demands[0].Spent; got != 21 {
		t.Errorf("spent %g, want 21", got)
	}
}

// Guards against an allocator and an isolated instance that disagree on what the instance still uses. The instance's rates
// may decay only while no allocator to which at least half of the instances report answers it, and an allocator may grant
// the difference to others only while more than half report to it.
func TestFallbackShareOfIsolatedInstanceDecays(t *testing.T) {
	limits := Limits{Rates: Rates{Requests: 300}}
	for _, c := range []struct {
		name        string
		reporting   []string
		minority    bool
		wantGranted float64 // to all reporting instances together, after 60 s
	}{
		{"majority", []string{"a", "b"}, false, 250},
		{"minority", []string{"a"}, true, 100},
	} {
		a, now := NewAllocator(), start
		var sum float64
		var last api.LimitGrant
		for now.Before(start.Add(time.Minute)) {
			sum = 0
			for _, id := range c.reporting {
				demand := api.Demand{Organisation: "o", RequestsPerSecond: 300, Day: dayNumber(now)}
				report := api.DemandReport{Incarnation: id, Demands: []api.Demand{demand}}
				last = a.HandleReport(report, []string{"a", "b", "c"}, fixedLimits(limits), now).Grants[0]
				sum += last.RequestsPerSecond
			}
			now = now.Add(time.Second)
		}
		if math.Abs(sum-c.wantGranted) > 0.1 || last.Minority != c.minority {
			t.Errorf("%s: %.1f requests/s granted, minority %t; want %.1f, minority %t", c.name, sum, last.Minority, c.wantGranted, c.minority)
		}
	}

	l := NewLocalLimits("c", start)
	l.SetInstances(3)
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{ShareValidity, 100}, {isolationGracePeriod, 100}, {isolationGracePeriod + isolationDecayPeriod/2, 75}, {isolationGracePeriod + isolationDecayPeriod, 50}, {time.Hour, 50}} {
		now := start.Add(c.after)
		l.BuildReport([]string{"o"}, fixedLimits(limits), now)
		if got := l.rows["o"].requestBucket.rate; got != c.want {
			t.Errorf("%g requests/s after %s of isolation, want %g", got, c.after, c.want)
		}
		l.rows["o"].lastConnected = start
	}
}

type fakeTransport struct {
	unreachable string
	reportedTo  []string
}

func (t *fakeTransport) ReportDemand(_ context.Context, to string, report api.DemandReport) (api.LimitGrants, error) {
	t.reportedTo = append(t.reportedTo, to)
	if to == t.unreachable {
		return api.LimitGrants{}, errors.New("connection refused")
	}
	grant := api.LimitGrant{Organisation: report.Demands[0].Organisation, RequestsPerSecond: 7, ValidMillis: 3000}
	return api.LimitGrants{Grants: []api.LimitGrant{grant}}, nil
}

// Guards against instances that stay at limit/n while the allocator of an organisation is down.
func TestReporterTriesNextAllocator(t *testing.T) {
	members := []string{"a", "b", "c"}
	organisation := ""
	for i := 0; organisation == ""; i++ {
		name := fmt.Sprint("o", i)
		first := AllocatorFor(name, members, func(string) bool { return false })
		second := AllocatorFor(name, members, func(m string) bool { return m == first })
		if first == "b" && second == "c" {
			organisation = name
		}
	}
	limits := fixedLimits(Limits{Rates: Rates{Requests: 60}})
	net := &fakeTransport{unreachable: "b"}
	local := NewLocalLimits("a", time.Now())
	view := func() FleetView {
		return FleetView{Members: members, LimitedOrganisations: []string{organisation}, LimitsOf: limits}
	}
	r := NewReporter("a", local, NewAllocator(), net, view)
	for range 2 {
		if err := r.Run(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if got := fmt.Sprint(net.reportedTo); got != "[b c c]" {
		t.Errorf("reported to %s, want [b c c]", got)
	}
	if got := local.BuildReport([]string{organisation}, limits, time.Now()).Demands[0].HeldRequestsPerSecond; got != 7 {
		t.Errorf("holds %g requests/s, want the grant of 7", got)
	}
}

// Guards against shares that add up to more than the limit while an instance still uses an earlier, larger share, and
// against nothing being reserved for an instance that does not report.
func TestGrantsRespectHeldShares(t *testing.T) {
	a := NewAllocator()
	limits := fixedLimits(Limits{Rates: Rates{Requests: 60}})
	reportDemand := func(id string, demand, held float64, now time.Time) float64 {
		d := api.Demand{Organisation: "o", RequestsPerSecond: demand, HasGrant: true, HeldRequestsPerSecond: held, Day: dayNumber(now)}
		report := api.DemandReport{Incarnation: id, Demands: []api.Demand{d}}
		return a.HandleReport(report, []string{"a", "b", "c"}, limits, now).Grants[0].RequestsPerSecond
	}
	now := start
	for range 4 {
		reportDemand("a", 100, 40, now)
		reportDemand("b", 0, 0, now)
		now = now.Add(time.Second)
	}
	reportDemand("a", 100, 40, now)
	if got, maxGrant := reportDemand("b", 100, 0, now), 60*overlapFactor-40-20; got > maxGrant+1e-9 {
		t.Errorf("granted %g in addition to a held share of 40 and a silent instance, want at most %g", got, maxGrant)
	}
}
