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
	return Entry{ID: id, Service: "desk", Address: id + ":80", AvailabilityZone: "a", Software: "v1", Slots: 4, StartedUnixMillis: 1}
}

func availableIDs(d *Directory, at time.Time) []string {
	var found []string
	for _, c := range d.Candidates(Query{Service: "desk"}, at) {
		if !c.Leaving {
			found = append(found, c.ID)
		}
	}
	slices.Sort(found)
	return found
}

// Guards against servers that are removed because their entries expired while the store was unavailable, and against servers
// that stay although their entries are not written again within the grace period.
func TestMissingEntriesAreKeptForGracePeriod(t *testing.T) {
	const gracePeriod = 2 * time.Second
	d := NewDirectory()
	d.Replace([]Entry{entry("a"), entry("b")}, 0, now)
	d.Replace(nil, gracePeriod, now)
	if got := availableIDs(d, now.Add(time.Second)); len(got) != 2 {
		t.Errorf("during the grace period: %v", got)
	}
	d.Put(entry("b"), now.Add(time.Second))
	d.Expire(now.Add(gracePeriod))
	if diff := cmp.Diff([]string{"b"}, availableIDs(d, now.Add(gracePeriod))); diff != "" {
		t.Errorf("after the grace period: %s", diff)
	}
}

// Guards against servers that are removed at once in an outage of the store which only the mass removal of entries shows, and
// against a server that leaves and is kept as after an outage.
func TestGracePeriod(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Entry{entry("a"), entry("b"), entry("c")}, 0, now)
	for _, c := range []struct {
		name          string
		reconnectedAt time.Time
		removed       int
		want          time.Duration
	}{
		{"one server leaves", time.Time{}, 1, 0},
		{"most entries are removed", time.Time{}, 2, missingGracePeriod},
		{"store just reconnected", now, 1, missingGracePeriod},
		{"store reconnected long ago", now.Add(-time.Minute), 1, 0},
	} {
		if got := d.GracePeriod(c.reconnectedAt, c.removed, now); got != c.want {
			t.Errorf("%s: %s", c.name, got)
		}
	}
}

// Guards against a server that stays in the table after its entry was removed while the store was available.
func TestRemovedEntryIsDroppedAtOnce(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Entry{entry("a")}, 0, now)
	if dropped := d.Remove("a", 0, now); len(dropped) != 1 || len(availableIDs(d, now)) != 0 {
		t.Errorf("removed %v, remaining %v", dropped, availableIDs(d, now))
	}
}

// Guards against a restarted server that inherits the state of the earlier process with the same identifier.
func TestRestartResetsServerState(t *testing.T) {
	prompt := []PromptPart{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 10}}
	query := Query{Service: "desk", Model: "m", Prompt: prompt}
	d := NewDirectory()
	d.Put(entry("a"), now)
	attempt, _ := d.Begin("a", query, now)
	attempt.RecordPrefill(now)
	attempt.End(ResultFailure, now)
	if c := d.Candidates(query, now)[0]; c.CachedTokens != 110 || c.FailureRate == 0 {
		t.Fatalf("state of the first process not recorded: %+v", c)
	}
	again := entry("a")
	again.StartedUnixMillis = 2
	d.Put(again, now)
	if c := d.Candidates(query, now)[0]; c.CachedTokens != 0 || c.FailureRate != 0 || c.InFlight != 0 {
		t.Errorf("the restarted server has the state of the earlier process: %+v", c)
	}
}

// Guards against load counts that drift when a server is removed while requests run, or when an attempt is ended twice.
func TestCountsReturnToZero(t *testing.T) {
	d := NewDirectory()
	d.Put(entry("a"), now)
	query := Query{Service: "desk", Model: "m", Prompt: []PromptPart{{ID: "p", Tokens: 50}}}
	attempt, _ := d.Begin("a", query, now)
	if c := d.Candidates(query, now)[0]; c.InFlight != 1 || c.PendingTokens != 50 {
		t.Errorf("while the attempt runs: %+v", c)
	}
	attempt.End(ResultNeutral, now)
	attempt.End(ResultNeutral, now)
	if c := d.Candidates(query, now)[0]; c.InFlight != 0 || c.PendingTokens != 0 {
		t.Errorf("after the attempt ended: %+v", c)
	}
	attempt, _ = d.Begin("a", query, now)
	d.Remove("a", 0, now)
	attempt.End(ResultSuccess, now)
	if _, ok := d.Begin("a", query, now); ok {
		t.Error("an attempt began at a server that was removed")
	}
}

// Guards against further requests to an address at which another server has answered.
func TestMisdirectedServerIsAvoided(t *testing.T) {
	d := NewDirectory()
	d.Put(entry("a"), now)
	attempt, _ := d.Begin("a", Query{Service: "desk"}, now)
	attempt.End(ResultMisdirected, now)
	if got := availableIDs(d, now); len(got) != 0 {
		t.Errorf("still a candidate: %v", got)
	}
}

// Guards against an instance that cannot reach the store and uses servers that are leaving or missing in the list of a peer.
func TestMergeAdoptsPeerList(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Entry{entry("a"), entry("b"), entry("c")}, 0, now)
	leaving := entry("a")
	leaving.Leaving = true
	d.MergePeerList([]Entry{leaving, entry("b"), entry("d")}, now)
	if diff := cmp.Diff([]string{"b", "d"}, availableIDs(d, now)); diff != "" {
		t.Error(diff)
	}
}

// Guards against instances that choose different home servers for the same prompt, or a home server outside the partition of
// the model.
func TestHomeServerIsIndependentOfOrder(t *testing.T) {
	prompt := []PromptPart{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 10}}
	homeServer := func(order []int) string {
		candidates := make([]routing.Candidate, len(order))
		for i, n := range order {
			candidates[i] = routing.Candidate{ID: fmt.Sprint("server-", n), OutsidePartition: n == 0}
		}
		MarkHomeServer(candidates, "m", prompt)
		for _, c := range candidates {
			if c.CachedTokens == 100 {
				return c.ID
			}
		}
		return ""
	}
	first := homeServer([]int{0, 1, 2, 3})
	if first == "" || first == "server-0" || first != homeServer([]int{3, 1, 0, 2}) {
		t.Errorf("home servers %q and %q", first, homeServer([]int{3, 1, 0, 2}))
	}
}
