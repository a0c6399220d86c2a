// Package gateway forwards requests to backend servers under routes: it checks the API key, chooses service, version, model and
// server, retries requests that may be repeated, and relays the answer. It is independent of the wire format.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cicadawall/cicadawall/internal/admission"
	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/coldstart"
	"github.com/cicadawall/cicadawall/internal/congestion"
	"github.com/cicadawall/cicadawall/internal/crashguard"
	"github.com/cicadawall/cicadawall/internal/evacuation"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/migration"
	"github.com/cicadawall/cicadawall/internal/retry"
	"github.com/cicadawall/cicadawall/internal/serverload"
	"github.com/cicadawall/cicadawall/internal/worker"
)

const (
	// Workers is the number of requests that an instance serves at the same time. An idle worker takes 8 KB of stack.
	Workers = 768
	// maxQueuedRequests bounds the requests that wait for a worker; more would wait longer than callers do.
	maxQueuedRequests = 256
	// refusalRetryAfter is the Retry-After time when no server accepts a request: about the time until a server has a free slot.
	refusalRetryAfter = 300 * time.Millisecond
	// drainRetryAfter is the Retry-After time of an instance that shuts down. It is short because other instances accept the request at
	// once.
	drainRetryAfter = 20 * time.Millisecond
	// startupRetryAfter is the Retry-After time until a configuration is loaded; an instance starts in about a second.
	startupRetryAfter = 1 * time.Second
)

// processStart is the origin of times that are stored as numbers, so that they use the monotonic clock.
var processStart = time.Now()

// VersionSelector chooses between the software versions of a service during a roll-out.
type VersionSelector interface {
	// Choose returns the preferred version for a request of a session. Requests without a prompt are sessionless: their session
	// names only the request.
	Choose(service, session string, sessionless bool, now time.Time) migration.Preference
	// Preview returns what Choose would return, without counting the request.
	Preview(service, session string, sessionless bool, now time.Time) migration.Preference
	// Observe records an answer of a version to a request of a class. The latency is the time until the answer began.
	Observe(service, version, class string, bad bool, latency time.Duration)
}

// Options of a Gateway. All fields are required.
type Options struct {
	AvailabilityZone string
	Configurations   *ConfigurationTable
	Directory        *backend.Directory
	Backends         Backends
	Versions         VersionSelector
	Crashes          *crashguard.Table
	Evacuations      *evacuation.Table
	ColdStarts       *coldstart.Table
	RetryBudget      *retry.SharedBudget
	InstanceCount    func() int
	Loads            *serverload.Table
	Congestion       *congestion.Table
	Metrics          *Metrics
	Log              *slog.Logger
}

// Gateway serves requests with a pool of workers. It is safe for concurrent use.
type Gateway struct {
	Options
	queue  *admission.Queue
	pool   *worker.Pool
	models *modelTable
	// stopAt is the time at which requests still in flight are cancelled, in nanoseconds since the start of the process; zero while no stop
	// is planned.
	stopAt atomic.Int64
}

// New returns a gateway with running workers.
func New(options Options) *Gateway {
	queue := admission.NewQueue(maxQueuedRequests)
	return &Gateway{Options: options, queue: queue, pool: worker.NewPool(Workers, queue), models: newModelTable()}
}

// StopAt announces that the instance stops at the time. A request that no server has run yet and that would not be answered by then is
// refused, so that its caller can turn to another instance at once.
func (g *Gateway) StopAt(at time.Time) { g.stopAt.Store(int64(at.Sub(processStart))) }

// timeToStop returns the time until the instance stops, and whether a stop is planned.
func (g *Gateway) timeToStop(now time.Time) (time.Duration, bool) {
	at := g.stopAt.Load()
	return processStart.Add(time.Duration(at)).Sub(now), at != 0
}

// Stop ends the workers. Requests still in flight are cancelled and answered: as not run, or without a statement if a server may have run
// them.
func (g *Gateway) Stop() {
	g.queue.Close()
	g.pool.Stop()
}

