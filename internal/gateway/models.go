package gateway

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/escalation"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/routing"
)

const (
	// maxLargerRefusals is the number of servers that may refuse the larger model before the request returns to the smaller one. One more
	// attempt is left then (maxSentAttempts).
	maxLargerRefusals = 2
	// firstEventWeight is the weight of a new attempt in the moving average of a model's delay.
	firstEventWeight = 0.1
	// escalationBudgetFraction is the fraction of the retry budget that escalations may use; the rest is reserved for retries
	// after failures.
	escalationBudgetFraction = 0.92
	// decodeTokenWork is the work of one generated token in prompt tokens. Prefill processes a prompt in large chunks, decode
	// generates an answer token by token.
	decodeTokenWork = 25
	// workHalfLife is the half-life of the recorded work, so that the partition of the servers follows a change of the load
	// within a minute.
	workHalfLife = 20 * time.Second
	// workPrior is the work assumed for each model before any request, in prompt tokens.
	workPrior = 1e5
	// defaultModelCost is assumed for a model whose cost is not declared.
	defaultModelCost = 0.1
)

// modelTable holds the recent load of each model of a service. It is safe for concurrent use.
type modelTable struct {
	mu   *lockorder.Mutex
	rows map[string]map[string]*modelLoad
}

// modelLoad is the recent load of one model.
type modelLoad struct {
	// work is an amount of tokens that decays from updatedAt on.
	work      float64
	updatedAt time.Time
	// firstEventDelay is the moving average of the time from the start of an attempt to its first event, or to its end without one.
	firstEventDelay time.Duration
}

func newModelTable() *modelTable {
	return &modelTable{mu: lockorder.New(lockorder.RankVersions), rows: map[string]map[string]*modelLoad{}}
}

// addWork records work of a model, given in prompt tokens.
func (t *modelTable) addWork(service *Service, model string, tokens int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(service, model, now)
	row.work = row.decayedWork(now) + float64(tokens)
	row.updatedAt = now
}

// observeFirstEvent records the time from the start of an attempt to its first event, or to its end without one.
func (t *modelTable) observeFirstEvent(service *Service, model string, delay time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(service, model, now)
	if row.firstEventDelay == 0 {
		row.firstEventDelay = delay
		return
	}
	row.firstEventDelay += time.Duration(firstEventWeight * float64(delay-row.firstEventDelay))
}

// expectedDelay returns the expected time from the start of an attempt with the model to its first event; zero if unknown.
func (t *modelTable) expectedDelay(service *Service, model string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(service, model, now).firstEventDelay
}

func (t *modelTable) row(service *Service, model string, now time.Time) *modelLoad {
	models, ok := t.rows[service.Name]
	if !ok {
		models = map[string]*modelLoad{}
		t.rows[service.Name] = models
	}
	row, ok := models[model]
	if !ok {
		row = newModelLoad(now)
		models[model] = row
	}
	return row
}

// newModelLoad returns the load that is assumed for a model before its first request.
func newModelLoad(now time.Time) *modelLoad { return &modelLoad{work: workPrior, updatedAt: now} }

func (l *modelLoad) decayedWork(now time.Time) float64 {
	return l.work * math.Exp2(-float64(now.Sub(l.updatedAt))/float64(workHalfLife))
}

// tokenWeights returns the weight of a token by model, which stands for the time that it takes on a server. Both the declared cost and
// the measured delay grow with that time; the delay also grows with the load, so that a model whose servers are overloaded gets more
// of them. The weight is the geometric mean of the two, and of the cost alone until all delays are known.
func tokenWeights(service *Service, models map[string]*modelLoad) map[string]float64 {
	measured := true
	for _, row := range models {
		measured = measured && row.firstEventDelay > 0
	}
	weights := make(map[string]float64, len(models))
	for name, row := range models {
		cost := service.ModelCosts[name]
		if cost <= 0 {
			cost = defaultModelCost
		}
		weights[name] = math.Sqrt(cost)
		if measured {
			weights[name] = math.Sqrt(cost * row.firstEventDelay.Seconds())
		}
	}
	return weights
}

// serverRange returns the servers of a service that a model should use, as a range between 0 and 1 that is proportional to the
// model's work. Models use separate servers, because a server whose batch holds requests of a large model generates all tokens
// at the pace of that model.
func (t *modelTable) serverRange(service *Service, model string, now time.Time) (from, to float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row(service, model, now)
	return modelRange(service, t.rows[service.Name], model, now)
}

// previewServerRange returns what serverRange would return, without adding a row for the model.
func (t *modelTable) previewServerRange(service *Service, model string, now time.Time) (from, to float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	models := map[string]*modelLoad{model: newModelLoad(now)}
	maps.Copy(models, t.rows[service.Name])
	return modelRange(service, models, model, now)
}

