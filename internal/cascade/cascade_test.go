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
		{Version: small, ExpectedQuality: 0.8, Cost: 1, TimeToFirstToken: 100 * time.Millisecond, TotalTime: 300 * time.Millisecond},
		{Version: large, ExpectedQuality: 0.95, Cost: 20, TimeToFirstToken: 300 * time.Millisecond, TotalTime: time.Second},
	}
}

// addRatings adds ratings of class c, in which the small version is good if its confidence is high.
func addRatings(e *Evidence, count int) {
	for i := range count {
		confidence, score := 0.85, 0.94
		if i%3 == 0 {
			confidence, score = 0.25, 0.5
		}
		e.Add(Sample{Key: Key{Class: "c", Version: small}, Confidence: confidence, Score: score})
		e.Add(Sample{Key: Key{Class: "c", Version: large, EscalatedFrom: small}, Confidence: confidence, Score: 0.93})
		e.Add(Sample{Key: Key{Class: "c", Version: large}, Confidence: confidence, Score: 0.93})
	}
}

// Guards against a chain whose threshold does not separate the badly rated answers from the others, and against a chain that
// is more expensive than necessary.
func TestChooseLearnsThreshold(t *testing.T) {
	e := NewEvidence()
	addRatings(e, 600)
	d := Choose(e, Targets{Class: "c", MinQuality: 0.9}, options())
	if d.Unmet != UnmetNone || d.Chain.FirstVersion != small || d.Chain.SecondVersion != large {
		t.Fatalf("chose %+v", d)
	}
	if !d.Chain.ShouldEscalate(0.25) || d.Chain.ShouldEscalate(0.85) {
		t.Fatalf("threshold %v does not separate 0.25 from 0.85", d.Chain.Threshold)
	}
	withoutTarget := Choose(e, Targets{Class: "c"}, options())
	if want := withoutTarget.QualityBound - floorTolerance; withoutTarget.FirstQualityFloor != want {
		t.Fatalf("first quality floor is %v without a target, want %v", withoutTarget.FirstQualityFloor, want)
	}
	if d.Cost > 9 || d.FirstQualityFloor > 0.9 || d.SecondQualityFloor > 0.9 {
		t.Fatalf("cost is %v and quality floors are %v and %v, want at most 9, 0.9 and 0.9",
			d.Cost, d.FirstQualityFloor, d.SecondQualityFloor)
	}
}

// Guards against a chain that starts with a cheap version before enough ratings show its quality.
func TestFewRatingsDoNotMeetTarget(t *testing.T) {
	d := Choose(NewEvidence(), Targets{Class: "c", MinQuality: 0.9}, options())
	if d.Unmet != UnmetQuality || d.Chain.FirstVersion != large {
		t.Fatalf("chose %+v, want the large version as best effort", d)
	}
	e := NewEvidence()
	addRatings(e, 6)
	if d := Choose(e, Targets{Class: "c", MinQuality: 0.9}, options()); d.QualityBound >= 0.9 {
		t.Fatalf("quality bound is %v after 6 ratings, want less than 0.9", d.QualityBound)
	}
}

// Guards against chains that miss a latency target, and against a wrong unmet target in the decision.
func TestUnmetTargets(t *testing.T) {
	e := NewEvidence()
	addRatings(e, 600)
	tests := []struct {
		name    string
		request Targets
		options []Option
		unmet   UnmetTarget
		first   declaration.VersionID
	}{
		{"chain too slow", Targets{Class: "c", MinQuality: 0.9, TimeToDeadline: 1100 * time.Millisecond}, options(), "", large},
		{"first token late", Targets{Class: "c", MinQuality: 0.9, TimeToFirstToken: 500 * time.Millisecond}, options(), "", large},
		{"all late", Targets{Class: "c", TimeToDeadline: time.Millisecond}, options(), UnmetLatency, small},
		// Where its confidence is high, the small version is better than the large one, so the chain is the best effort.
		{"quality", Targets{Class: "c", MinQuality: 0.99}, options(), UnmetQuality, small},
		{"cost", Targets{Class: "c", MinQuality: 0.9, CostPer1000: 5000}, options(), UnmetCost, small},
		{"none", Targets{Class: "c"}, nil, UnmetNoVersion, declaration.VersionID{}},
		{"no target", Targets{Class: "c"}, options(), "", small},
	}
	for _, test := range tests {
		d := Choose(e, test.request, test.options)
		if d.Unmet != test.unmet || d.Chain.FirstVersion != test.first {
			t.Errorf("%s: chose %+v", test.name, d)
		}
	}
}

