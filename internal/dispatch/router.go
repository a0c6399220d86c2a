package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/access"
	"github.com/cicadawall/cicadawall/internal/admission"
	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/demand"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/order"
	"github.com/cicadawall/cicadawall/internal/quality"
	"github.com/cicadawall/cicadawall/internal/routing"
	"github.com/cicadawall/cicadawall/internal/session"
	"github.com/cicadawall/cicadawall/internal/status"
	"github.com/cicadawall/cicadawall/internal/table"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

// defaultDeadline is the time limit of a request whose class declares none.
const defaultDeadline = 2 * time.Minute

// Ledger makes bills durable.
type Ledger interface {
	// HasCapacity reports whether a new bill can be buffered.
	HasCapacity() bool
	// Commit returns nil when the bill is durable.
	Commit(ctx context.Context, bill api.Bill) error
}

// Limiter enforces the limits of organisations.
type Limiter interface {
	// Admit charges one request with the given tokens and cost to the organisation's limits, or refuses it if a limit is
	// exceeded.
	Admit(organisation string, limits api.OrganisationLimits, tokens int, cost float64, now time.Time) *fault.Error
}

// Orders runs calls that must not be repeated.
type Orders interface {
	// Execute runs the call at most once per idempotency key and returns its response.
	Execute(ctx context.Context, request order.Request) (order.Response, *fault.Error)
}

// Sampler selects answers for the rating service.
type Sampler interface {
	Sample(answer quality.Answer)
}

// Dependencies are the settings, tables and clients that a Router uses.
type Dependencies struct {
	AvailabilityZone string
	Incarnation      string
	Config           *table.Config
	Servers          *table.Servers
	Prefixes         *routing.PrefixIndex
	Queue            *admission.Queue
	Planner          *Planner
	Sessions         *session.Pins
	Ledger           Ledger
	Limiter          Limiter
	Engine           Engine
	Services         PlainSender
	Orders           Orders
	Retries          *Retries
	Sampler          Sampler
	Demand           *demand.Table
	Metrics          *telemetry.Metrics
	Classes          *status.ClassTable
	Traces           *Traces
	Log              *slog.Logger
	MaxBodyBytes     int64
	// Random returns the random source of one request; if it is nil, every request has a randomly seeded source.
	Random func() *rand.Rand
}

// Router checks and admits decoded requests and queues them for the worker pool.
type Router struct {
	Dependencies
}

// NewRouter returns a router that uses the dependencies.
func NewRouter(dependencies Dependencies) *Router { return &Router{Dependencies: dependencies} }

