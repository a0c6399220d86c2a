package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// minAcceptedConfidence is the lowest confidence at which the answer of a smaller model is accepted. At 50 a model is as
	// likely right as wrong; the threshold is higher because a wrong answer costs more than another run.
	minAcceptedConfidence = 55
	// escalationBudgetFraction is the fraction of the retry budget that escalations may use; the rest is reserved for retries
	// after failures.
	escalationBudgetFraction = 0.92
	// decodeTokenWork is the work of one generated token in prompt tokens. Prefill processes a prompt in large chunks, decode
	// generates an answer token by token.
	decodeTokenWork = 25
	// workHalfLife is the half-life of the recorded work, so that the partition of the servers follows a change of the load
	// within a minute.
	workHalfLife = 20 * time.Second
	// workPrior is the work assumed for each model before any request, in prompt tokens; the model's cost weights it.
	workPrior = 1e5
	// defaultModelCost is assumed for a model whose cost is not declared.
	defaultModelCost = 0.1
)

// modelTable holds the recent work of each model of a service, with exponential decay. It is safe for concurrent use.
type modelTable struct {
	mu   *lockorder.Mutex
	rows map[string]map[string]*work
}

// work is an amount of weighted tokens that decays from updatedAt on.
type work struct {
	amount    float64
	updatedAt time.Time
}

func newModelTable() *modelTable {
	return &modelTable{mu: lockorder.New(lockorder.RankVersions), rows: map[string]map[string]*work{}}
}

// addWork records work of a model, given in prompt tokens.
func (t *modelTable) addWork(service *Service, model string, tokens int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(service, model, now)
	row.amount = row.decayedAmount(now) + float64(tokens)*tokenWeight(service, model)
	row.updatedAt = now
}

func (t *modelTable) row(service *Service, model string, now time.Time) *work {
	models, ok := t.rows[service.Name]
	if !ok {
		models = map[string]*work{}
		t.rows[service.Name] = models
	}
	row, ok := models[model]
	if !ok {
		row = &work{amount: workPrior * tokenWeight(service, model), updatedAt: now}
		models[model] = row
	}
	return row
}

func (w *work) decayedAmount(now time.Time) float64 {
	return w.amount * math.Exp2(-float64(now.Sub(w.updatedAt))/float64(workHalfLife))
}

// tokenWeight returns the weight of a model's tokens. The time that a server needs for a token grows roughly with the square root
// of the model's declared cost.
func tokenWeight(service *Service, model string) float64 {
	if c := service.ModelCosts[model]; c > 0 {
		return math.Sqrt(c)
	}
	return math.Sqrt(defaultModelCost)
}

// serverRange returns the servers of a service that a model should use, as a range between 0 and 1 that is proportional to the
// model's work. Models use separate servers, because a server whose batch holds requests of a large model generates all tokens
// at the pace of that model.
func (t *modelTable) serverRange(service *Service, model string, now time.Time) (from, to float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row(service, model, now)
	models := t.rows[service.Name]
	names := make([]string, 0, len(models))
	total := 0.0
	for name, row := range models {
		names = append(names, name)
		total += row.decayedAmount(now)
	}
	if total <= 0 {
		return 0, 1
	}
	slices.Sort(names)
	for _, name := range names {
		fraction := models[name].decayedAmount(now) / total
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

// escalate reports whether the answer is discarded because of its low confidence; the next attempt then uses the largest model.
func (r *requestJob) escalate(server *backend.Attempt, reply *Reply) bool {
	models := r.route.Models
	if !r.request.AnyModel || len(models) == 0 || r.model == models[len(models)-1] {
		return false
	}
	r.log("confidence of the answer checked", "model", r.model, "confidence", reply.Confidence, "server", server.Entry.ID)
	if reply.Confidence < 0 || reply.Confidence >= minAcceptedConfidence {
		return false
	}
	if r.executions >= r.route.MaxAttempts || !r.gateway.RetryBudget.Spend(r.service.Name, escalationBudgetFraction, time.Now()) {
		return false
	}
	r.retryBudgetSpent = true
	r.model = models[len(models)-1]
	r.triedServers = nil
	return true
}
