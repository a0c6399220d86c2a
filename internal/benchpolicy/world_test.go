package benchpolicy

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func smallRun(p policy, seed uint64) run {
	r := costRun(guild(), p, 500)
	r.requests, r.seed = 1500, seed
	return r
}

// Guards against results that differ between two runs with the same seed, against lost requests, and against requests sent to
// versions that their organisation may not use.
func TestRunsAreRepeatableAndComplete(t *testing.T) {
	for _, p := range policies() {
		a, b := newWorld(smallRun(p, 1)).simulate(), newWorld(smallRun(p, 1)).simulate()
		if diff := cmp.Diff(a, b, cmp.AllowUnexported(result{}, percentiles{})); diff != "" {
			t.Errorf("%s: two runs with the same seed differ: %s", p.name, diff)
		}
		if a.answered+a.refused != 1000 || a.disallowed != 0 {
			t.Errorf("%s: %v answered, %v refused, %v sent to a disallowed model, of 1000", p.name, a.answered, a.refused, a.disallowed)
		}
	}
}

// Guards against a simulation in which a degraded version is never quarantined, and against baselines that are measured without
// the degradation.
func TestDegradedVersionIsQuarantined(t *testing.T) {
	exposed := map[string]float64{}
	for _, p := range policies()[:3] {
		r := smallRun(p, 2)
		r.requests, r.degradeAt, r.degradeBy = 10_000, 4_000, 0.4
		w := newWorld(r)
		exposed[p.name] = w.simulate().degradedAnswers
		if p.usesRatings && !w.quarantined[smallModel] {
			t.Errorf("%s: the degraded version is not quarantined", p.name)
		}
	}
	if exposed["always cheapest"] < 5_000 || exposed["always best"] != 0 || exposed["cicadawall"] > 500 {
		t.Fatalf("answers of the degraded version by policy: %v", exposed)
	}
}

// Guards against a bad-version run in which the version is never quarantined, or no request is counted.
func TestExposureEndsWithQuarantine(t *testing.T) {
	for _, c := range badCases() {
		e := newBadRun(c, 1).expose(0.4)
		if e.undetected || e.served == 0 || e.dayFraction > 0.005 {
			t.Errorf("%s: %+v", c.name, e)
		}
	}
}
