package crashguard

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// crashAt returns the crash of a server of its own, some milliseconds after a fixed time.
func crashAt(millis int, request string, parts ...string) Crash {
	return Crash{
		Service: "desk", Server: "server-" + strconv.Itoa(millis), Request: request, Parts: parts,
		At: time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond),
	}
}

// Guards against a hold of parts that were only beside the harmful one, of a part after a single request or after servers that ended
// together, and against a harmful part that is not found.
func TestHoldsNameTheHarmfulPart(t *testing.T) {
	for name, c := range map[string]struct {
		crashes []Crash
		want    [][]string
	}{
		"harmful part beside others": {
			[]Crash{crashAt(0, "a", "book", "bad"), crashAt(500, "b", "page", "bad"), crashAt(900, "c", "book", "bad")}, [][]string{{"bad"}},
		},
		"parts that were always together": {
			[]Crash{crashAt(0, "a", "book", "bad"), crashAt(500, "b", "book", "bad"), crashAt(900, "c", "book", "bad")}, [][]string{{"bad", "book"}},
		},
		"two harmful parts": {
			[]Crash{
				crashAt(0, "a", "bad"), crashAt(300, "b", "worse"), crashAt(600, "c", "bad"), crashAt(900, "d", "worse"),
				crashAt(1200, "e", "bad"), crashAt(1500, "f", "worse"), crashAt(1800, "g", "worse"),
			}, [][]string{{"worse"}, {"bad"}},
		},
		"too few crashes":          {[]Crash{crashAt(0, "a", "bad"), crashAt(500, "b", "bad")}, nil},
		"a single request":         {[]Crash{crashAt(0, "a", "bad"), crashAt(500, "a", "bad"), crashAt(900, "a", "bad")}, nil},
		"servers ended together":   {[]Crash{crashAt(0, "a", "bad"), crashAt(10, "b", "bad"), crashAt(20, "c", "bad")}, nil},
		"different parts":          {[]Crash{crashAt(0, "a", "x"), crashAt(500, "b", "y"), crashAt(900, "c", "z")}, nil},
		"parts that were answered": {[]Crash{crashAt(0, "a"), crashAt(500, "b"), crashAt(900, "c")}, nil},
	} {
		var got [][]string
		for _, hold := range holds("desk", c.crashes) {
			got = append(got, hold.Parts)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Guards against one end of a process that counts twice because several instances reported it at different times, against a single faulty
// server that makes its requests suspect, and against a process that crashes again and counts once.
func TestServerProcessCountsOnce(t *testing.T) {
	first, second, third := crashAt(0, "a", "bad"), crashAt(500, "b", "bad"), crashAt(900, "c", "bad")
	second.Server = first.Server
	if found := holds("desk", []Crash{first, second, third}); found != nil {
		t.Errorf("held after two servers: %+v", found)
	}
	again, lastAgain := crashAt(5000, "d", "bad"), crashAt(9000, "e", "bad")
	again.Server, lastAgain.Server = first.Server, first.Server
	if found := holds("desk", []Crash{first, again, lastAgain}); found != nil {
		t.Errorf("held after crashes of a single server: %+v", found)
	}
	if found := holds("desk", []Crash{first, third, again}); len(found) != 1 {
		t.Errorf("not held after a process crashed again: %+v", found)
	}
}

// Guards against trials that follow each other at the same pace although the part stays harmful, and against an overflow.
func TestHoldTimeGrowsWithCrashes(t *testing.T) {
	for crashes, want := range map[int]time.Duration{
		minCrashes: minHoldTime, minCrashes + 1: 2 * minHoldTime, minCrashes + 2: 4 * minHoldTime, 1000: maxHoldTime,
	} {
		if got := holdTime(crashes); got != want {
			t.Errorf("%d crashes: %s, want %s", crashes, got, want)
		}
	}
}

// Guards against a hold of a sound part because its requests waited at a few servers that ended, and against a part that is never held
// because its servers end before they begin to answer.
func TestCrashesBeforeAnswerWeighLess(t *testing.T) {
	early := func(millis int, request string) Crash {
		crash := crashAt(millis, request, "bad")
		crash.BeforeAnswer = true
		return crash
	}
	crashes := []Crash{early(0, "a"), early(500, "b"), early(1000, "c"), early(1500, "d")}
	if found := holds("desk", crashes); found != nil {
		t.Errorf("held after %d crashes before an answer: %+v", len(crashes), found)
	}
	if found := holds("desk", append(crashes, early(2000, "e"))); len(found) != 1 || found[0].Until != found[0].LastCrash.Add(minHoldTime) {
		t.Errorf("after one more: %+v, want a hold of %s", found, minHoldTime)
	}
	bystander := early(400, "waiting")
	bystander.Server = crashAt(410, "").Server
	mixed := []Crash{crashAt(0, "a", "bad"), bystander, crashAt(410, "b", "bad"), crashAt(900, "c", "bad")}
	if found := holds("desk", mixed); len(found) != 1 || found[0].Crashes != 3 {
		t.Errorf("with a request that waited at one of the servers: %+v, want a hold after 3 crashes", found)
	}
}

// neverAnswered returns the crashes with the part marked as one that no server ever answered.
func neverAnswered(part string, crashes ...Crash) []Crash {
	for i := range crashes {
		crashes[i].NeverAnswered = []string{part}
	}
	return crashes
}

// Guards against servers that a part ends at the same moment counting as one crash, against an outage that holds sound parts, and against too
// little evidence: the fifth crash is enough, the fourth is not.
func TestJointCrashes(t *testing.T) {
	group := func(count int, requests ...string) []Crash {
		var crashes []Crash
		for n := range count {
			crashes = append(crashes, crashAt(10*n, requests[n%len(requests)], "book", "bad"))
		}
		return crashes
	}
	sameServer := group(8, "a", "b")
	for i := range sameServer {
		sameServer[i].Server = "server-" + strconv.Itoa(i%4)
	}
	early := group(5, "a", "b")
	for i := range early {
		early[i].BeforeAnswer = true
	}
	for name, c := range map[string]struct {
		crashes []Crash
		want    [][]string
	}{
		"five servers":               {neverAnswered("bad", group(5, "a", "b")...), [][]string{{"bad", "book"}}},
		"five servers, no answers":   {neverAnswered("bad", early...), [][]string{{"bad", "book"}}},
		"four servers":               {neverAnswered("bad", group(4, "a", "b")...), nil},
		"four servers, twice each":   {neverAnswered("bad", sameServer...), nil},
		"a single request":           {neverAnswered("bad", group(8, "a")...), nil},
		"answered before":            {group(8, "a", "b"), nil},
		"never answered in one":      {append(group(4, "a", "b"), neverAnswered("bad", crashAt(50, "c", "bad"))...), nil},
		"four servers and one later": {append(neverAnswered("bad", group(4, "a", "b")...), crashAt(5000, "c", "book", "bad")), [][]string{{"bad", "book"}}},
	} {
		var got [][]string
		for _, hold := range holds("desk", c.crashes) {
			got = append(got, hold.Parts)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
