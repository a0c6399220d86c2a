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

// Guards against figures that differ between runs of one seed, lost requests and versions that are not allowed.
func TestRunsAreRepeatableAndComplete(t *testing.T) {
	for _, p := range policies() {
		a, b := newWorld(smallRun(p, 1)).simulate(), newWorld(smallRun(p, 1)).simulate()
		if diff := cmp.Diff(a, b, cmp.AllowUnexported(result{}, percentiles{})); diff != "" {
			t.Errorf("%s: two runs of one seed differ: %s", p.name, diff)
		}
		if a.answered+a.refused != 1000 || a.wrong != 0 {
			t.Errorf("%s: %v answered, %v refused, %v wrong of 1000", p.name, a.answered, a.refused, a.wrong)
		}
	}
}

// Guards against a turned version that no one notices in the world, and against a baseline that is measured without it.
func TestTurnedVersionIsExposed(t *testing.T) {
	exposed := map[string]float64{}
	for _, p := range policies()[:3] {
		r := smallRun(p, 2)
		r.requests, r.turnAt, r.turnBy = 10_000, 4_000, 0.4
		w := newWorld(r)
		exposed[p.name] = w.simulate().exposed
		if p.learns && !w.held[smallModel] {
			t.Errorf("%s: the turned version is not in quarantine", p.name)
		}
	}
	if exposed["always cheapest"] < 5_000 || exposed["always best"] != 0 || exposed["cicadawall"] > 500 {
		t.Fatalf("exposed %v", exposed)
	}
}

// Guards against a bad-version run that never ends or counts nothing.
func TestExposureEndsWithQuarantine(t *testing.T) {
	for _, c := range badCases() {
		e := newBadRun(c, 1).expose(0.4)
		if e.missed || e.served == 0 || e.share > 0.005 {
			t.Errorf("%s: %+v", c.name, e)
		}
	}
}