func (r *Router) newRandom() *rand.Rand {
	if r.Random != nil {
		return r.Random()
	}
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// MaxBodyBytes returns the size limit of a request body in bytes.
func (r *Router) MaxBodyBytes() int64 { return r.Dependencies.MaxBodyBytes }

// Authenticate returns the organisation that the caller key in the Authorization header belongs to.
func (r *Router) Authenticate(header string) (string, *fault.Error) {
	snapshot := r.Config.Snapshot()
	if snapshot == nil {
		return "", fault.NotRun(fault.StepAuthenticate, fault.CodeConfigurationStale, "no configuration is in force yet")
	}
	organisation, problem := access.AuthenticateCaller(snapshot, header)
	if problem != nil {
		return "", problem
	}
	return organisation.Name, nil
}

// AllowedVersions returns the versions that the organisation may use for at least one class.
func (r *Router) AllowedVersions(organisation string) ([]declaration.VersionID, *fault.Error) {
	snapshot, problem := r.Config.SnapshotIfEligible(time.Now())
	if problem != nil {
		return nil, problem
	}
	seen := map[declaration.VersionID]bool{}
	var ids []declaration.VersionID
	for _, class := range snapshot.Document.Classes {
		for _, id := range snapshot.AllowedVersions(organisation, class.Name) {
			if !seen[id] {
				seen[id] = true
				ids = append(ids, id)
			}
		}
	}
	return ids, nil
}

// assignableVersions returns the versions that a new session may be pinned to: those that are allowed and not held because of
// bad quality.
func (r *Router) assignableVersions(snapshot *declaration.Snapshot, organisation, class string) []declaration.VersionID {
	return slices.DeleteFunc(snapshot.AllowedVersions(organisation, class), func(id declaration.VersionID) bool {
		_, held := r.Config.HoldReason(id)
		return held
	})
}

// SubmitModel checks a model request, queues it and returns its reply.
func (r *Router) SubmitModel(ctx context.Context, request ModelRequest) (*Reply, *fault.Error) {
	job, item, problem := r.admitModel(ctx, request)
	if problem == nil {
		problem = r.Queue.Submit(item, request.Arrived)
	}
	if problem != nil {
		r.recordOutcome(request.ID, request.Organisation, request.Class, 0, problem)
		return nil, problem
	}
	return job.reply, nil
}

func (r *Router) admitModel(ctx context.Context, request ModelRequest) (*modelJob, admission.Item, *fault.Error) {
	snapshot, problem := r.Config.SnapshotIfEligible(request.Arrived)
	if problem != nil {
		return nil, admission.Item{}, problem
	}
	class, ok := snapshot.Class(request.Class)
	if !ok {
		return nil, admission.Item{}, unknownClassError(request.Class)
	}
	organisation, ok := snapshot.Organisation(request.Organisation)
	if !ok {
		return nil, admission.Item{}, fault.NotRun(fault.StepAdmit, fault.CodeUnauthenticated, "the organisation is no longer declared")
	}
	if len(r.assignableVersions(snapshot, organisation.Name, class.Name)) == 0 {
		return nil, admission.Item{}, fault.NotRun(fault.StepAdmit, fault.CodeNotAllowed,
			fmt.Sprintf("organisation %q has no serving version that it may use for class %q", organisation.Name, class.Name))
	}
	if !r.Ledger.HasCapacity() {
		return nil, admission.Item{}, fault.NotRun(fault.StepAdmit, fault.CodeBillingBufferFull, "the billing buffer has no capacity for another bill")
	}
	if problem := r.Limiter.Admit(organisation.Name, organisation.Limits, request.EstimatedTokens(), 0, request.Arrived); problem != nil {
		return nil, admission.Item{}, problem
	}
	job := newModelJob(ctx, r, request, class)
	return job, admission.Item{
		Organisation: organisation.Name,
		Class:        class.Name,
		Priority:     class.Priority,
		Weight:       organisation.Weight,
		Tokens:       request.EstimatedTokens(),
		Deadline:     job.deadline,
		Job:          job,
		Refuse:       job.refuse,
	}, nil
}

func unknownClassError(name string) *fault.Error {
	message := "the request names no class"
	if name != "" {
		message = fmt.Sprintf("class %q is not declared", name)
	}
	return fault.NotRun(fault.StepAdmit, fault.CodeUnknownClass, message).
		WithAdvice("name a declared class in the model field as class:<name> or in the X-Cicadawall-Class header")
}

// requestDeadline returns the deadline of a request of the class that arrived at the given time.
func requestDeadline(class *api.Class, arrived time.Time) time.Time {
	if class.Target.DeadlineMillis > 0 {
		return arrived.Add(time.Duration(class.Target.DeadlineMillis) * time.Millisecond)
	}
	return arrived.Add(defaultDeadline)
}

// recordOutcome records the outcome and the cost of a request in the metrics, the class status and the log.
func (r *Router) recordOutcome(id, organisation, class string, cost float64, problem *fault.Error) {
	log := telemetry.WithRequest(r.Log, telemetry.Request{ID: id, Organisation: organisation, Class: class})
	if problem == nil {
		r.Metrics.CountRequest(organisation, class, api.OutcomeAnswered, "")
		r.Classes.CountRequest(class, api.OutcomeAnswered, cost)
		log.Debug("request answered")
		return
	}
	r.Metrics.CountRequest(organisation, class, problem.Outcome, problem.Code)
	r.Classes.CountRequest(class, problem.Outcome, 0)
	log.Info("request failed", "code", problem.Code, "outcome", problem.Outcome, "step", problem.Step, "peer", problem.Peer, "error", problem.Error())
}
