package crashguard

import (
	"io"
	"log/slog"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/cicadawall/cicadawall/internal/backend"
)

func newTable(mayTry bool) *Table {
	return NewTable(Options{
		MayTry: func(string) bool { return mayTry }, Log: slog.New(slog.NewJSONHandler(io.Discard, nil)),
	})
}

// promptOf returns a prompt with the shared parts and a part of its own.
func promptOf(parts ...string) []backend.PromptPart {
	var prompt []backend.PromptPart
	for _, id := range append(parts, "own") {
		prompt = append(prompt, backend.PromptPart{ID: id, Tokens: 1})
	}
	return prompt
}

// crashingTable returns a table in which requests with the part "bad" are held, and the time of the last crash.
func crashingTable(mayTry bool) (*Table, time.Time) {
	table, last := newTable(mayTry), time.Time{}
	for n := range minCrashes {
		crash := crashAt(500*n, strconv.Itoa(n), "book-"+strconv.Itoa(n), "bad")
		last = crash.At
		table.Merge([]Crash{crash}, last)
	}
	return table, last
}

// Guards against a hold that covers sound requests, that ends too soon, or after which all held requests return at once.
func TestHeldRequestsReturnByOneTrial(t *testing.T) {
	table, last := crashingTable(true)
	if table.Check("desk", promptOf("book-0"), false, last).Held || table.Check("other", promptOf("bad"), false, last).Held {
		t.Error("a sound request is held")
	}
	verdict := table.Check("desk", promptOf("page", "bad"), false, last.Add(time.Second))
	if !verdict.Held || verdict.RetryAfter != minHoldTime-time.Second {
		t.Errorf("verdict during the hold: %+v", verdict)
	}
	after := last.Add(minHoldTime)
	if verdict := table.Check("desk", promptOf("bad"), false, after); !verdict.Trial {
		t.Errorf("no trial after the hold: %+v", verdict)
	}
	if verdict := table.Check("desk", promptOf("bad"), false, after); !verdict.Held {
		t.Errorf("a second request during the trial: %+v", verdict)
	}
	if verdict := table.Check("desk", promptOf("bad"), true, after); !verdict.Trial {
		t.Errorf("second attempt of the trial after a server refused the first: %+v", verdict)
	}
	if other, last := crashingTable(false); !other.Check("desk", promptOf("bad"), false, last.Add(time.Hour)).Held {
		t.Error("an instance that may not try has a trial")
	}
}

// Guards against a part that stays held although an answer shows that it is harmless, and against one that is released although the
// trial crashed another server.
func TestTrialDecidesOnTheHold(t *testing.T) {
	table, last := crashingTable(true)
	trial := table.Begin("desk", "next", "trial", promptOf("bad"), true, func() { t.Error("the trial is cancelled") })
	trial.Crashed(false, last.Add(minHoldTime))
	if verdict := table.Check("desk", promptOf("bad"), false, last.Add(2*minHoldTime)); !verdict.Held {
		t.Errorf("after a trial that crashed a server: %+v", verdict)
	}
	trial = table.Begin("desk", "another", "second trial", promptOf("bad"), true, func() { t.Error("the trial is cancelled") })
	trial.Survived(last.Add(4*minHoldTime), last.Add(4*minHoldTime))
	if table.Check("desk", promptOf("bad"), false, last.Add(4*minHoldTime)).Held || len(table.Holds()) > 0 {
		t.Error("held after an answer")
	}
}

// Guards against requests that wait in the queue of a server when their prompt becomes held and then crash the server.
func TestWaitingAttemptIsCancelled(t *testing.T) {
	table := newTable(true)
	cancelled := map[string]bool{}
	for _, name := range []string{"bad", "sound", "answered"} {
		parts := []string{"book", "bad"}
		if name == "sound" {
			parts = parts[:1]
		}
		attempt := table.Begin("desk", "s", name, promptOf(parts...), false, func() { cancelled[name] = true })
		if name == "answered" {
			attempt.End()
		}
	}
	for n := range minCrashes {
		crash := crashAt(500*n, strconv.Itoa(n), "bad")
		table.Merge([]Crash{crash}, crash.At)
	}
	if diff := cmp.Diff(map[string]bool{"bad": true}, cancelled); diff != "" {
		t.Error(diff)
	}
}

