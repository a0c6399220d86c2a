package cascade

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

var (
	small = declaration.VersionID{Model: "small", Version: "1"}
	large = declaration.VersionID{Model: "large", Version: "1"}
)

func options() []Option {
	return []Option{
		{Version: small, ExpectedQuality: 0.8, Cost: 1, FirstToken: 100 * time.Millisecond, Total: 300 * time.Millisecond},
		{Version: large, ExpectedQuality: 0.95, Cost: 20, FirstToken: 300 * time.Millisecond, Total: time.Second},
	}
}

// learn adds ratings of a class in which the small version is good when it is confident.
func learn(e *Evidence, count int) {
	for i := range count {
		confidence, score := 0.85, 0.94
		if i%3 == 0 {
			confidence, score = 0.25, 0.5
		}
		e.Add(Sample{Key: Key{Class: "c", Version: small}, Confidence: confidence, Score: score})
		e.Add(Sample{Key: Key{Class: "c", Version: large, After: small}, Confidence: confidence, Score: 0.93})
		e.Add(Sample{Key: Key{Class: "c", Version: large}, Confidence: confidence, Score: 0.93})
	}
}

// Guards against a chain whose threshold does not separate the answers that ratings found bad, and against a cost above it.
func TestChooseLearnsThreshold(t *testing.T) {
	e := NewEvidence()
	learn(e, 600)
	d := Choose(e, Request{Class: "c", Quality: 0.9}, options())
	if d.Unmet != UnmetNothing || d.Chain.First != small || d.Chain.Second != large {
		t.Fatalf("chose %+v", d)
	}
	if !d.Chain.Escalate(0.25) || d.Chain.Escalate(0.85) {
		t.Fatalf("threshold %v does not separate 0.25 from 0.85", d.Chain.Threshold)
	}
	free := Choose(e, Request{Class: "c"}, options())
	if want := free.QualityBound - floorTolerance; free.FirstFloor != want {
		t.Fatalf("floor %v without a target, want %v", free.FirstFloor, want)
	}
	if d.Cost > 9 || d.FirstFloor > 0.9 || d.SecondFloor > 0.9 {
		t.Fatalf("cost %v, floors %v and %v", d.Cost, d.FirstFloor, d.SecondFloor)
	}
}

// Guards against a cheap version that is trusted, or escalated from, before ratings prove it.
func TestFewRatingsDoNotMeetTarget(t *testing.T) {
	d := Choose(NewEvidence(), Request{Class: "c", Quality: 0.9}, options())
	if d.Unmet != UnmetQuality || d.Chain.First != large {
		t.Fatalf("chose %+v, want the best effort of the large version", d)
	}
	e := NewEvidence()
	learn(e, 6)
	if d := Choose(e, Request{Class: "c", Quality: 0.9}, options()); d.QualityBound >= 0.9 {
		t.Fatalf("bound %v after 6 ratings", d.QualityBound)
	}
}

// Guards against chains that are late, and against a wrong report of what is not met.
func TestUnmetTargets(t *testing.T) {
	e := NewEvidence()
	learn(e, 600)
	tests := []struct {
		name    string
		request Request
		options []Option
		unmet   Unmet
		first   declaration.VersionID
	}{
		{"chain too slow", Request{Class: "c", Quality: 0.9, DeadlineLeft: 1100 * time.Millisecond}, options(), "", large},
		{"first token late", Request{Class: "c", Quality: 0.9, FirstToken: 500 * time.Millisecond}, options(), "", large},
		{"all late", Request{Class: "c", DeadlineLeft: time.Millisecond}, options(), UnmetLatency, small},
		// The small version is better than the large one where it is confident, so that the chain is the best effort.
		{"quality", Request{Class: "c", Quality: 0.99}, options(), UnmetQuality, small},
		{"cost", Request{Class: "c", Quality: 0.9, CostPer1000: 5000}, options(), UnmetCost, small},
		{"none", Request{Class: "c"}, nil, UnmetNoVersion, declaration.VersionID{}},
		{"no target", Request{Class: "c"}, options(), "", small},
	}
	for _, test := range tests {
		d := Choose(e, test.request, test.options)
		if d.Unmet != test.unmet || d.Chain.First != test.first {
			t.Errorf("%s: chose %+v", test.name, d)
		}
	}
}

