package benchpolicy

import (
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/cascade"
	"github.com/cicadawall/cicadawall/internal/engine/prefix"
	"github.com/cicadawall/cicadawall/internal/rollout"
)

const (
	// ratingDelay is the time until a rating arrives, without the wait for the next transfer of ratings.
	ratingDelay = 10 * time.Second
	// ratingFraction is the fraction of answers that are rated.
	ratingFraction = 0.05
	// quarantineDelay is the time until a quarantine is in force at all instances: transfer of the rating, write to the store
	// and poll, of up to a second each.
	quarantineDelay = 2 * time.Second
	// rubricPoints is the number of points that a rating can award; the score is the fraction awarded.
	rubricPoints = 3
)

// dispatch chooses a server for the first step of a request and sends it.
func (w *world) dispatch(r *request) {
	w.send(r, w.policy.chooseFirstStep(w, r))
}

func (w *world) send(r *request, server int) {
	if server < 0 || len(w.servers[server].queue) >= maxQueuePerSlot*batchCapacity {
		w.result.countIf(w.measured(r), &w.result.refused)
		return
	}
	s, in := w.servers[server], w.instances[r.instance]
	if !w.allowed(r, s.model) {
		w.result.countIf(w.measured(r), &w.result.disallowed)
	}
	in.candidates[server].InFlight++
	in.candidates[server].SentSinceReport++
	in.sentTimes[server] = append(in.sentTimes[server], w.now)
	r.cost += answerCost(&w.site.models[s.model], &w.site.classes[r.class])
	a := &attempt{request: r, model: s.model, server: server, sentAt: w.now, escalated: r.escalated}
	w.schedule(w.now+w.networkDelay(in.zone, s.zone), func() { w.arrive(a) })
}

func (w *world) networkDelay(a, b string) time.Duration {
	if a == b {
		return 0
	}
	return w.site.zoneDelay
}

// completeAttempt delivers the answer of a finished attempt or escalates its request.
func (w *world) completeAttempt(a *attempt) {
	r := a.request
	in := w.instances[r.instance]
	in.candidates[a.server].InFlight--
	escalate := !a.escalated && r.chain.ShouldEscalate(r.confidence)
	w.sampleRating(a, !escalate)
	if !escalate {
		w.deliver(a)
		return
	}
	if a.decidedAt == 0 {
		w.escalate(r)
	}
}

func (w *world) escalate(r *request) {
	r.escalated = true
	w.send(r, w.routeToModel(r, w.modelOf(r.chain.SecondVersion)))
}

// decideEarly schedules the decision whether to escalate before the first answer ends. If the request escalates, the first
// answer is cancelled unless it was sampled for a rating.
func (w *world) decideEarly(s *server, a *attempt) {
	r := a.request
	tokens := min(w.confidenceTokens, w.site.classes[r.class].outputTokens)
	a.decidedAt = a.firstTokenAt + time.Duration(tokens)*a.interToken
	key := cascade.Key{Class: w.site.classes[r.class].name, Version: w.site.models[a.model].version}
	a.rated = w.drawRating(a, key)
	if !r.chain.ShouldEscalate(r.confidence) {
		return
	}
	w.schedule(a.decidedAt, func() {
		if !a.rated {
			a.cancelled = true
			w.instances[r.instance].candidates[a.server].InFlight--
			w.releaseSlot(s)
		}
		w.escalate(r)
	})
}

// drawRating decides at random whether an answer is rated, independently of its content.
func (w *world) drawRating(a *attempt, key cascade.Key) bool {
	if !w.policy.usesRatings {
		return false
	}
	fraction := cascade.RatingFraction(w.evidence, key, ratingFraction)
	return a.request.explored || w.suspected[a.model] || w.rng.Float64() < fraction
}