// Guards against merged evidence that differs from the evidence of one instance that saw all samples.
func TestMergeEqualsOneStream(t *testing.T) {
	combined, left, right := NewEvidence(), NewEvidence(), NewEvidence()
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range 200 {
		s := Sample{Key: Key{Class: "c", Version: small}, Score: float64(rng.IntN(5)) / 4, Confidence: rng.Float64()}
		combined.Add(s)
		if i%2 == 0 {
			left.Add(s)
			continue
		}
		right.Add(s)
	}
	left.Merge(right)
	a, b := Choose(combined, Targets{Class: "c"}, options()), Choose(left, Targets{Class: "c"}, options())
	if diff := cmp.Diff(a, b); diff != "" {
		t.Fatal(diff)
	}
	left.Scale(0.5)
	if got := left.RatingWeight(Key{Class: "c", Version: small}); got != 100 {
		t.Fatalf("weight is %v after halving 200 ratings, want 100", got)
	}
	left.Forget(small)
	if left.RatingWeight(Key{Class: "c", Version: small}) != 0 {
		t.Fatal("ratings remain after Forget")
	}
}

// Guards against exploration whose first answer reaches callers, that misses a latency target or that is too frequent.
func TestExploreAlwaysEscalates(t *testing.T) {
	e := NewEvidence()
	d := Choose(e, Targets{Class: "c", MinQuality: 0.9}, options())
	count := func(r Targets) int {
		rng, count := rand.New(rand.NewPCG(5, 6)), 0
		for range 10000 {
			chain, ok := Explore(e, d, r, options(), rng)
			if !ok {
				continue
			}
			count++
			if chain.FirstVersion != small || chain.SecondVersion != large || !chain.ShouldEscalate(1) {
				t.Fatalf("explored %+v", chain)
			}
		}
		return count
	}
	if got := count(Targets{Class: "c"}); got < 1800 || got > 2200 {
		t.Errorf("%d of 10000 requests explored without ratings, want about 2000", got)
	}
	addRatings(e, requiredRatings)
	if got := count(Targets{Class: "c"}); got < 130 || got > 270 {
		t.Errorf("%d of 10000 requests explored with ratings, want about 200", got)
	}
	if got := count(Targets{Class: "c", TimeToDeadline: time.Second}); got != 0 {
		t.Errorf("%d requests explored although two steps exceed the deadline", got)
	}
}

// Guards against a chain that misses the target for the time to first token because it withholds the first answer until the
// confidence is known, even if few requests escalate.
func TestHeldBackFirstAnswerDelaysFirstToken(t *testing.T) {
	e := NewEvidence()
	for i := range 2000 {
		s := Sample{Key: Key{Class: "c", Version: small}, Confidence: 0.85, Score: 0.92}
		if i%50 == 0 {
			s.Confidence, s.Score = 0.05, 0
		}
		e.Add(s)
	}
	request := Targets{Class: "c", MinQuality: 0.905, TimeToFirstToken: 350 * time.Millisecond}
	if d := Choose(e, request, options()); d.Chain.FirstVersion != small || !d.Chain.TwoSteps() {
		t.Fatalf("chose %+v, want a chain of two steps, as its first answer takes 300 ms of 350 ms", d)
	}
	request.TimeToFirstToken = 250 * time.Millisecond
	if d := Choose(e, request, options()); d.Chain.TwoSteps() {
		t.Fatalf("chose %+v although the first answer takes 300 ms of 250 ms", d)
	}
	early := options()
	early[0].TimeToConfidence = 200 * time.Millisecond
	if d := Choose(e, request, early); !d.Chain.TwoSteps() {
		t.Fatalf("chose %+v although the confidence is known after 200 ms of 250 ms", d)
	}
}

func BenchmarkChoose(b *testing.B) {
	e, many := NewEvidence(), []Option{}
	addRatings(e, 600)
	for range 3 {
		many = append(many, options()...)
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose(e, Targets{Class: "c", MinQuality: 0.9}, many)
	}
}
