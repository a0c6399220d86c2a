package serverload

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Guards against reports that are lost or count twice on their way over relays, and against a view that contains the own part.
func TestSumsAreExact(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {1, 2}, {1, 9}, {2, 1}, {3, 8}} {
		inFleet(t, size[0], size[1], func(f *fleet) {
			for _, n := range f.nodes {
				n.own["server-new"] = Usage{Running: 1}
				delete(n.own, "server-2")
			}
			f.run(4*Interval, func() {})
			f.checkExact(everything)
			if age := f.nodes[0].table.View(time.Now()).Age(time.Now()); age > 3*Interval {
				f.t.Errorf("the view is %s old", age)
			}
		})
	}
}

// Guards against views that expire, and loads that stay, when a relay dies or a part of a zone is added, also at the same time.
func TestFleetChanges(t *testing.T) {
	inFleet(t, 3, 8, func(f *fleet) {
		f.nodes[len(f.nodes)-1].dead, f.deathsUnnoticed = true, true
		f.run(3*time.Second, f.checkViews)
		f.checkExact(everything)
		f.deathsUnnoticed = false
		f.run(3*time.Second, f.checkViews)
		f.checkExact(everything)
		f.add(24)
		f.run(3*Interval, func() {})
		f.run(relayRetryDelay+4*Interval, f.checkViews)
		f.checkExact(everything)
	})
}

// Guards against an instance that counts twice after it moved to the other relay: for a few rounds, or until its report expires if the
// former relay does not learn of the move.
func TestMovedInstanceCountsOnce(t *testing.T) {
	for _, withdrawalsLost := range []bool{false, true} {
		inFleet(t, 2, 5, func(f *fleet) {
			f.withdrawalsLost = withdrawalsLost
			for _, n := range f.nodes {
				n.swapped = n.address != "peer-1"
			}
			duration := 4 * Interval
			if withdrawalsLost {
				duration = reportExpiry + 2*Interval
			}
			f.run(duration, f.checkViews)
			f.checkExact(everything)
		})
	}
}

// Guards against loads of a zone that cannot be reached which count for ever, and against a zone without a view.
func TestCutZone(t *testing.T) {
	inFleet(t, 3, 4, func(f *fleet) {
		f.cut = "zone-1"
		f.run(2*time.Second, f.checkViews)
		f.checkExact(func(zone, other string) bool { return (zone == f.cut) == (other == f.cut) })
		f.cut = ""
		f.run(4*Interval, f.checkViews)
		f.checkExact(everything)
	})
}

// Guards against choices by a view that is too old, also after the machine was suspended, against sums of relays that were suspended or
// refuse, and against messages while loads are not shared.
func TestViewExpires(t *testing.T) {
	inFleet(t, 1, 3, func(f *fleet) {
		table := f.nodes[0].table
		table.Suspended = func() time.Duration { return viewExpiry }
		if table.View(time.Now()) != nil {
			t.Error("a view from before a suspension is used")
		}
		f.run(Interval, f.checkViews)
		<-time.After(viewExpiry - 4*Interval)
		f.checkViews()
		<-time.After(4 * Interval)
		if table.View(time.Now()) != nil {
			t.Error("an old view is used")
		}
		f.run(4*Interval, func() {})
		f.nodes[2].table.Suspended = func() time.Duration { return relayExpiry }
		if _, err := f.nodes[2].table.Answer(api.GatewayLoadsQuery{Sums: true}); !errors.Is(err, ErrNotRelay) {
			t.Errorf("a relay that was suspended answers: %v", err)
		}
		f.nodes[2].table.Enabled = func() bool { return false }
		f.run(Interval, func() {})
		if view := f.nodes[1].table.View(time.Now()); len(view.Servers) > 0 {
			t.Errorf("the sums of a relay that refuses count: %v", view.Servers)
		}
		for _, n := range f.nodes {
			n.table.Enabled, n.table.Transport = func() bool { return false }, nil
		}
		f.run(Interval, func() {})
		if _, err := f.nodes[2].table.Answer(api.GatewayLoadsQuery{Sums: true}); !errors.Is(err, ErrNotRelay) {
			t.Errorf("a relay answers while loads are not shared: %v", err)
		}
	})
}

// slowPeer answers each message after 100 ms with loads that are 500 ms old.
type slowPeer struct{}

func (slowPeer) Loads(context.Context, string, api.GatewayLoadsQuery) (api.GatewayLoads, error) {
	<-time.After(100 * time.Millisecond)
	return api.GatewayLoads{Incarnation: "slow", AgeMillis: 500, Usage: encodeReport([]item{{id: "s", load: load{running: 1}}})}, nil
}

