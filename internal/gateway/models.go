package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// acceptConfidence is the confidence from which the answer of a smaller model is taken. Confidence is 50 where a model is
	// as likely right as wrong; a wrong answer costs more than another run.
	acceptConfidence = 55
	// escalationBudget is the part of the retry budget that escalations may use; the rest is left for failures.
	escalationBudget = 0.92
	// decodeTokens is the work of one generated token in prompt tokens. A prompt is read in large chunks, an answer token by
	// token.
	decodeTokens = 25
	// workHalfLife fades the work by model, so that servers follow a change of the load within a minute.
	workHalfLife = 20 * time.Second
	// workPrior is the work assumed for each model before anything is known, in prompt tokens at the model's cost.
	workPrior = 1e5
	// defaultCost is assumed for a model whose cost is not declared.
	defaultCost = 0.1
)

// modelTable holds the work that each model of a service caused lately. It is safe for concurrent use.
type modelTable struct {
	mu   *lockorder.Mutex
	rows map[string]map[string]*work
}

type work struct {
	amount float64
	at     time.Time
}

func newModelTable() *modelTable {
	return &modelTable{mu: lockorder.New(lockorder.RankVersions), rows: map[string]map[string]*work{}}
}

// add records work for a model in prompt tokens.
func (t *modelTable) add(service *Service, model string, tokens int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(service, model, now)
	row.amount = row.faded(now) + float64(tokens)*cost(service, model)
	row.at = now
}

func (t *modelTable) row(service *Service, model string, now time.Time) *work {
	models, ok := t.rows[service.Name]
	if !ok {
		models = map[string]*work{}
		t.rows[service.Name] = models
	}
	row, ok := models[model]
	if !ok {
		row = &work{amount: workPrior * cost(service, model), at: now}
		models[model] = row
	}
	return row
}

func (w *work) faded(now time.Time) float64 {
	return w.amount * math.Exp2(-float64(now.Sub(w.at))/float64(workHalfLife))
}

// cost returns the weight of a model's tokens. A server's time for a token grows with the model's declared cost, but far less
// than in proportion: about as its root.
func cost(service *Service, model string) float64 {
	if c := service.ModelCosts[model]; c > 0 {
		return math.Sqrt(c)
	}
	return math.Sqrt(defaultCost)
}

// span returns the part of a service's servers that a model should use, as a range between 0 and 1. A server whose batch
// holds requests of a large model produces every token at its pace, so models keep apart.
func (t *modelTable) span(service *Service, model string, now time.Time) (from, to float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row(service, model, now)
	models := t.rows[service.Name]
	names := make([]string, 0, len(models))
	total := 0.0
	for name, row := range models {
		names = append(names, name)
		total += row.faded(now)
	}
	if total <= 0 {
		return 0, 1
	}
	slices.Sort(names)
	for _, name := range names {
		share := models[name].faded(now) / total
		if name == model {
			return from, from + share
		}
		from += share
	}
	return 0, 1
}

// chooseModel names the model of the first attempt where the route leaves the choice to the system.
func (r *run) chooseModel() {
	r.model = r.request.Model
	if r.request.AnyModel && len(r.route.Models) > 0 {
		r.model = r.route.Models[0]
	}
}

// read records the work of the prompt, accepted that of the answer.
func (r *run) read(now time.Time) {
	r.gateway.models.add(r.service, r.model, backend.Tokens(r.request.Prompt), now)
}

func (r *run) accepted(now time.Time) {
	r.gateway.models.add(r.service, r.model, decodeTokens*r.request.OutputTokens, now)
}

// escalate reports whether the answer is dropped for one of a larger model, which it then chooses.
func (r *run) escalate(server *backend.Run, reply *Reply) bool {
	models := r.route.Models
	if !r.request.AnyModel || len(models) == 0 || r.model == models[len(models)-1] {
		return false
	}
	r.log("confidence", "model", r.model, "confidence", reply.Confidence, "server", server.Entry.ID)
	if reply.Confidence < 0 || reply.Confidence >= acceptConfidence {
		return false
	}
	if r.runs >= r.route.MaxAttempts || !r.gateway.Budget.Spend(r.service.Name, escalationBudget, time.Now()) {
		return false
	}
	r.paid = true
	r.model = models[len(models)-1]
	r.tried = nil
	return true
}
