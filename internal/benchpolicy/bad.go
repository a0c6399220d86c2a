package benchpolicy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/rollout"
)

// badCase describes a version that serves a class and whose quality drops.
type badCase struct {
	name      string
	instances int
	// rate is the mean request rate of the class over a day, per second.
	rate float64
	// meanQuality is the quality before the drop; qualityFloor is the quality that the choice of the chain relies on.
	meanQuality, qualityFloor float64
	// newVersion is true for a newly rolled-out version that is worse from its first request.
	newVersion bool
}

// exposure is the outcome of one run: what the bad version served until its quarantine was in force at every instance.
type exposure struct {
	served      float64 // requests answered by the bad version
	seconds     float64 // until the quarantine is in force at every instance
	dayFraction float64 // served as a fraction of a day's requests of the class
	undetected  bool
}

const (
	secondsPerDay = 24 * 60 * 60
	// dailyLoad is the mean load over a day: half of a peak of 70%.
	dailyLoad = 0.35
	// scaleRate is the mean request rate of one of ten classes at the target scale: half of a peak of 7,300 requests/s.
	scaleRate = 365
	// maxPollRate is the maximum number of polls per second of all instances together: each of n instances polls every
	// max(1 s, n/205 s). See section 6.1 of the design page.
	maxPollRate = 205.0
	// storeDelay is the time to write a revision to the table service.
	storeDelay = 50 * time.Millisecond
	// steadyStateRatings is the number of ratings observed before the drop, so that the detector starts in its steady state.
	steadyStateRatings = 2000
	// maxDays is the length of a run in which the drop is not detected.
	maxDays = 3
	// firstStepMean and firstStepFloor are the quality and the quality floor of the first step of a chain as learnt in
	// experiment (a); the floor is the confidence bound less the tolerance of 3 points.
	firstStepMean, firstStepFloor = 0.90, 0.865
)

func badCases() []badCase {
	g := guild()
	large := &g.models[largeModel]
	rate := dailyLoad * g.capacity(large) * g.classes[1].requestFraction
	singleStepQuality, target := large.meanQuality(), g.qualityTarget
	return []badCase{
		{"Guild restock, one step", 6, rate, singleStepQuality, target, false},
		{"Guild restock, first step of a chain", 6, rate, firstStepMean, firstStepFloor, false},
		{"Guild restock, new version", 6, rate, singleStepQuality, target, true},
		{"400 instances, one step", 400, scaleRate, singleStepQuality, target, false},
		{"400 instances, first step of a chain", 400, scaleRate, firstStepMean, firstStepFloor, false},
	}
}

// badRun is one run on a virtual clock. It adds ratings one at a time to the production rollout evidence.
type badRun struct {
	badCase
	rng            *rand.Rand
	evidence       *rollout.Evidence
	pendingRatings []ratedAnswer
	suspected      bool
	// suspectAt is the time at which the instances learn that the version became suspected or stopped being so.
	suspectAt  float64
	detectedAt float64
}

func newBadRun(c badCase, seed uint64) *badRun {
	return &badRun{badCase: c, rng: rand.New(rand.NewPCG(seed, 5)), evidence: rollout.NewEvidence()}
}

type ratedAnswer struct {
	dueAt float64
	score float64
}

func (b *badRun) sample(score float64) rollout.Sample {
	version := guild().models[largeModel].version
	return rollout.Sample{Class: "c", Version: version, Rating: rollout.Rating{Score: score, QualityFloor: b.qualityFloor}}
}

func (b *badRun) drawScore(mean float64) float64 { return drawScore(b.rng, mean) }

// expose simulates requests until the quarantine is in force at every instance, or for maxDays if there is none.
func (b *badRun) expose(qualityDrop float64) exposure {
	if !b.newVersion {
		for range steadyStateRatings {
			b.evidence.Observe(b.sample(b.drawScore(b.meanQuality)))
		}
	}
	var out exposure
	now, stopTimes := 0.0, []float64(nil)
	end := float64(maxDays * secondsPerDay)
	for now < end {
		now += b.rng.ExpFloat64() / b.rate
		b.observe(now)
		if b.detectedAt > 0 && stopTimes == nil {
			stopTimes, end = b.quarantineTimes()
		}
		if stopTimes != nil && now >= stopTimes[b.rng.IntN(len(stopTimes))] {
			continue
		}
		if b.newVersion && !rollout.Includes(b.evidence.RequestFraction("c", b.sample(0).Version), b.rng.Uint64()) && stopTimes == nil {
			continue
		}
		out.served++
		b.sampleAnswer(now, b.meanQuality-qualityDrop)
	}
	out.undetected = stopTimes == nil
	out.seconds = end
	out.dayFraction = out.served / (b.rate * secondsPerDay)
	return out
}