// Guards against views that seem younger than their parts, and against views of a relay that does not know the reports yet.
func TestAges(t *testing.T) {
	for _, topology := range []Topology{{Relays: []string{"slow"}}, {Relay: true, Others: []string{"slow"}}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, 1)
			table := f.nodes[0].table
			table.Topology, table.Transport = func() Topology { return topology }, slowPeer{}
			f.run(Interval, func() {})
			if topology.Relay {
				if loads, err := table.Answer(report("a", 1, nil)); err != nil || !loads.Partial || table.View(time.Now()) != nil {
					t.Errorf("a relay answers during its first round: %+v, %v", loads, err)
				}
			}
			f.run(4*Interval, func() {
				if view := table.View(time.Now()); view != nil && view.Age(time.Now()) < 600*time.Millisecond {
					t.Errorf("the view has an age of %s", view.Age(time.Now()))
				}
			})
			f.checkViews()
		})
	}
}

// relay returns a warm relay without others, and a function that sends it a report and returns the reasons for which it was dropped.
func relay(t *testing.T) (*Table, func(query api.GatewayLoadsQuery) map[string]int) {
	f := newFleet(t, 1, 1)
	f.run(4*Interval, func() {})
	return f.nodes[0].table, func(query api.GatewayLoadsQuery) map[string]int {
		clear(f.dropped)
		_, _ = f.nodes[0].table.Answer(query)
		f.run(Interval, f.checkViews)
		return f.dropped
	}
}

func report(incarnation string, sequence int64, servers map[string]Usage) api.GatewayLoadsQuery {
	return api.GatewayLoadsQuery{Incarnation: incarnation, Sequence: sequence, Usage: encodeReport(ownItems(servers))}
}

// Guards against late, duplicated and reordered reports that replace newer ones, also after the newest has expired, and against the
// load of an ended instance that stays.
func TestOldReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, send := relay(t)
		expect := func(running int) {
			t.Helper()
			if got := table.View(time.Now()).Servers["s"].Running; got != running {
				t.Errorf("%d requests run, want %d", got, running)
			}
		}
		send(report("a", 2, map[string]Usage{"s": {Running: 5}}))
		expect(5)
		for _, sequence := range []int64{2, 1, -1} {
			if dropped := send(report("a", sequence, map[string]Usage{"s": {Running: 9}})); dropped[dropStale] != 1 {
				t.Errorf("report %d is taken", sequence)
			}
			expect(5)
		}
		send(report("restarted", 1, map[string]Usage{"s": {Running: 1}}))
		expect(6)
		for sequence := range 10 {
			send(report("restarted", int64(2+sequence), map[string]Usage{"s": {Running: 1}}))
		}
		expect(1)
		if dropped := send(report("a", 1, map[string]Usage{"s": {Running: 9}})); dropped[dropStale] != 1 {
			t.Error("a report from before an expired one is taken")
		}
		expect(1)
	})
}

// Guards against messages that change loads although a part of them is wrong.
func TestMalformedReports(t *testing.T) {
	valid := func() api.GatewayLoadsQuery {
		return report("a", 9, map[string]Usage{"s": {Running: 2}, "t": {SpeedSamples: 1}})
	}
	for reason, changes := range map[string][]func(q *api.GatewayLoadsQuery){
		dropNoInstance: {func(q *api.GatewayLoadsQuery) { q.Incarnation = "" }},
		dropOwn:        {func(q *api.GatewayLoadsQuery) { q.Incarnation = "incarnation-peer-0" }},
		dropLength: {
			func(q *api.GatewayLoadsQuery) { q.Usage.Running = q.Usage.Running[:1] }, func(q *api.GatewayLoadsQuery) { q.Usage.PendingWork = nil },
			func(q *api.GatewayLoadsQuery) { q.Usage.LogSlowdownThousandths = nil }, func(q *api.GatewayLoadsQuery) { q.Usage.Servers = nil },
		},
		dropRange: {
			func(q *api.GatewayLoadsQuery) { q.Usage.Running[0] = -1 }, func(q *api.GatewayLoadsQuery) { q.Usage.Running[0] = math.MaxInt },
			func(q *api.GatewayLoadsQuery) { q.Usage.Streaming[0] = 3 }, func(q *api.GatewayLoadsQuery) { q.Usage.PendingWork[1] = math.MaxInt64 },
			func(q *api.GatewayLoadsQuery) { q.Usage.SampleHundredths[1] = -100 },
			func(q *api.GatewayLoadsQuery) { q.Usage.LogSlowdownThousandths[1] = math.MinInt64 },
		},
		dropOrder: {
			func(q *api.GatewayLoadsQuery) { slices.Reverse(q.Usage.Servers) }, func(q *api.GatewayLoadsQuery) { q.Usage.Servers[0] = "t" },
		},
		dropTooMany: {func(q *api.GatewayLoadsQuery) { q.Usage.Servers = make([]string, maxReportServers+1) }},
	} {
		for n, change := range changes {
			synctest.Test(t, func(t *testing.T) {
				table, send := relay(t)
				query := valid()
				change(&query)
				if dropped := send(query); !cmp.Equal(dropped, map[string]int{reason: 1}) {
					t.Errorf("%s %d: dropped %v", reason, n, dropped)
				}
				if servers := table.View(time.Now()).Servers; len(servers) > 0 {
					t.Errorf("%s %d: %v", reason, n, servers)
				}
			})
		}
	}
}

