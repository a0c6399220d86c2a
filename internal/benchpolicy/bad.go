package benchpolicy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/rollout"
)

// badCase is a version that serves a class and turns worse.
type badCase struct {
	name      string
	instances int
	// rate is the mean number of requests of the class per second over a day.
	rate float64
	// mean and floor are the quality before the change and the level that the choice of chain counts on.
	mean, floor float64
	// fresh is true for a new version that is worse from its first request.
	fresh bool
}

// exposure is the outcome of one run.
type exposure struct {
	served  float64 // requests until the last one
	seconds float64 // until in force at the last instance
	share   float64 // served against a day of the class
	missed  bool
}

const (
	daySeconds = 24 * 60 * 60
	// dailyLoad is the mean load of a day: half of a peak of 70%.
	dailyLoad = 0.35
	// scaleRate is the mean rate of one of ten classes at the target scale, half of a peak of 7,300 requests/s.
	scaleRate = 365
	// pollRate bounds the polls of all instances, see section 6.1: the interval is max(1 s, n/205 s).
	pollRate = 205.0
	// storeDelay is the write of a revision to the table service.
	storeDelay = 50 * time.Millisecond
	// settledRatings are observed before the change, so that the detector is in its usual state.
	settledRatings = 2000
	// maxDays bounds a run in which nothing is found.
	maxDays = 3
	// acceptedMean and acceptedFloor are those of the first step of a chain as learnt in experiment (a): the bound less the
	// tolerance of 3 points.
	acceptedMean, acceptedFloor = 0.90, 0.865
)

func badCases() []badCase {
	g := guild()
	large := &g.models[largeModel]
	rate := dailyLoad * g.capacity(large) * g.classes[1].share
	alone, target := large.quality(), g.quality
	return []badCase{
		{"Guild restock, one step", 6, rate, alone, target, false},
		{"Guild restock, first step of a chain", 6, rate, acceptedMean, acceptedFloor, false},
		{"Guild restock, new version", 6, rate, alone, target, true},
		{"400 instances, one step", 400, scaleRate, alone, target, false},
		{"400 instances, first step of a chain", 400, scaleRate, acceptedMean, acceptedFloor, false},
	}
}

// badRun is one run on a virtual clock. It hands the real evidence one rating at a time.
type badRun struct {
	badCase
	rng      *rand.Rand
	evidence *rollout.Evidence
	rated    []ratedAnswer
	suspects bool
	// suspectAt is when the instances learn of a suspicion.
	suspectAt float64
	found     float64
}

func newBadRun(c badCase, seed uint64) *badRun {
	return &badRun{badCase: c, rng: rand.New(rand.NewPCG(seed, 5)), evidence: rollout.NewEvidence()}
}

type ratedAnswer struct {
	due   float64
	score float64
}

func (b *badRun) sample(score float64) rollout.Sample {
	version := guild().models[largeModel].version
	return rollout.Sample{Class: "c", Version: version, Rating: rollout.Rating{Score: score, QualityFloor: b.floor}}
}

func (b *badRun) draw(mean float64) float64 { return drawScore(b.rng, mean) }

// expose runs until the quarantine is in force at every instance.
func (b *badRun) expose(worse float64) exposure {
	if !b.fresh {
		for range settledRatings {
			b.evidence.Observe(b.sample(b.draw(b.mean)))
		}
	}
	var out exposure
	now, inForce := 0.0, []float64(nil)
	last := float64(maxDays * daySeconds)
	for now < last {
		now += b.rng.ExpFloat64() / b.rate
		b.observe(now)
		if b.found > 0 && inForce == nil {
			inForce, last = b.inForce()
		}
		if inForce != nil && now >= inForce[b.rng.IntN(len(inForce))] {
			continue
		}
		if b.fresh && !rollout.Includes(b.evidence.RequestFraction("c", b.sample(0).Version), b.rng.Uint64()) && inForce == nil {
			continue
		}
		out.served++
		b.sampleAnswer(now, b.mean-worse)
	}
	out.missed = inForce == nil
	out.seconds = last
	out.share = out.served / (b.rate * daySeconds)
	return out
}

// sampleAnswer sends an answer to the rating service with the share in force.
func (b *badRun) sampleAnswer(now, mean float64) {
	all := b.suspects && now >= b.suspectAt || b.fresh && b.evidence.Verdict(b.sample(0).Version).Ratings < learningRatings
	if !all && b.rng.Float64() >= ratingShare {
		return
	}
	handOver := b.rng.Float64()
	b.rated = append(b.rated, ratedAnswer{now + ratingDelay.Seconds() + handOver, b.draw(mean)})
}

// learningRatings is the number of ratings up to which every answer of a new version is rated, as in package cascade.
const learningRatings = 500