// deliver records the latency, cost and quality of an answer delivered to the caller.
func (w *world) deliver(a *attempt) {
	r := a.request
	if !w.measured(r) {
		return
	}
	c := &w.site.classes[r.class]
	returnDelay := w.networkDelay(w.instances[r.instance].zone, w.servers[a.server].zone) + w.site.clientDelay
	firstToken := a.firstTokenAt
	if r.chain.TwoSteps() && !a.escalated {
		firstToken = a.doneAt // a first answer is buffered until its confidence is known
		if a.decidedAt > 0 {
			firstToken = a.decidedAt
		}
	}
	wait := firstToken - r.arrivedAt + returnDelay + w.site.clientDelay
	total := a.doneAt - r.arrivedAt + returnDelay + w.site.clientDelay
	w.ttft.Update(wait.Seconds() * 1000)
	w.interToken.Update(a.interToken.Seconds() * 1000)
	w.result.answered++
	w.result.totalCost += r.cost
	w.result.qualitySum += w.trueQuality(a.model, r.hard)
	if (c.firstTokenTarget == 0 || wait <= c.firstTokenTarget) && total <= c.deadline {
		w.result.withinTarget++
	}
	if w.degraded {
		w.result.afterDegradation++
		if a.model == smallModel {
			w.result.degradedAnswers++
		}
	}
}

func (w *world) measured(r *request) bool { return r.number > w.warmup }

func (w *world) trueQuality(model int, hard bool) float64 {
	m := &w.site.models[model]
	quality := m.easyQuality
	if hard {
		quality = m.hardQuality
	}
	if w.degraded && model == smallModel && len(w.site.models) > 1 {
		quality = max(0, quality-w.degradeBy)
	}
	return quality
}

// drawScore draws the score of a rating with the given mean.
func drawScore(rng *rand.Rand, mean float64) float64 {
	points := 0
	for range rubricPoints {
		if rng.Float64() < mean {
			points++
		}
	}
	return float64(points) / rubricPoints
}

// sampleRating schedules the rating of an answer if it was sampled; the sampling is independent of the content of the answer.
func (w *world) sampleRating(a *attempt, delivered bool) {
	r := a.request
	key := cascade.Key{Class: w.site.classes[r.class].name, Version: w.site.models[a.model].version}
	floor := r.decision.FirstQualityFloor
	if a.escalated {
		key.EscalatedFrom = r.chain.FirstVersion
		floor = r.decision.SecondQualityFloor
	}
	if a.decidedAt == 0 {
		a.rated = w.drawRating(a, key)
	}
	if !a.rated {
		return
	}
	w.result.ratings++
	sample := cascade.Sample{Key: key, Score: drawScore(w.rng, w.trueQuality(a.model, r.hard)), Confidence: r.confidence}
	countsForRollout := delivered && !r.explored
	w.schedule(w.now+ratingDelay, func() { w.handleRating(a.model, sample, floor, countsForRollout) })
}

func (w *world) handleRating(model int, sample cascade.Sample, floor float64, countsForRollout bool) {
	w.evidence.Add(sample)
	if !countsForRollout || w.quarantined[model] {
		return
	}
	verdict := w.rolloutEvidence.Observe(rollout.Sample{
		Class: sample.Class, Version: sample.Version, Rating: rollout.Rating{Score: sample.Score, QualityFloor: floor},
	})
	w.suspected[model] = verdict.Kind == rollout.Suspect
	if verdict.Kind != rollout.Quarantine {
		return
	}
	if !w.degraded || model != smallModel {
		w.result.falseQuarantines++
	}
	w.schedule(w.now+quarantineDelay, func() {
		w.quarantined[model] = true
		clear(w.decisions)
	})
}

// sendCacheEvents reports the blocks that an engine evicted to all instances, with a delay and some loss.
func (w *world) sendCacheEvents(server int, evicted []prefix.Block) {
	if len(evicted) == 0 || w.rng.Float64() < cacheEventLoss {
		return
	}
	blocks := append([]prefix.Block(nil), evicted...)
	w.schedule(w.now+cacheEventLag, func() {
		for _, in := range w.instances {
			in.index.RemoveBlocks(w.servers[server].id, blocks)
		}
	})
}