// Guards against own numbers that make the others drop the whole report, and against reports without a bound.
func TestOwnUsageIsLimited(t *testing.T) {
	own := map[string]Usage{"": {Running: 1}, "negative": {Running: -1, Streaming: 5, PendingWork: math.MinInt64},
		"large": {Running: math.MaxInt, PendingWork: math.MaxInt64, SpeedSamples: 2, LogSlowdownSum: math.Inf(1)}, "nan": {Running: 1, SpeedSamples: 1, LogSlowdownSum: math.NaN()}}
	for n := range 2 * maxReportServers {
		own[fmt.Sprint("server-", n)] = Usage{Running: 1 + n%2}
	}
	items, reason := decodeUsage(encodeReport(ownItems(own)), reportLimits)
	if reason != "" || len(items) != maxReportServers {
		t.Errorf("%d servers are reported, dropped as %q", len(items), reason)
	}
	delete(own, "large")
	if slices.ContainsFunc(ownItems(own), func(i item) bool { return i.load.running < 2 }) {
		t.Error("a server with fewer requests is reported instead of one with more")
	}
}

// Guards against memory that grows with wrong identifiers of servers and instances, and against a message that is dropped as a whole for
// one server too many.
func TestLedgerIsBounded(t *testing.T) {
	now := time.Now()
	l := newLedger(now)
	var items []item
	for n := range maxViewServers + 2 {
		items = append(items, item{id: fmt.Sprintf("server-%04d", n), load: load{running: 1}})
	}
	if omitted := l.putSums("relay", now, items, true, now); omitted != 2 || len(l.servers("")) != maxViewServers {
		t.Errorf("%d servers are left out, %d are known", omitted, len(l.servers("")))
	}
	for n := range maxReporters {
		l.putReport(fmt.Sprint(n), 1, nil, now)
	}
	if reason, _ := l.putReport("one more", 1, nil, now); reason != dropManyReporter {
		t.Errorf("the report of one more instance is dropped as %q", reason)
	}
}

// Guards against a slow server that no one learns of, a shared error of the expected times that makes servers look slow, and speeds that
// are never forgotten.
func TestSlowServerIsLearned(t *testing.T) {
	inFleet(t, 2, 3, func(f *fleet) {
		for _, n := range f.nodes {
			n.own = map[string]Usage{"rare": {Running: 1}}
			for server, slowdown := range map[string]float64{"slow": 2 / 0.6, "normal": 2, "usual": 2, "fast": 2 / 1.6} {
				n.own[server] = Usage{Running: 1, SpeedSamples: 1, LogSlowdownSum: math.Log(slowdown)}
			}
		}
		f.run(10*time.Second, f.checkViews)
		for _, n := range f.nodes {
			servers := n.table.View(time.Now()).Servers
			for id, want := range map[string]float64{"slow": 1 / 0.6, "normal": 1, "fast": 1 / 1.6, "rare": 1} {
				if got := servers[id].Slowdown; math.Abs(got-want) > 0.03 {
					t.Fatalf("%s sees a slowdown of %.2f at %s, want %.2f", n.address, got, id, want)
				}
			}
			n.own = nil
		}
		f.run(4*time.Minute, f.checkViews)
		if view := f.nodes[0].table.View(time.Now()); len(view.Servers) > 0 || len(f.nodes[5].table.ledger.ordered) > 0 {
			t.Errorf("idle servers are still known: %v", view.Servers)
		}
	})
}

// Guards against messages that end an instance, that change loads and are then dropped, or whose sums others drop.
func FuzzMessages(f *testing.F) {
	seed, _ := json.Marshal(report("a", 1, map[string]Usage{"s": {Running: 2, PendingWork: 7}, "t": {SpeedSamples: 1}}))
	f.Add(seed)
	f.Add([]byte(`{"incarnation":"a","sums":true}`))
	f.Add([]byte(`{"incarnation":"b","ageMillis":1,"list":3,"usage":{"servers":["s"],"running":[2],"streaming":[1],"pending":[0]},"slowdown":[90]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var query api.GatewayLoadsQuery
		if json.Unmarshal(body, &query) != nil {
			return
		}
		table := newFleet(t, 1, 1).nodes[0].table
		table.putOwn(nil)
		table.relaySince = table.relaySince.Add(-warmUp)
		if _, err := table.Answer(query); err != nil && len(table.ledger.ordered) > 0 {
			t.Fatalf("after %v the table knows servers", err)
		}
		var loads api.GatewayLoads
		if json.Unmarshal(body, &loads) == nil {
			if items, reason := table.decodeSums("peer-1", &loads); reason == "" {
				table.putSums("peer-1", time.Now(), items, true)
			}
			_, _ = decodeView(loads)
		}
		table.finishRelayRound()
		usage, _ := table.ledger.encodeSums(0, true)
		if _, reason := decodeUsage(usage, sumsLimits); reason != "" {
			t.Fatalf("the sums are dropped as %q", reason)
		}
		var view api.GatewayLoads
		table.ledger.encodeView(&view, "", 0)
		if _, reason := decodeView(view); reason != "" {
			t.Fatalf("the view is dropped as %q", reason)
		}
	})
}