// Guards against evidence that depends on how it was split over instances.
func TestMergeEqualsOneStream(t *testing.T) {
	whole, left, right := NewEvidence(), NewEvidence(), NewEvidence()
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range 200 {
		s := Sample{Key: Key{Class: "c", Version: small}, Score: float64(rng.IntN(5)) / 4, Confidence: rng.Float64()}
		whole.Add(s)
		if i%2 == 0 {
			left.Add(s)
			continue
		}
		right.Add(s)
	}
	left.Merge(right)
	a, b := Choose(whole, Request{Class: "c"}, options()), Choose(left, Request{Class: "c"}, options())
	if diff := cmp.Diff(a, b); diff != "" {
		t.Fatal(diff)
	}
	left.Scale(0.5)
	if got := left.Ratings(Key{Class: "c", Version: small}); got != 100 {
		t.Fatalf("weight %v after halving 200 ratings", got)
	}
	left.Forget(small)
	if left.Ratings(Key{Class: "c", Version: small}) != 0 {
		t.Fatal("evidence survived")
	}
}

// Guards against exploration that reaches callers, runs late or is too frequent.
func TestExploreAlwaysEscalates(t *testing.T) {
	e := NewEvidence()
	d := Choose(e, Request{Class: "c", Quality: 0.9}, options())
	count := func(r Request) int {
		rng, count := rand.New(rand.NewPCG(5, 6)), 0
		for range 10000 {
			chain, ok := Explore(e, d, r, options(), rng)
			if !ok {
				continue
			}
			count++
			if chain.First != small || chain.Second != large || !chain.Escalate(1) {
				t.Fatalf("explored %+v", chain)
			}
		}
		return count
	}
	if got := count(Request{Class: "c"}); got < 1800 || got > 2200 {
		t.Errorf("%d of 10000 explored without ratings, want about 2000", got)
	}
	learn(e, learnRatings)
	if got := count(Request{Class: "c"}); got < 130 || got > 270 {
		t.Errorf("%d of 10000 explored with ratings, want about 200", got)
	}
	if got := count(Request{Class: "c", DeadlineLeft: time.Second}); got != 0 {
		t.Errorf("%d explored although two steps are late", got)
	}
}

// Guards against a first token that a held-back first answer delays although few requests escalate.
func TestHeldBackFirstAnswerDelaysFirstToken(t *testing.T) {
	e := NewEvidence()
	for i := range 2000 {
		s := Sample{Key: Key{Class: "c", Version: small}, Confidence: 0.85, Score: 0.92}
		if i%50 == 0 {
			s.Confidence, s.Score = 0.05, 0
		}
		e.Add(s)
	}
	request := Request{Class: "c", Quality: 0.905, FirstToken: 350 * time.Millisecond}
	if d := Choose(e, request, options()); d.Chain.First != small || !d.Chain.TwoSteps() {
		t.Fatalf("chose %+v, want a chain whose first answer takes 300 ms", d)
	}
	request.FirstToken = 250 * time.Millisecond
	if d := Choose(e, request, options()); d.Chain.TwoSteps() {
		t.Fatalf("chose %+v although its first answer takes 300 ms", d)
	}
	early := options()
	early[0].Decided = 200 * time.Millisecond
	if d := Choose(e, request, early); !d.Chain.TwoSteps() {
		t.Fatalf("chose %+v although the confidence is known after 200 ms", d)
	}
}

func BenchmarkChoose(b *testing.B) {
	e, many := NewEvidence(), []Option{}
	learn(e, 600)
	for range 3 {
		many = append(many, options()...)
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose(e, Request{Class: "c", Quality: 0.9}, many)
	}
}
