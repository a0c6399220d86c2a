package backend

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/routing"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(id string) Entry {
	return Entry{ID: id, Service: "desk", Address: id + ":80", AvailabilityZone: "a", Software: "v1", Slots: 4, StartedMilli: 1}
}

func ids(d *Directory, at time.Time) []string {
	var found []string
	for _, c := range d.Candidates(Query{Service: "desk"}, at) {
		if !c.Leaving {
			found = append(found, c.ID)
		}
	}
	slices.Sort(found)
	return found
}

// Guards against servers that are dropped because their entries lapsed while the store was away, and against ones that stay
// after they were to be back.
func TestLapsedEntriesAreHeld(t *testing.T) {
	const hold = 2 * time.Second
	d := NewDirectory()
	d.Replace([]Entry{entry("a"), entry("b")}, 0, now)
	d.Replace(nil, hold, now)
	if got := ids(d, now.Add(time.Second)); len(got) != 2 {
		t.Errorf("during the hold: %v", got)
	}
	d.Put(entry("b"), now.Add(time.Second))
	d.Expire(now.Add(hold))
	if diff := cmp.Diff([]string{"b"}, ids(d, now.Add(hold))); diff != "" {
		t.Errorf("after the hold: %s", diff)
	}
}

// Guards against entries that lapse without a sign of an outage, and against a server that leaves and is held for that.
func TestHold(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Entry{entry("a"), entry("b"), entry("c")}, 0, now)
	for _, c := range []struct {
		name     string
		returned time.Time
		removed  int
		want     time.Duration
	}{
		{"one leaves", time.Time{}, 1, 0},
		{"most vanish", time.Time{}, 2, lapseHold},
		{"right after the return", now, 1, lapseHold},
		{"long after the return", now.Add(-time.Minute), 1, 0},
	} {
		if got := d.Hold(c.returned, c.removed, now); got != c.want {
			t.Errorf("%s: %s", c.name, got)
		}
	}
}

// Guards against a server that keeps its place after its entry was removed while the store was well.
func TestRemovedEntryGoesAtOnce(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Entry{entry("a")}, 0, now)
	if dropped := d.Remove("a", 0, now); len(dropped) != 1 || len(ids(d, now)) != 0 {
		t.Errorf("dropped %v, left %v", dropped, ids(d, now))
	}
}

// Guards against what is known of a server being taken over by another start under the same identifier.
func TestRestartForgets(t *testing.T) {
	prompt := []Part{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 10}}
	query := Query{Service: "desk", Model: "m", Prompt: prompt}
	d := NewDirectory()
	d.Put(entry("a"), now)
	run, _ := d.Begin("a", query, now)
	run.Reading(now)
	run.End(ResultBad, now)
	if c := d.Candidates(query, now)[0]; c.CachedTokens != 110 || c.FailureRate == 0 {
		t.Fatalf("nothing learnt: %+v", c)
	}
	again := entry("a")
	again.StartedMilli = 2
	d.Put(again, now)
	if c := d.Candidates(query, now)[0]; c.CachedTokens != 0 || c.FailureRate != 0 || c.InFlight != 0 {
		t.Errorf("the new server has the state of the old one: %+v", c)
	}
}

// Guards against counts that drift when servers leave while requests run, or when an end is told twice.
func TestCountsEndAtZero(t *testing.T) {
	d := NewDirectory()
	d.Put(entry("a"), now)
	query := Query{Service: "desk", Model: "m", Prompt: []Part{{ID: "p", Tokens: 50}}}
	run, _ := d.Begin("a", query, now)
	if c := d.Candidates(query, now)[0]; c.InFlight != 1 || c.PendingTokens != 50 {
		t.Errorf("running: %+v", c)
	}
	run.End(ResultNeutral, now)
	run.End(ResultNeutral, now)
	if c := d.Candidates(query, now)[0]; c.InFlight != 0 || c.PendingTokens != 0 {
		t.Errorf("ended: %+v", c)
	}
	run, _ = d.Begin("a", query, now)
	d.Remove("a", 0, now)
	run.End(ResultGood, now)
	if _, ok := d.Begin("a", query, now); ok {
		t.Error("a server that is gone takes a request")
	}
}

// Guards against an address whose server was replaced that gets more requests.
func TestMovedServerIsAvoided(t *testing.T) {
	d := NewDirectory()
	d.Put(entry("a"), now)
	run, _ := d.Begin("a", Query{Service: "desk"}, now)
	run.End(ResultMoved, now)
	if got := ids(d, now); len(got) != 0 {
		t.Errorf("still used: %v", got)
	}
}

// Guards against an instance that the store refuses and that uses servers which a peer knows to be leaving or gone.
func TestMergeTakesPeersKnowledge(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Entry{entry("a"), entry("b"), entry("c")}, 0, now)
	leaving := entry("a")
	leaving.Leaving = true
	d.Merge([]Entry{leaving, entry("b"), entry("d")}, now)
	if diff := cmp.Diff([]string{"b", "d"}, ids(d, now)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a load of peers that counts for ever, or is not extended to the peers that were not heard.
func TestPeerLoads(t *testing.T) {
	d := NewDirectory()
	d.Put(entry("a"), now)
	d.Peer("one", map[string]Load{"a": {Running: 3, PendingTokens: 100}}, 5, now)
	d.Peer("two", map[string]Load{"a": {Running: 1}}, 5, now)
	if c := d.Candidates(Query{Service: "desk"}, now)[0]; c.PeerInFlight != 8 || c.PendingTokens != 200 {
		t.Errorf("two of four peers heard: %+v", c)
	}
	if c := d.Candidates(Query{Service: "desk"}, now.Add(2*peerLoadAge))[0]; c.PeerInFlight != 0 {
		t.Errorf("old load: %+v", c)
	}
}

// Guards against instances that choose different homes for one prompt, or a home that others' models use.
func TestHomeIsTheSameEverywhere(t *testing.T) {
	prompt := []Part{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 10}}
	home := func(order []int) string {
		candidates := make([]routing.Candidate, len(order))
		for i, n := range order {
			candidates[i] = routing.Candidate{ID: fmt.Sprint("server-", n), OutsidePartition: n == 0}
		}
		MarkHome(candidates, "m", prompt)
		for _, c := range candidates {
			if c.CachedTokens == 100 {
				return c.ID
			}
		}
		return ""
	}
	first := home([]int{0, 1, 2, 3})
	if first == "" || first == "server-0" || first != home([]int{3, 1, 0, 2}) {
		t.Errorf("homes %q and %q", first, home([]int{3, 1, 0, 2}))
	}
}