// Guards against evidence that grows with the parts that callers invent.
func TestEvidenceIsBounded(t *testing.T) {
	table := newTable(true)
	long := make([]byte, maxPartBytes+1)
	for n := range 10 * maxCrashes {
		prompt := promptOf(string(long))
		for part := range 3 * maxParts {
			prompt = append(prompt, backend.PromptPart{ID: strconv.Itoa(n) + "-" + strconv.Itoa(part)})
		}
		now := time.Unix(int64(n), 0)
		table.Begin("desk", strconv.Itoa(n), strconv.Itoa(n), prompt, false, nil).Crashed(false, now)
		table.Begin("desk", "s", strconv.Itoa(n), prompt, false, nil).Survived(now.Add(time.Millisecond), now.Add(time.Millisecond))
	}
	crashes := table.Crashes(time.Time{})
	if len(crashes) > maxCrashes || len(table.answered) > maxAnsweredParts+maxParts {
		t.Errorf("%d crashes and %d answered parts are remembered", len(crashes), len(table.answered))
	}
	for _, crash := range crashes {
		if len(crash.Parts) > maxParts || slices.Contains(crash.Parts, string(long)) {
			t.Errorf("crash with parts %q", crash.Parts)
		}
	}
}

// Guards against instances that decide differently because reports reach them in another order, and against an answer that is
// forgotten when an older report arrives after it.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		crash := rapid.Custom(func(t *rapid.T) Crash {
			c := crashAt(rapid.IntRange(0, 5).Draw(t, "time")*300, strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "request")),
				rapid.SliceOfNDistinct(part, 0, 3, rapid.ID[string]).Draw(t, "parts")...)
			c.NeverAnswered = rapid.SliceOfNDistinct(part, 0, 3, rapid.ID[string]).Draw(t, "never answered")
			c.Server = "s" + strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "server"))
			return c
		})
		crashes := rapid.SliceOfN(crash, 0, 12).Draw(t, "crashes")
		now := crashAt(5000, "").At
		forwards, backwards := newTable(true), newTable(true)
		answered := part.Draw(t, "answered")
		forwards.Merge(crashes, now)
		forwards.recordAnswer("desk", []string{answered}, now, now)
		backwards.recordAnswer("desk", []string{answered}, now, now)
		slices.Reverse(crashes)
		for _, c := range crashes {
			backwards.Merge([]Crash{c}, now)
		}
		if forwards.Digest() != backwards.Digest() {
			t.Errorf("different evidence: %+v and %+v", forwards.Crashes(time.Time{}), backwards.Crashes(time.Time{}))
		}
		if diff := cmp.Diff(forwards.Holds(), backwards.Holds()); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against crashes in quick succession, as in a fleet of a thousand servers, that drive each other out before three of them are
// separate, and against the evidence on a rarer part that they drive out.
func TestManyCrashesKeepSeparateOnes(t *testing.T) {
	table := newTable(true)
	for n := range 40 * maxCrashes {
		crash := crashAt(n, strconv.Itoa(n), "bad")
		table.Merge([]Crash{crash}, crash.At)
		if n%500 == 250 {
			rare := crashAt(n, "rare-"+strconv.Itoa(n), "rare")
			table.Merge([]Crash{rare}, rare.At)
		}
	}
	now := crashAt(40*maxCrashes, "").At
	for _, part := range []string{"bad", "rare"} {
		if !table.Check("desk", promptOf(part), false, now).Held {
			t.Errorf("part %q is not held", part)
		}
	}
}

// Guards against a part that counts as never answered although a server answered it, before the crash or as a peer knows, and against such a
// claim of an instance that knows of no answers.
func TestNeverAnsweredParts(t *testing.T) {
	now := time.Unix(1000, 0)
	marked := func(table *Table) []string { return table.Crashes(time.Time{})[0].NeverAnswered }
	for name, c := range map[string]struct {
		answered []string
		want     []string
	}{
		"service without answers": {nil, nil}, "another part was answered": {[]string{"book"}, []string{"bad"}}, "the part was answered": {[]string{"bad"}, nil},
	} {
		table := newTable(true)
		if c.answered != nil {
			table.Begin("desk", "s", "sound", promptOf(c.answered...), false, nil).Survived(now, now)
		}
		table.Begin("desk", "s", "r", promptOf("bad"), false, nil).Crashed(false, now.Add(time.Second))
		if diff := cmp.Diff(c.want, marked(table), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	knows := newTable(true)
	knows.Begin("desk", "s", "sound", promptOf("bad"), false, nil).Survived(now, now)
	knows.Merge([]Crash{{Service: "desk", Server: "s", Request: "r", Parts: []string{"bad"}, NeverAnswered: []string{"bad"}, At: now.Add(time.Second)}}, now.Add(time.Second))
	if got := marked(knows); len(got) != 0 {
		t.Errorf("an instance that knows an answer keeps the claim %v of a peer", got)
	}
}
