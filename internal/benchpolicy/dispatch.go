package benchpolicy

import (
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/cascade"
	"github.com/cicadawall/cicadawall/internal/engine/prefix"
	"github.com/cicadawall/cicadawall/internal/rollout"
)

const (
	// ratingDelay is the time until a rating arrives, without the wait for the next hand-over.
	ratingDelay = 10 * time.Second
	// ratingShare is the share of answers that are rated.
	ratingShare = 0.05
	// inForce is the time until a quarantine is in force at all instances: hand-over, store and poll of up to a second each.
	inForce = 2 * time.Second
	// rubricPoints is the number of points of a rating; a rating is the share of points reached.
	rubricPoints = 3
)

// dispatch sends the first step of a request.
func (w *world) dispatch(r *request) {
	w.send(r, w.policy.first(w, r))
}

func (w *world) send(r *request, server int) {
	if server < 0 || len(w.servers[server].queue) >= maxQueue*batchCapacity {
		w.result.count(w.measured(r), &w.result.refused)
		return
	}
	s, in := w.servers[server], w.instances[r.instance]
	if !w.allowed(r, s.model) {
		w.result.count(w.measured(r), &w.result.wrong)
	}
	in.candidates[server].InFlight++
	in.candidates[server].SentSinceReport++
	in.sent[server] = append(in.sent[server], w.now)
	r.cost += cost(&w.site.models[s.model], &w.site.classes[r.class])
	a := &attempt{request: r, model: s.model, server: server, sent: w.now, second: r.second}
	w.at(w.now+w.network(in.zone, s.zone), func() { w.arrive(a) })
}

func (w *world) network(a, b string) time.Duration {
	if a == b {
		return 0
	}
	return w.site.zoneDelay
}

// answered handles the end of an attempt at a server.
func (w *world) answered(a *attempt) {
	r := a.request
	in := w.instances[r.instance]
	in.candidates[a.server].InFlight--
	escalate := !a.second && r.chain.ShouldEscalate(r.confidence)
	w.sampleRating(a, !escalate)
	if !escalate {
		w.deliver(a)
		return
	}
	if a.decided == 0 {
		w.escalate(r)
	}
}

func (w *world) escalate(r *request) {
	r.second = true
	w.send(r, w.routed(r, w.modelOf(r.chain.SecondVersion)))
}

// decideEarly schedules the decision on a first answer before its end. An answer that escalates is cancelled unless it is to
// be rated.
func (w *world) decideEarly(s *server, a *attempt) {
	r := a.request
	tokens := min(w.early, w.site.classes[r.class].outputTokens)
	a.decided = a.firstToken + time.Duration(tokens)*a.perToken
	key := cascade.Key{Class: w.site.classes[r.class].name, Version: w.site.models[a.model].version}
	a.rated = w.drawRating(a, key)
	if !r.chain.ShouldEscalate(r.confidence) {
		return
	}
	w.at(a.decided, func() {
		if !a.rated {
			a.ended = true
			w.instances[r.instance].candidates[a.server].InFlight--
			w.free(s)
		}
		w.escalate(r)
	})
}

// drawRating decides whether an answer is rated; it does not look at the answer.
func (w *world) drawRating(a *attempt, key cascade.Key) bool {
	if !w.policy.learns {
		return false
	}
	share := cascade.RatingFraction(w.evidence, key, ratingShare)
	return a.request.explored || w.suspect[a.model] || w.rng.Float64() < share
}

// deliver records the answer that reaches the caller.
func (w *world) deliver(a *attempt) {
	r := a.request
	if !w.measured(r) {
		return
	}
	c := &w.site.classes[r.class]
	back := w.network(w.instances[r.instance].zone, w.servers[a.server].zone) + w.site.clientDelay
	firstToken := a.firstToken
	if r.chain.TwoSteps() && !a.second {
		firstToken = a.done // a first answer is held back until its confidence is known
		if a.decided > 0 {
			firstToken = a.decided
		}
	}
	wait := firstToken - r.arrived + back + w.site.clientDelay
	total := a.done - r.arrived + back + w.site.clientDelay
	w.ttft.Update(wait.Seconds() * 1000)
	w.between.Update(a.perToken.Seconds() * 1000)
	w.result.answered++
	w.result.cost += r.cost
	w.result.quality += w.trueQuality(a.model, r.hard)
	if (c.firstToken == 0 || wait <= c.firstToken) && total <= c.deadline {
		w.result.within++
	}
	if w.turned {
		w.result.afterTurn++
		if a.model == smallModel {
			w.result.exposed++
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
	if w.turned && model == smallModel && len(w.site.models) > 1 {
		quality = max(0, quality-w.turnBy)
	}
	return quality
}

// drawScore draws a rating with the given mean.
func drawScore(rng *rand.Rand, mean float64) float64 {
	points := 0
	for range rubricPoints {
		if rng.Float64() < mean {
			points++
		}
	}
	return float64(points) / rubricPoints
}

// sampleRating samples one answer for a rating; the decision does not look at the answer.
func (w *world) sampleRating(a *attempt, delivered bool) {
	r := a.request
	key := cascade.Key{Class: w.site.classes[r.class].name, Version: w.site.models[a.model].version}
	floor := r.decision.FirstQualityFloor
	if a.second {
		key.EscalatedFrom = r.chain.FirstVersion
		floor = r.decision.SecondQualityFloor
	}
	if a.decided == 0 {
		a.rated = w.drawRating(a, key)
	}
	if !a.rated {
		return
	}
	w.result.ratings++
	sample := cascade.Sample{Key: key, Score: drawScore(w.rng, w.trueQuality(a.model, r.hard)), Confidence: r.confidence}
	judged := delivered && !r.explored
	w.at(w.now+ratingDelay, func() { w.rated(a.model, sample, floor, judged) })
}

func (w *world) rated(model int, sample cascade.Sample, floor float64, judged bool) {
	w.evidence.Add(sample)
	if !judged || w.held[model] {
		return
	}
	verdict := w.ratings.Observe(rollout.Sample{
		Class: sample.Class, Version: sample.Version, Rating: rollout.Rating{Score: sample.Score, QualityFloor: floor},
	})
	w.suspect[model] = verdict.Kind == rollout.Suspect
	if verdict.Kind != rollout.Quarantine {
		return
	}
	if !w.turned || model != smallModel {
		w.result.falseQuarantines++
	}
	w.at(w.now+inForce, func() {
		w.held[model] = true
		clear(w.decisions)
	})
}

// cacheEvents tells the instances what an engine evicted, late and with losses.
func (w *world) cacheEvents(server int, evicted []prefix.Block) {
	if len(evicted) == 0 || w.rng.Float64() < cacheEventLoss {
		return
	}
	blocks := append([]prefix.Block(nil), evicted...)
	w.at(w.now+cacheEventLag, func() {
		for _, in := range w.instances {
			in.index.RemoveBlocks(w.servers[server].id, blocks)
		}
	})
}
