package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/migration"
	"github.com/cicadawall/cicadawall/internal/routing"
)

// Explanation says where a request would go now, and why.
type Explanation struct {
	// Route is empty if no route matches. The fields up to Deadline are set as far as the request is admitted.
	Route        string
	Organisation string
	Priority     int
	Service      string
	// Model is the model of the first attempt; empty on routes without a prompt.
	Model string
	// Versions says which software versions may serve the request.
	Versions migration.Preference
	// Deadline is the time by which the answer must be complete; zero if there is none.
	Deadline time.Time
	// Trial is set if the request would be the one that tries whether a held prompt is still harmful.
	Trial bool

	// Server is the chosen server; empty if the request is refused.
	Server string
	// Fallback is the last fallback step that was needed.
	Fallback   Fallback
	Candidates []ExplainedCandidate
	// Refusal is the error with which the request would be refused; nil if it would go to a server.
	Refusal *fault.Error
	Queue   ExplainedQueue

	// ConfigurationVersion is the version of the configuration in force, Servers the number of servers that this instance knows.
	ConfigurationVersion int64
	Servers              int
	// LoadViewAge is the age of the load that other instances report; negative if there is no such report.
	LoadViewAge time.Duration
}

// ExplainedCandidate is a server of the service with the verdict on it.
type ExplainedCandidate struct {
	ID               string
	AvailabilityZone string
	Software         string
	InFlight         int
	Chosen           bool
	// DropReason says why the server may not get the request; empty if it may.
	DropReason routing.Reason
	// Score is the estimated delay by which eligible servers are compared. Parts are its parts by scorer.
	Score time.Duration
	Parts []routing.ScorePart
}

// ExplainedQueue is the state of the queue between the front end and the workers.
type ExplainedQueue struct {
	Waiting     int
	IdleWorkers int
	// RequestWaits is set if the request would wait for a worker, and the server be chosen when one is free.
	RequestWaits bool
}

// Explain returns where a request that arrives now would go. It makes the decisions of the request path with the random source, and
// changes no state.
func (g *Gateway) Explain(request *Request, now time.Time, rng *rand.Rand) Explanation {
	explained := *request
	explained.Arrived = now
	job := g.newJob(&explained, nil, rng)
	job.trace = &decisionTrace{}
	job.ctx = context.Background()
	queue := g.queue.Stats()
	e := Explanation{
		Queue: ExplainedQueue{Waiting: queue.Length, IdleWorkers: queue.IdleWorkers}, Servers: len(g.Directory.Entries()), LoadViewAge: -1,
	}
	e.Refusal = job.explain(&e, now)
	e.describe(job)
	return e
}

// explain decides on the request, step by step as Serve does, and returns its refusal.
func (r *requestJob) explain(e *Explanation, now time.Time) *fault.Error {
	if refusal := r.gateway.admit(r); refusal != nil {
		return refusal
	}
	waits, refusal := r.gateway.queue.Preview(r.queueItem(), now)
	if refusal != nil {
		return refusal
	}
	e.Queue.RequestWaits = waits
	r.chooseModel()
	next := r.decide(now)
	e.Candidates = r.trace.explainCandidates(next, now)
	if next.view != nil {
		e.LoadViewAge = next.view.Age(now)
	}
	switch {
	case next.stopping:
		return DrainingRefusal()
	case !next.choice.Found:
		return r.finalRefusal()
	}
	e.Server = next.choice.Server
	return nil
}

// describe copies what was decided on the request before a server was chosen.
func (e *Explanation) describe(job *requestJob) {
	e.Route, e.Organisation, e.Priority, e.Deadline = job.route.Name, job.organisation, job.priority, job.deadline
	if job.configuration != nil {
		e.ConfigurationVersion = job.configuration.Version
	}
	if job.service != nil {
		e.Service = job.service.Name
	}
	if job.route.HasPrompt {
		e.Model = job.model
	}
	e.Versions, e.Fallback, e.Trial = job.trace.preference, job.trace.fallback, job.hold.Trial
}

// explainCandidates returns the verdicts on the candidates: the chosen one, the other eligible ones by score, then those that were
// dropped.
func (t *decisionTrace) explainCandidates(next attemptDecision, now time.Time) []ExplainedCandidate {
	dropped := make(map[string]routing.Reason, len(t.verdicts))
	for _, verdict := range t.verdicts {
		dropped[verdict.Server] = verdict.Reason
	}
	explained := make([]ExplainedCandidate, 0, len(next.candidates))
	for i := range next.candidates {
		c := &next.candidates[i]
		candidate := ExplainedCandidate{
			ID: c.ID, AvailabilityZone: c.Zone, Software: c.Software, InFlight: c.InFlight, DropReason: dropped[c.ID],
			Chosen: next.choice.Found && c.ID == next.choice.Server,
		}
		if candidate.DropReason == routing.ReasonNone {
			candidate.Parts = t.policy.ScoreParts(c, &t.request, now)
			for _, part := range candidate.Parts {
				candidate.Score += part.Score
			}
		}
		explained = append(explained, candidate)
	}
	slices.SortFunc(explained, compareExplained)
	return explained
}

// compareExplained orders candidates by verdict, score and identifier.
func compareExplained(a, b ExplainedCandidate) int {
	return cmp.Or(
		cmp.Compare(verdictRank(a), verdictRank(b)), cmp.Compare(a.Score, b.Score), cmp.Compare(a.ID, b.ID),
	)
}

func verdictRank(c ExplainedCandidate) int {
	switch {
	case c.Chosen:
		return 0
	case c.DropReason == routing.ReasonNone:
		return 1
	}
	return 2
}
