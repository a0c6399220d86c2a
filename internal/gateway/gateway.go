// Package gateway forwards requests to backend servers under routes: it checks key and limits, chooses service, version,
// model and server, repeats what may be repeated, and relays the answer. It knows no wire format.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/admission"
	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/migration"
	"github.com/cicadawall/cicadawall/internal/retry"
	"github.com/cicadawall/cicadawall/internal/worker"
)

const (
	// Workers is the number of requests that an instance carries at the same time. A worker that waits costs 8 KB of stack.
	Workers = 768
	// queueCapacity is the number of requests that wait for a worker; more would wait longer than callers do.
	queueCapacity = 256
	// refusalWait is the pause suggested to callers that are refused; about the time in which a place becomes free.
	refusalWait = 300 * time.Millisecond
	// startWait is the pause suggested while no configuration is known; a start takes about a second.
	startWait = 1 * time.Second
)

// Versions chooses between software versions of a service while an operator moves it from one to another.
type Versions interface {
	// Choose returns the version that takes a session's request; sessionless requests belong to no session.
	Choose(service, session string, sessionless bool, now time.Time) migration.Preference
	// Observe records an answer of a version to a class of requests, with the time until it began.
	Observe(service, version, class string, bad bool, took time.Duration)
}

// Options of a Gateway. All fields are required.
type Options struct {
	AvailabilityZone string
	Configurations   *Configurations
	Directory        *backend.Directory
	Backends         Backends
	Versions         Versions
	Budget           *retry.SharedBudget
	Instances        func() int
	Metrics          *Metrics
	Log              *slog.Logger
}

// Gateway carries requests. It is safe for concurrent use.
type Gateway struct {
	Options
	queue  *admission.Queue
	pool   *worker.Pool
	models *modelTable
}

// New returns a gateway whose workers wait for requests.
func New(options Options) *Gateway {
	queue := admission.NewQueue(queueCapacity)
	return &Gateway{Options: options, queue: queue, pool: worker.NewPool(Workers, queue), models: newModelTable()}
}

// Stop ends the workers; requests that still run are cut.
func (g *Gateway) Stop() {
	g.queue.Close()
	g.pool.Stop()
}

// Serve answers one request and returns when the answer is complete.
func (g *Gateway) Serve(ctx context.Context, request *Request, caller Caller) {
	run, refusal := g.admit(request, caller)
	if refusal != nil {
		run.refuse(refusal)
		return
	}
	run.ctx = ctx
	run.done = make(chan struct{})
	if refusal := g.queue.Submit(run.item(), request.Arrived); refusal != nil {
		run.refuse(refusal)
		return
	}
	<-run.done
}

// admit resolves route, organisation and service. The run is valid even if the request is refused.
func (g *Gateway) admit(request *Request, caller Caller) (*run, *fault.Error) {
	run := &run{gateway: g, request: request, caller: caller, route: &Route{}, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	configuration := g.Configurations.Current()
	if configuration == nil {
		return run, fault.NotRun(fault.StepConfigure, fault.CodeConfigurationStale, "no configuration is known yet").WithRetryAfter(startWait)
	}
	run.configuration = configuration
	route := configuration.Route(request.Host, request.Path)
	if route == nil {
		return run, fault.NotRun(fault.StepDecode, fault.CodeUnknownService, "no route for this host and path")
	}
	run.route = route
	priority := route.Priority
	if configuration.NeedsKey(route) {
		organisation := configuration.Organisation(request.Key)
		if organisation == nil {
			return run, fault.NotRun(fault.StepAuthenticate, fault.CodeUnauthenticated, "the key is not known")
		}
		run.organisation = organisation.Name
		if organisation.Priority != nil {
			priority = *organisation.Priority
		}
	} else if organisation := configuration.Organisation(request.Key); organisation != nil {
		run.organisation = organisation.Name
	}
	run.priority = priority
	run.service = configuration.Service(pickShare(route.Shares, run.rng))
	run.limit = limit(route, request)
	return run, nil
}

// limit returns the time by which the answer must have ended; zero if there is none.
func limit(route *Route, request *Request) time.Time {
	patience := route.Timeout
	if request.Patience > 0 && (patience == 0 || request.Patience < patience) {
		patience = request.Patience
	}
	if patience == 0 {
		return time.Time{}
	}
	return request.Arrived.Add(patience)
}

// pickShare draws a service by weight.
func pickShare(shares []Share, rng *rand.Rand) string {
	if len(shares) == 1 {
		return shares[0].Service
	}
	total := 0.0
	for _, share := range shares {
		total += share.Weight
	}
	drawn := rng.Float64() * total
	for _, share := range shares {
		if drawn -= share.Weight; drawn < 0 {
			return share.Service
		}
	}
	return ""
}
