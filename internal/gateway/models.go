package gateway

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
)

const (
	// acceptConfidence is the confidence from which the answer of a smaller model is taken.
	acceptConfidence = 60
	// escalationBudget is the part of the retry budget that escalations may use; the rest is left for failures.
	escalationBudget = 0.8
)

// modelTable holds what was learnt about models.
type modelTable struct{}

func newModelTable() *modelTable { return &modelTable{} }

// chooseModel names the model of the first attempt where the route leaves the choice to the system.
func (r *run) chooseModel() {
	r.model = r.request.Model
	if r.request.AnyModel && len(r.route.Models) > 0 {
		r.model = r.route.Models[0]
	}
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