// modelRange returns the servers that a model should use, given the loads of all models of the service. It adds them up in alphabetical
// order: the order changes the last digit of a sum, and with it the rounding to whole servers.
func modelRange(service *Service, models map[string]*modelLoad, model string, now time.Time) (from, to float64) {
	names := make([]string, 0, len(models))
	for name := range models {
		names = append(names, name)
	}
	slices.Sort(names)
	weights := tokenWeights(service, models)
	total := 0.0
	for _, name := range names {
		total += models[name].decayedWork(now) * weights[name]
	}
	if total <= 0 {
		return 0, 1
	}
	for _, name := range names {
		fraction := models[name].decayedWork(now) * weights[name] / total
		if name == model {
			return from, from + fraction
		}
		from += fraction
	}
	return 0, 1
}

// chooseModel sets the model of the first attempt: the one that the request names, or the smallest of the route if the caller
// accepts any.
func (r *requestJob) chooseModel() {
	r.model = r.request.Model
	if r.request.AnyModel && len(r.route.Models) > 0 {
		r.model = r.route.Models[0]
	}
}

// recordPromptWork records the work of the prompt.
func (r *requestJob) recordPromptWork(now time.Time) {
	r.gateway.models.addWork(r.service, r.model, backend.PromptTokens(r.request.Prompt), now)
}

// recordAnswerWork records the work of an answer that is accepted.
func (r *requestJob) recordAnswerWork(now time.Time) {
	r.gateway.models.addWork(r.service, r.model, decodeTokenWork*r.request.OutputTokens, now)
}

// escalationState returns what the decision to drop an answer for the largest model rests on.
func (r *requestJob) escalationState(largest string, now time.Time) escalation.State {
	state := escalation.State{
		ExpectedDelay: r.gateway.models.expectedDelay(r.service, largest, now),
		TimeLeft:      r.route.TargetLatency - now.Sub(r.request.Arrived), Priority: r.priority,
	}
	if r.loadView(now) == nil {
		return state
	}
	if choice := r.chooseFor(largest, nil, now); choice.Found {
		state.ExpectedDelay, state.FleetLoad = choice.Score, true
	}
	return state
}

// escalate reports whether the answer is discarded because of its low confidence; the next attempt then uses the largest model.
func (r *requestJob) escalate(server *backend.Attempt, reply *Reply) bool {
	models := r.route.Models
	if !r.request.AnyModel || len(models) == 0 || r.model == models[len(models)-1] || r.droppedModel != "" {
		return false
	}
	if r.hold.Trial {
		// A discarded answer does not show whether the server survives it, and a second server would be at risk.
		return false
	}
	now := time.Now()
	largest := models[len(models)-1]
	state := r.escalationState(largest, now)
	threshold := escalation.MinConfidence
	if r.route.TargetLatency > 0 {
		threshold = escalation.Threshold(state)
	}
	r.log("confidence of the answer checked", "model", r.model, "confidence", reply.Confidence, "threshold", threshold,
		"expected_ms", state.ExpectedDelay.Milliseconds(), "server", server.Entry.ID)
	if reply.Confidence < 0 || reply.Confidence >= threshold {
		return false
	}
	if r.executions >= r.route.MaxAttempts || !r.serverAccepts(now) {
		return false
	}
	if !r.gateway.RetryBudget.Spend(r.service.Name, escalationBudgetFraction, now) {
		r.gateway.Metrics.countBudgetRefusal()
		return false
	}
	r.repeatGranted = true
	r.droppedModel, r.model = r.model, largest
	r.triedServers = nil
	return true
}

// returnToDroppedModel makes the next attempt use the model whose answer was dropped once several servers have refused the larger one. Its
// answer is then accepted with any confidence: it serves the caller better than an error.
func (r *requestJob) returnToDroppedModel() {
	if r.droppedModel == "" || r.model == r.droppedModel {
		return
	}
	r.largerRefusals++
	if r.largerRefusals >= maxLargerRefusals {
		r.log("larger model refused, returning to the smaller one", "model", r.droppedModel, "refusals", r.largerRefusals)
		r.model = r.droppedModel
		r.triedServers = nil
	}
}

// serverAccepts reports whether some server may run the request with another model now: an answer of low confidence serves the caller better
// than none. Ejected servers and those of a version to be avoided count, because chooseServer falls back to them.
func (r *requestJob) serverAccepts(now time.Time) bool {
	query := backend.Query{Service: r.service.Name, MaxInFlight: r.maxInFlight()}
	candidates := r.candidates(query, now)
	for i := range candidates {
		candidates[i].EjectedUntil = time.Time{}
	}
	preference := r.gateway.Versions.Choose(r.service.Name, r.request.sessionID(), len(r.request.Prompt) == 0, now)
	return routing.PromptPolicy().AnyEligible(candidates, routing.Request{ExcludedSoftware: preference.Withdrawn}, now)
}
