package backend

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// begin starts an attempt at a server.
func begin(t *testing.T, d *Directory, id string) *Attempt {
	t.Helper()
	attempt, ok := d.Begin(id, Query{Service: "desk"}, now)
	if !ok {
		t.Fatalf("server %s is not in the table", id)
	}
	return attempt
}

// Guards against requests to a server that said that it leaves, because a row that lags says otherwise or was written again, and
// against a new process that is avoided because it has the identifier or the address of one that left.
func TestLeavingHoldsForTheProcess(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Entry{entry("a"), entry("b")}, 0, now)
	if !begin(t, d, "a").MarkLeaving(now) || begin(t, d, "a").MarkLeaving(now) {
		t.Error("the first word of a server is not told from the second")
	}
	for name, change := range map[string]func(){
		"row says live":      func() { d.Put(entry("a"), now) },
		"complete list":      func() { d.Replace([]Entry{entry("a"), entry("b")}, 0, now) },
		"row written again":  func() { d.Remove("a", 0, now); d.Put(entry("a"), now) },
		"list without it":    func() { d.Replace([]Entry{entry("b")}, 0, now); d.Put(entry("a"), now) },
		"list of a peer":     func() { d.MergePeerList([]Entry{entry("a"), entry("b")}, now) },
		"another one leaves": func() { d.MarkLeaving(nil, now.Add(time.Minute)) },
	} {
		change()
		if diff := cmp.Diff([]string{"b"}, availableIDs(d, now)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	restarted := entry("a")
	restarted.StartedUnixMillis = 2
	d.Put(restarted, now)
	if diff := cmp.Diff([]string{"a", "b"}, availableIDs(d, now)); diff != "" {
		t.Errorf("after a restart: %s", diff)
	}
}

// Guards against a word that is passed on to peers without end, or not at all.
func TestLeavingIsPassedOnBriefly(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Entry{entry("a")}, 0, now)
	begin(t, d, "a").MarkLeaving(now)
	if len(d.RecentlyLeaving(now.Add(time.Second))) != 1 || len(d.RecentlyLeaving(now.Add(2*recentLeavingTime))) != 0 {
		t.Errorf("passed on: %+v", d.RecentlyLeaving(now))
	}
	for n := range 2 * maxRecentLeaving {
		d.MarkLeaving([]LeavingProcess{{Process: Process{ID: string(rune('A' + n))}, Since: now}}, now)
	}
	if got := len(d.RecentlyLeaving(now)); got > maxRecentLeaving {
		t.Errorf("%d servers are passed on", got)
	}
}

// Guards against requests within the time that a server asked for, a wait without end, and a worse record of a server that asks.
func TestBackoffOfServer(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Entry{entry("a")}, 0, now)
	attempt := begin(t, d, "a")
	attempt.MarkBackoff(90*time.Second, now)
	attempt.End(ResultNeutral, now)
	backoffUntil := func(at time.Time) time.Time { return d.Candidates(Query{Service: "desk"}, at)[0].BackoffUntil }
	// The time of suspension is the difference of two clocks that are read one after the other.
	const clockError = time.Millisecond
	if got := backoffUntil(now.Add(89 * time.Second)).Sub(now); got < 89*time.Second || got > 90*time.Second+clockError {
		t.Errorf("backoff %s", got)
	}
	if at := now.Add(90 * time.Second); backoffUntil(at).After(at) {
		t.Error("backoff after the time")
	}
	attempt.MarkBackoff(1000*time.Hour, now)
	if got := backoffUntil(now).Sub(now); got > maxBackoff+clockError {
		t.Errorf("backoff %s", got)
	}
	if c := d.Candidates(Query{Service: "desk"}, now)[0]; c.FailureRate != 0 || c.EjectedUntil.After(now) {
		t.Errorf("record of the server: %+v", c)
	}
}

// Guards against requests within the time that a server asked for after its entry has expired, as during an outage of the store, and has
// returned; and against a wait for the next process at the same address.
func TestBackoffOutlivesEntry(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Entry{entry("a")}, 0, now)
	attempt := begin(t, d, "a")
	attempt.MarkBackoff(time.Minute, now)
	attempt.End(ResultNeutral, now)
	backsOff := func() bool { return d.Candidates(Query{Service: "desk"}, now)[0].BackoffUntil.After(now) }
	d.Remove("a", 0, now)
	d.Put(entry("a"), now)
	if !backsOff() {
		t.Error("requests are sent again after the entry has returned")
	}
	restarted := entry("a")
	restarted.StartedUnixMillis++
	d.Put(restarted, now)
	if backsOff() {
		t.Error("the next process is avoided because of the one before")
	}
}