// sampleAnswer sends an answer to the rating service: always while the version is suspected or new, else with probability
// ratingFraction.
func (b *badRun) sampleAnswer(now, mean float64) {
	rateAll := b.suspected && now >= b.suspectAt || b.newVersion && b.evidence.Verdict(b.sample(0).Version).Ratings < learningRatings
	if !rateAll && b.rng.Float64() >= ratingFraction {
		return
	}
	transferDelay := b.rng.Float64()
	b.pendingRatings = append(b.pendingRatings, ratedAnswer{now + ratingDelay.Seconds() + transferDelay, b.drawScore(mean)})
}

// learningRatings is the number of ratings up to which every answer of a new version is rated, as in package cascade.
const learningRatings = 500

func (b *badRun) observe(now float64) {
	for len(b.pendingRatings) > 0 && b.pendingRatings[0].dueAt <= now && b.detectedAt == 0 {
		r := b.pendingRatings[0]
		b.pendingRatings = b.pendingRatings[1:]
		verdict := b.evidence.Observe(b.sample(r.score))
		if suspects := verdict.Kind == rollout.Suspect; suspects != b.suspected {
			b.suspected, b.suspectAt = suspects, r.dueAt+1
		}
		if verdict.Kind == rollout.Quarantine {
			b.detectedAt = r.dueAt
		}
	}
}

// quarantineTimes returns the time at which each instance stops using the version, and the latest of these times. An instance
// stops at its next transfer of ratings or at its next poll, whichever comes first.
func (b *badRun) quarantineTimes() ([]float64, float64) {
	pollInterval := max(1, float64(b.instances)/maxPollRate)
	times, last := make([]float64, b.instances), 0.0
	for i := range times {
		transferAt := b.detectedAt + b.rng.Float64()
		pollAt := b.detectedAt + storeDelay.Seconds() + pollInterval*b.rng.Float64()
		times[i] = min(transferAt, pollAt)
		last = max(last, times[i])
	}
	return times, last
}

// BadVersion measures the exposure to a version whose quality drops, and the rate of false quarantines.
func BadVersion(out io.Writer, plots string, seeds int) error {
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
		if c.newVersion {
			continue
		}
		writeFalseQuarantines(out, c, seeds)
		worst := c
		worst.name += ", exactly at the floor"
		worst.meanQuality = c.qualityFloor
		if c.instances == 6 {
			writeFalseQuarantines(out, worst, seeds)
		}
	}
	return writeDegradationTable(out, plots, seeds)
}

func writeExposure(out io.Writer, c badCase, points float64, seeds int) {
	var served, seconds, shares []float64
	missed := 0
	for seed := range seeds {
		e := newBadRun(c, uint64(seed)).expose(points / 100)
		served, seconds, shares = append(served, e.served), append(seconds, e.seconds), append(shares, 100*e.dayFraction)
		if e.undetected {
			missed++
		}
	}
	s, t, p := statsOfValues(served), statsOfValues(seconds), statsOfValues(shares)
	fmt.Fprintf(out, "| %s | %.0f | %.0f | %.0f ± %.0f | %.0f | %.0f | %.0f ± %.0f | %.3f ± %.3f | %d |\n", c.name, c.rate*secondsPerDay, points,
		s.mean, s.stddev, s.min, s.max, t.mean, t.stddev, p.mean, p.stddev, missed)
}

// writeFalseQuarantines counts the quarantines of a version whose quality does not change. Each quarantine resets the detector.
func writeFalseQuarantines(out io.Writer, c badCase, seeds int) {
	var counts, ratings, shares []float64
	requests := c.rate * secondsPerDay * 30
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(uint64(seed), 6))
		quarantines, rated := 0.0, 0.0
		var d rollout.Detector
		for answered := 0.0; answered < requests; rated++ {
			answersPerRating := 1 / ratingFraction
			if d.Suspicious() {
				answersPerRating = 1
			}
			answered += answersPerRating
			d.Observe(rollout.Rating{Score: drawScore(rng, c.meanQuality), QualityFloor: c.qualityFloor})
			if d.Value() >= rollout.QuarantineThreshold {
				quarantines++
				d = rollout.Detector{}
			}
		}
		counts, ratings, shares = append(counts, quarantines), append(ratings, rated), append(shares, 100*rated/requests)
	}
	n, r, p := statsOfValues(counts), statsOfValues(ratings), statsOfValues(shares)
	fmt.Fprintf(out, "| %s | %.3f | %.0f | %.2f ± %.2f (%.0f to %.0f) | %.1f |\n",
		c.name, c.meanQuality-c.qualityFloor, r.mean, n.mean, n.stddev, n.min, n.max, p.mean)
}

// writeDegradationTable simulates the Guild site under each policy while the quality of its small version drops by 15 points.
func writeDegradationTable(out io.Writer, plots string, seeds int) error {
	const before, measured = 60_000, 40_000
	s := guild()
	var results []policyResults
	for _, p := range policies() {
		r := costRun(s, p, before)
		r.requests, r.degradeAt, r.degradeBy = before+measured, before, 0.15
		results = append(results, policyResults{p.name, runSeeds(r, seeds)})
	}
	fmt.Fprintf(out, "\n### (b) Guild, the small version turns 15 points worse; the %d requests after it\n\n", measured)
	writeTable(out, results)
	return plotExposure(plots, results)
}