func (b *badRun) observe(now float64) {
	for len(b.rated) > 0 && b.rated[0].due <= now && b.found == 0 {
		r := b.rated[0]
		b.rated = b.rated[1:]
		verdict := b.evidence.Observe(b.sample(r.score))
		if suspects := verdict.Kind == rollout.Suspect; suspects != b.suspects {
			b.suspects, b.suspectAt = suspects, r.due+1
		}
		if verdict.Kind == rollout.Quarantine {
			b.found = r.due
		}
	}
}

// inForce returns when each instance stops: by its next hand-over or by its next poll, whichever is first.
func (b *badRun) inForce() ([]float64, float64) {
	poll := max(1, float64(b.instances)/pollRate)
	times, last := make([]float64, b.instances), 0.0
	for i := range times {
		handOver := b.found + b.rng.Float64()
		polled := b.found + storeDelay.Seconds() + poll*b.rng.Float64()
		times[i] = min(handOver, polled)
		last = max(last, times[i])
	}
	return times, last
}

// Bad measures exposure to a version that turns bad and false quarantines.
func Bad(out io.Writer, plots string, seeds int) error {
	fmt.Fprintf(out, "\n### (b) Requests served by a version after it turned worse, %d seeds\n\n", seeds)
	fmt.Fprintln(out, "| case | requests a day | points worse | requests until the last | least | most | seconds until the last | share of a day % | not found in 3 days |")
	fmt.Fprintln(out, "|---|--:|--:|--:|--:|--:|--:|--:|--:|")
	for _, c := range badCases() {
		for _, points := range []float64{5, 15, 40} {
			writeExposure(out, c, points, seeds)
		}
	}
	fmt.Fprintf(out, "\n### (b) Good versions quarantined in a month, %d seeds\n\n", seeds)
	fmt.Fprintln(out, "| case | mean less floor | ratings a month | quarantines a month | share of answers rated % |")
	fmt.Fprintln(out, "|---|--:|--:|--:|--:|")
	for _, c := range badCases() {
		if c.fresh {
			continue
		}
		writeFalse(out, c, seeds)
		worst := c
		worst.name += ", exactly at the floor"
		worst.mean = c.floor
		if c.instances == 6 {
			writeFalse(out, worst, seeds)
		}
	}
	return turningTable(out, plots, seeds)
}

func writeExposure(out io.Writer, c badCase, points float64, seeds int) {
	var served, seconds, shares []float64
	missed := 0
	for seed := range seeds {
		e := newBadRun(c, uint64(seed)).expose(points / 100)
		served, seconds, shares = append(served, e.served), append(seconds, e.seconds), append(shares, 100*e.share)
		if e.missed {
			missed++
		}
	}
	s, t, p := spreadOfValues(served), spreadOfValues(seconds), spreadOfValues(shares)
	fmt.Fprintf(out, "| %s | %.0f | %.0f | %.0f ± %.0f | %.0f | %.0f | %.0f ± %.0f | %.3f ± %.3f | %d |\n", c.name, c.rate*daySeconds, points,
		s.mean, s.deviation, s.least, s.most, t.mean, t.deviation, p.mean, p.deviation, missed)
}

// writeFalse counts the quarantines of a version that does not change. Each starts the detector anew.
func writeFalse(out io.Writer, c badCase, seeds int) {
	var counts, ratings, shares []float64
	requests := c.rate * daySeconds * 30
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(uint64(seed), 6))
		found, rated := 0.0, 0.0
		var d rollout.Detector
		for used := 0.0; used < requests; rated++ {
			step := 1 / ratingShare
			if d.Suspicious() {
				step = 1
			}
			used += step
			d.Observe(rollout.Rating{Score: drawScore(rng, c.mean), QualityFloor: c.floor})
			if d.Value() >= rollout.QuarantineThreshold {
				found++
				d = rollout.Detector{}
			}
		}
		counts, ratings, shares = append(counts, found), append(ratings, rated), append(shares, 100*rated/requests)
	}
	n, r, p := spreadOfValues(counts), spreadOfValues(ratings), spreadOfValues(shares)
	fmt.Fprintf(out, "| %s | %.3f | %.0f | %.2f ± %.2f (%.0f to %.0f) | %.1f |\n",
		c.name, c.mean-c.floor, r.mean, n.mean, n.deviation, n.least, n.most, p.mean)
}

// turningTable runs the Guild with its small version turning 15 points worse, for all policies.
func turningTable(out io.Writer, plots string, seeds int) error {
	const before, measured = 60_000, 40_000
	s := guild()
	var results []policyResults
	for _, p := range policies() {
		r := costRun(s, p, before)
		r.requests, r.turnAt, r.turnBy = before+measured, before, 0.15
		results = append(results, policyResults{p.name, parallel(r, seeds)})
	}
	fmt.Fprintf(out, "\n### (b) Guild, the small version turns 15 points worse; the %d requests after it\n\n", measured)
	writeTable(out, results)
	return plotExposure(plots, results)
}
