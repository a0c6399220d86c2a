package rollout

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

var version = declaration.VersionID{Model: "m", Version: "2"}

func sample(score, floor float64) Sample {
	return Sample{Class: "c", Version: version, Rating: Rating{Score: score, QualityFloor: floor}}
}

func drawPassOrFail(rng *rand.Rand, mean float64) float64 {
	if rng.Float64() < mean {
		return 1
	}
	return 0
}

// Guards against a detector value that breaks the bound on false quarantines: if the mean rating equals the quality floor,
// the mean of the value after t ratings must be t. The mean is computed over all outcomes because the value has a heavy
// tail.
func TestDetectorMeanAtFloor(t *testing.T) {
	const ratings, floor = 10, 0.85
	mean := 0.0
	for outcomes := range 1 << ratings {
		var d Detector
		probability := 1.0
		for i := range ratings {
			score := float64(outcomes >> i & 1)
			probability *= floor*score + (1-floor)*(1-score)
			d.Observe(Rating{Score: score, QualityFloor: floor})
		}
		mean += probability * d.Value()
	}
	if math.Abs(mean-ratings) > 1e-9 {
		t.Fatalf("mean detector value is %v after %d ratings, want the number of ratings", mean, ratings)
	}
}

// Guards against a bad version that is not quarantined, a quarantine that is revoked by later ratings, and a false
// quarantine of a good version.
func TestBadVersionIsQuarantinedAndGoodOneKept(t *testing.T) {
	rng, e := rand.New(rand.NewPCG(2, 2)), NewEvidence()
	for i := range 20000 {
		if v := e.Observe(sample(drawPassOrFail(rng, 0.9), 0.85)); v.Kind == Quarantine {
			t.Fatalf("good version quarantined after %d ratings: %s", i, v.Reason())
		}
	}
	if e.RequestFraction("c", version) != 1 {
		t.Fatalf("request fraction is %v after 20000 good ratings, want 1", e.RequestFraction("c", version))
	}
	count := 0
	for e.Observe(sample(drawPassOrFail(rng, 0.5), 0.85)).Kind != Quarantine {
		if count++; count > 100 {
			t.Fatal("not quarantined after 100 bad ratings")
		}
	}
	if v := e.Observe(sample(1, 0.85)); v.Kind != Quarantine || e.RequestFraction("c", version) != 0 {
		t.Fatalf("quarantine was revoked by a good rating: verdict %+v", v)
	}
	e.Forget(version)
	if v := e.Verdict(version); v.Kind != Keep || e.RequestFraction("c", version) != InitialFraction {
		t.Fatalf("verdict %+v after Forget", v)
	}
}

// Guards against a roll-out that widens although the version is below its quality floor by more than the tolerance.
func TestShareDoublesOnlyOnEvidence(t *testing.T) {
	rng, widened := rand.New(rand.NewPCG(3, 3)), 0
	const runs = 400
	for range runs {
		var p Progress
		for range 500 {
			if p.Observe(Rating{Score: drawPassOrFail(rng, 0.79), QualityFloor: 0.85}) {
				widened++
				break
			}
		}
	}
	if widened > runs/widenThreshold {
		t.Fatalf("roll-outs of %d of %d bad versions widened, want at most 1 in %v", widened, runs, widenThreshold)
	}
	var p Progress
	for want := InitialFraction; want < 1; want *= 2 {
		if math.Abs(p.Fraction()-want) > 1e-9 {
			t.Fatalf("fraction is %v, want %v", p.Fraction(), want)
		}
		for !p.Observe(Rating{Score: 1, QualityFloor: 0.85}) {
		}
	}
	if p.Fraction() != 1 {
		t.Fatalf("fraction is %v at the last step, want 1", p.Fraction())
	}
}

// Guards against evidence that is lost when the ownership of a class moves to another instance.
func TestMergeKeepsEvidence(t *testing.T) {
	a, b := NewEvidence(), NewEvidence()
	for range 7 {
		a.Observe(sample(0, 0.85))
		b.Observe(sample(0, 0.85))
	}
	before := a.Verdict(version).Value + b.Verdict(version).Value
	a.Merge(b)
	if v := a.Verdict(version); v.Value != before || v.Ratings != 14 || v.Kind != Quarantine {
		t.Fatalf("merged verdict is %+v, want quarantine with value %v after 14 ratings", v, before)
	}
}

// Guards against a good version that is suspected often, and against a suspected version whose answers are not all rated.
func TestSuspicion(t *testing.T) {
	rng, e, suspected := rand.New(rand.NewPCG(4, 4)), NewEvidence(), 0
	for range 10000 {
		if e.Observe(sample(drawPassOrFail(rng, 0.9), 0.85)).Kind == Suspect {
			suspected++
		}
	}
	if suspected > 500 {
		t.Fatalf("good version suspected after %d of 10000 ratings", suspected)
	}
	if RatingFraction(0.05, Suspect) != 1 || RatingFraction(0.05, Keep) != 0.05 {
		t.Fatal("wrong fraction of answers to rate")
	}
}

// Guards against sessions that leave a version when its fraction of requests is widened.
func TestIncludesIsMonotone(t *testing.T) {
	rng, included := rand.New(rand.NewPCG(5, 5)), 0
	for range 10000 {
		key := rng.Uint64()
		if Includes(0.02, key) {
			included++
			if !Includes(0.04, key) {
				t.Fatal("key is excluded after the fraction was widened")
			}
		}
	}
	if included < 120 || included > 280 {
		t.Fatalf("%d of 10000 keys included, want about 200", included)
	}
}
