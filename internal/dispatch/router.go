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

// defaultDeadline bounds a request whose class declares none.
const defaultDeadline = 2 * time.Minute

// Ledger makes bills durable.
type Ledger interface {
	// Room reports whether a new bill can be buffered.
	Room() bool
	// Commit returns when the bill is durable.
	Commit(ctx context.Context, bill api.Bill) error
}

// Limiter checks an organisation's limits.
type Limiter interface {
	// Admit takes one request of the given tokens and cost from the organisation's limits, or refuses it.
	Admit(organisation string, limits api.OrganisationLimits, tokens int, cost float64, now time.Time) *fault.Error
}

// Orders runs calls that must not be repeated.
type Orders interface {
	Execute(ctx context.Context, request order.Request) (order.Response, *fault.Error)
}

// Sampler passes answers on to be rated.
type Sampler interface {
	Sample(answer quality.Answer)
}

// Parts are the tables, protocols and clients that a Router uses.
type Parts struct {
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
	Classes          *status.Classes
	Traces           *Traces
	Log              *slog.Logger
	MaxBodyBytes     int64
	// Random returns the random source of one request; nil stands for an unpredictable one.
	Random func() *rand.Rand
}

// Router takes decoded requests, checks and admits them, and hands them to the worker pool.
type Router struct {
	Parts
}

// NewRouter returns a router over the parts.
func NewRouter(parts Parts) *Router { return &Router{Parts: parts} }

func (r *Router) newRandom() *rand.Rand {
	if r.Random != nil {
		return r.Random()
	}
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// MaxBodyBytes returns the size limit of a request body in bytes.
func (r *Router) MaxBodyBytes() int64 { return r.Parts.MaxBodyBytes }

// Authenticate returns the organisation whose caller key the Authorization header holds.
func (r *Router) Authenticate(header string) (string, *fault.Error) {
	snapshot := r.Config.Snapshot()
	if snapshot == nil {
		return "", fault.NotRun(fault.StepAuthenticate, fault.CodeConfigurationStale, "no configuration is in force yet")
	}
	organisation, problem := access.Caller(snapshot, header)
	if problem != nil {
		return "", problem
	}
	return organisation.Name, nil
}

// Models returns the versions that the organisation may use in any class.
func (r *Router) Models(organisation string) ([]declaration.VersionID, *fault.Error) {
	snapshot, problem := r.Config.Current(time.Now())
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

// offered returns the versions that a new session may be pinned to: those allowed and serving that are not held as bad.
func (r *Router) offered(snapshot *declaration.Snapshot, organisation, class string) []declaration.VersionID {
	return slices.DeleteFunc(snapshot.AllowedVersions(organisation, class), func(id declaration.VersionID) bool {
		_, held := r.Config.Held(id)
		return held
	})
}

// Model checks and queues a model request.
func (r *Router) Model(ctx context.Context, request ModelRequest) (*Reply, *fault.Error) {
	job, item, problem := r.admitModel(ctx, request)
	if problem == nil {
		problem = r.Queue.Submit(item, request.Arrived)
	}
	if problem != nil {
		r.finished(request.ID, request.Organisation, request.Class, 0, problem)
		return nil, problem
	}
	return job.reply, nil
}

func (r *Router) admitModel(ctx context.Context, request ModelRequest) (*modelJob, admission.Item, *fault.Error) {
	snapshot, problem := r.Config.Current(request.Arrived)
	if problem != nil {
		return nil, admission.Item{}, problem
	}
	class, ok := snapshot.Class(request.Class)
	if !ok {
		return nil, admission.Item{}, unknownClass(request.Class)
	}
	organisation, ok := snapshot.Organisation(request.Organisation)
	if !ok {
		return nil, admission.Item{}, fault.NotRun(fault.StepAdmit, fault.CodeUnauthenticated, "the organisation is no longer declared")
	}
	if len(r.offered(snapshot, organisation.Name, class.Name)) == 0 {
		return nil, admission.Item{}, fault.NotRun(fault.StepAdmit, fault.CodeNotAllowed,
			fmt.Sprintf("organisation %q may use no serving version for class %q", organisation.Name, class.Name))
	}
	if !r.Ledger.Room() {
		return nil, admission.Item{}, fault.NotRun(fault.StepAdmit, fault.CodeBillingBufferFull, "no room for another bill")
	}
	if problem := r.Limiter.Admit(organisation.Name, organisation.Limits, request.Tokens(), 0, request.Arrived); problem != nil {
		return nil, admission.Item{}, problem
	}
	job := newModelJob(ctx, r, request, class)
	return job, admission.Item{
		Organisation: organisation.Name,
		Class:        class.Name,
		Priority:     class.Priority,
		Weight:       organisation.Weight,
		Tokens:       request.Tokens(),
		Deadline:     job.deadline,
		Job:          job,
		Refuse:       job.refuse,
	}, nil
}

func unknownClass(name string) *fault.Error {
	message := "the request names no class"
	if name != "" {
		message = fmt.Sprintf("class %q is not declared", name)
	}
	return fault.NotRun(fault.StepAdmit, fault.CodeUnknownClass, message).
		WithAdvice("name a declared class in the model field as class:<name> or in the X-Cicadawall-Class header")
}

// deadlineOf returns the time by which a request of the class must have ended.
func deadlineOf(class *api.Class, arrived time.Time) time.Time {
	if class.Target.DeadlineMillis > 0 {
		return arrived.Add(time.Duration(class.Target.DeadlineMillis) * time.Millisecond)
	}
	return arrived.Add(defaultDeadline)
}

// finished records the end of a request and what it cost.
func (r *Router) finished(id, organisation, class string, cost float64, problem *fault.Error) {
	log := telemetry.ForRequest(r.Log, telemetry.Request{ID: id, Organisation: organisation, Class: class})
	if problem == nil {
		r.Metrics.Finished(organisation, class, api.OutcomeAnswered, "")
		r.Classes.Finished(class, api.OutcomeAnswered, cost)
		log.Debug("request answered")
		return
	}
	r.Metrics.Finished(organisation, class, problem.Outcome, problem.Code)
	r.Classes.Finished(class, problem.Outcome, 0)
	log.Info("request failed", "code", problem.Code, "outcome", problem.Outcome, "step", problem.Step, "peer", problem.Peer, "error", problem.Error())
}
