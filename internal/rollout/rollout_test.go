package rollout

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

var version = declaration.VersionID{Model: "m", Version: "2"}

func sample(score, floor float64) Sample {
	return Sample{Class: "c", Version: version, Rating: Rating{Score: score, Floor: floor}}
}

func coin(rng *rand.Rand, mean float64) float64 {
	if rng.Float64() < mean {
		return 1
	}
	return 0
}

// Guards against a value that is not an e-detector: at the floor exactly, its mean after t ratings must be t. The mean is
// taken exactly, over all outcomes, because the value has a heavy tail.
func TestDetectorMeanAtFloor(t *testing.T) {
	const ratings, floor = 10, 0.85
	mean := 0.0
	for outcomes := range 1 << ratings {
		var d Detector
		probability := 1.0
		for i := range ratings {
			score := float64(outcomes >> i & 1)
			probability *= floor*score + (1-floor)*(1-score)
			d.Observe(Rating{Score: score, Floor: floor})
		}
		mean += probability * d.Value()
	}
	if math.Abs(mean-ratings) > 1e-9 {
		t.Fatalf("mean value %v after %d ratings", mean, ratings)
	}
}

// Guards against a bad version that stays, a verdict that is forgotten and a false quarantine of a good version.
func TestBadVersionIsQuarantinedAndGoodOneKept(t *testing.T) {
	rng, e := rand.New(rand.NewPCG(2, 2)), NewEvidence()
	for i := range 20000 {
		if v := e.Observe(sample(coin(rng, 0.9), 0.85)); v.Kind == Quarantine {
			t.Fatalf("good version quarantined after %d ratings: %s", i, v.Reason())
		}
	}
	if e.Share("c", version) != 1 {
		t.Fatalf("share %v after 20000 good ratings", e.Share("c", version))
	}
	count := 0
	for e.Observe(sample(coin(rng, 0.5), 0.85)).Kind != Quarantine {
		if count++; count > 100 {
			t.Fatal("not quarantined after 100 bad ratings")
		}
	}
	if v := e.Observe(sample(1, 0.85)); v.Kind != Quarantine || e.Share("c", version) != 0 {
		t.Fatalf("verdict %+v was taken back", v)
	}
	e.Forget(version)
	if v := e.Verdict(version); v.Kind != Keep || e.Share("c", version) != FirstShare {
		t.Fatalf("verdict %+v after Forget", v)
	}
}

// Guards against a share that widens for a version below the tolerance.
func TestShareDoublesOnlyOnEvidence(t *testing.T) {
	rng, widened := rand.New(rand.NewPCG(3, 3)), 0
	const runs = 400
	for range runs {
		var p Progress
		for range 500 {
			if p.Observe(Rating{Score: coin(rng, 0.79), Floor: 0.85}) {
				widened++
				break
			}
		}
	}
	if widened > runs/stepEvidence {
		t.Fatalf("%d of %d bad versions widened, want at most 1 in %v", widened, runs, stepEvidence)
	}
	var p Progress
	for want := FirstShare; want < 1; want *= 2 {
		if math.Abs(p.Share()-want) > 1e-9 {
			t.Fatalf("share %v, want %v", p.Share(), want)
		}
		for !p.Observe(Rating{Score: 1, Floor: 0.85}) {
		}
	}
	if p.Share() != 1 {
		t.Fatalf("share %v at the last step", p.Share())
	}
}

// Guards against evidence that is lost when an owner hands over to another.
func TestMergeKeepsEvidence(t *testing.T) {
	a, b := NewEvidence(), NewEvidence()
	for range 7 {
		a.Observe(sample(0, 0.85))
		b.Observe(sample(0, 0.85))
	}
	before := a.Verdict(version).Value + b.Verdict(version).Value
	a.Merge(b)
	if v := a.Verdict(version); v.Value != before || v.Ratings != 14 || v.Kind != Quarantine {
		t.Fatalf("merged verdict %+v, want value %v", v, before)
	}
}

// Guards against suspicion that comes too late to help and against rating everything of a good version.
func TestSuspicion(t *testing.T) {
	rng, e, suspected := rand.New(rand.NewPCG(4, 4)), NewEvidence(), 0
	for range 10000 {
		if e.Observe(sample(coin(rng, 0.9), 0.85)).Kind == Suspect {
			suspected++
		}
	}
	if suspected > 500 {
		t.Fatalf("good version suspected after %d of 10000 ratings", suspected)
	}
	if RatingShare(0.05, Suspect) != 1 || RatingShare(0.05, Keep) != 0.05 {
		t.Fatal("wrong share to rate")
	}
}

// Guards against sessions that leave a version when its share widens.
func TestIncludesIsMonotone(t *testing.T) {
	rng, included := rand.New(rand.NewPCG(5, 5)), 0
	for range 10000 {
		key := rng.Uint64()
		if Includes(0.02, key) {
			included++
			if !Includes(0.04, key) {
				t.Fatal("key left as the share widened")
			}
		}
	}
	if included < 120 || included > 280 {
		t.Fatalf("%d of 10000 included, want about 200", included)
	}
}