// Serve answers one request and returns when the answer is complete.
func (g *Gateway) Serve(ctx context.Context, request *Request, caller Caller) {
	g.serve(ctx, request, caller, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

func (g *Gateway) serve(ctx context.Context, request *Request, caller Caller, rng *rand.Rand) {
	job := g.newJob(request, caller, rng)
	if refusal := g.admit(job); refusal != nil {
		job.refuse(refusal)
		return
	}
	job.ctx = ctx
	job.done = make(chan struct{})
	if refusal := g.queue.Submit(job.queueItem(), request.Arrived); refusal != nil {
		job.refuse(refusal)
		return
	}
	<-job.done
}

// RefuseUnroutable refuses a request, and returns true, if the configuration has no route for it or does not know its key. It does not need the
// body of the request. Without a configuration it returns false.
func (g *Gateway) RefuseUnroutable(request *Request, caller Caller) bool {
	configuration := g.Configurations.Current()
	if configuration == nil {
		return false
	}
	route, _, refusal := configuration.authorize(request)
	if refusal == nil {
		return false
	}
	(&requestJob{gateway: g, request: request, caller: caller, route: route, configuration: configuration}).refuse(refusal)
	return true
}

// newJob returns the job of a request that is not yet admitted.
func (g *Gateway) newJob(request *Request, caller Caller, rng *rand.Rand) *requestJob {
	return &requestJob{gateway: g, request: request, caller: caller, route: &Route{}, rng: rng}
}

// admit resolves the route, organisation and service of a request. The job is valid even if the request is refused.
func (g *Gateway) admit(job *requestJob) *fault.Error {
	request := job.request
	configuration := g.Configurations.Current()
	if configuration == nil {
		return fault.NotRun(fault.StepConfigure, fault.CodeConfigurationStale,
			"no configuration has been loaded yet").WithRetryAfter(startupRetryAfter)
	}
	job.configuration = configuration
	route, organisation, refusal := configuration.authorize(request)
	job.route = route
	if refusal != nil {
		return refusal
	}
	job.priority = route.Priority
	if organisation != nil {
		job.organisation = organisation.Name
		if organisation.Priority != nil && configuration.NeedsKey(route) {
			job.priority = *organisation.Priority
		}
	}
	job.service = configuration.Service(pickService(route.Services, job.rng))
	job.deadline = requestDeadline(route, request)
	if job.isHeld(request.Arrived) {
		return job.finalRefusal()
	}
	return job.checkCongestion(request.Arrived)
}

// authorize returns the route of a request and the organisation that its key belongs to, which is nil if the route needs no key and the request
// has none. The route is valid even if the request is refused.
func (c *Configuration) authorize(request *Request) (*Route, *Organisation, *fault.Error) {
	route := c.Route(request.Host, request.Path)
	if route == nil {
		return &Route{}, nil, fault.NotRun(fault.StepDecode, fault.CodeUnknownService, "no route matches this host and path")
	}
	organisation := c.Organisation(request.Key)
	if organisation == nil && c.refusesKey(route, request.Key) {
		return route, nil, fault.NotRun(fault.StepAuthenticate, fault.CodeUnauthenticated, "the API key is unknown")
	}
	if route.AllowsNoModel && (route.HasPrompt || request.Model != "") {
		return route, nil, fault.NotRun(fault.StepAdmit, fault.CodeNotAllowed, "the route allows no model")
	}
	if !route.mayAnswer(request) {
		return route, nil, fault.NotRun(fault.StepAdmit, fault.CodeNotAllowed, "the route does not list the model")
	}
	return route, organisation, nil
}

// requestDeadline returns the time by which the answer must be complete; zero if there is none.
func requestDeadline(route *Route, request *Request) time.Time {
	timeout := route.Timeout
	if request.Timeout > 0 && (timeout == 0 || request.Timeout < timeout) {
		timeout = request.Timeout
	}
	if timeout == 0 {
		return time.Time{}
	}
	return request.Arrived.Add(timeout)
}

// pickService picks a service at random, in proportion to the weights.
func pickService(services []WeightedService, rng *rand.Rand) string {
	if len(services) == 1 {
		return services[0].Service
	}
	total := 0.0
	for _, weighted := range services {
		total += weighted.Weight
	}
	remainingWeight := rng.Float64() * total
	for _, weighted := range services {
		if remainingWeight -= weighted.Weight; remainingWeight < 0 {
			return weighted.Service
		}
	}
	return ""
}
