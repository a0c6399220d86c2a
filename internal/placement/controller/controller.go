// Package controller carries out the placement. The holder of the placement lease reads demand, declarations and the state
// of all engines, lets internal/placement decide, and commands the engines until they report the desired state. Each round
// reads everything anew except the forecast and the commands not yet observed, so that the next lease holder can continue
// where a failed one stopped.
package controller

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/demand"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/lease"
	"github.com/cicadawall/cicadawall/internal/placement"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/worker"
)

// Duty is the name of the periodic duty.
const Duty = "placement"

const (
	// minInterval is the shortest interval between rounds, and intervalPerEngine its increase with the number of engines. A
	// load report takes about 300 bytes, so that reading all reports stays near 10 KB/s.
	minInterval       = 5 * time.Second
	intervalPerEngine = 30 * time.Millisecond
	// roundTimeout bounds one round.
	roundTimeout = 30 * time.Second
	// maxLoadsPerRound bounds the loads of one round, in addition to the weight store's rate.
	maxLoadsPerRound = 8
	// reissueTimeout is the time for which a load command whose effect the engine does not report is sent again. After it
	// the version may be loaded on another engine. Loads that the engine reports as in progress may take longer.
	reissueTimeout = 3 * time.Minute
	// defaultWeightsBackoff is the wait after a refusal of the weight store that states no retry time.
	defaultWeightsBackoff = 5 * time.Second
)

// Engines calls the admin interface of engines.
type Engines interface {
	// Load reads the engine's load report.
	Load(ctx context.Context, engine api.InstanceEntry) (api.EngineLoad, error)
	// Command sends the desired state to the engine. ErrStaleFence means that the engine refused an outdated fence.
	Command(ctx context.Context, engine api.InstanceEntry, command api.EngineCommand) error
}

// ErrStaleFence means that an engine refused a command because it knows a newer fence.
var ErrStaleFence = errors.New("the engine refused a stale fence")

// Lease grants permission to command engines.
type Lease interface {
	// Fence returns the grant that is valid at the given time, or a fault if the lease is not held.
	Fence(now time.Time) (lease.Grant, *fault.Error)
}

// Options holds the dependencies of a Controller.
type Options struct {
	Lease     Lease
	Instances platform.Instances
	Weights   platform.Weights
	Engines   Engines
	// Config returns the configuration in force, or a fault if it is stale.
	Config func(now time.Time) (*declaration.Snapshot, *fault.Error)
	// Demand returns the concurrent requests of all instances by version.
	Demand func(now time.Time) []demand.VersionLoad
	Log    *slog.Logger
}

// Controller places versions while this instance holds the lease. It is used by its duty only.
type Controller struct {
	opts Options
	// fence is the fence under which the fields below were collected.
	fence    int64
	forecast *placement.Forecast
	// pendingLoads holds, by engine, the loads that the weight store granted and whose effect is not yet observed.
	pendingLoads map[string]pendingLoad
	// knownEngines is the number of engines in the last instance list that was accepted.
	knownEngines int
	// weightsRetryAt is the earliest time of the next request to the weight store.
	weightsRetryAt time.Time
}

// pendingLoad is a move with a load whose effect is not yet observed.
type pendingLoad struct {
	move      placement.Move
	grantedAt time.Time
}

// New returns a controller without state from earlier rounds.
func New(opts Options) *Controller {
	c := &Controller{opts: opts}
	c.reset(0)
	return c
}

func (c *Controller) reset(fence int64) {
	c.fence = fence
	c.forecast = placement.NewForecast()
	c.pendingLoads = map[string]pendingLoad{}
	c.knownEngines = 0
	c.weightsRetryAt = time.Time{}
}

// Duty returns the periodic duty that runs the rounds.
func (c *Controller) Duty() worker.Duty {
	return worker.Duty{
		Name:     Duty,
		Interval: func() time.Duration { return max(minInterval, time.Duration(c.knownEngines)*intervalPerEngine) },
		Timeout:  roundTimeout,
		Run:      c.Run,
	}
}

// Run executes one round. It does nothing without the lease or a fresh configuration, and fails without a plausible list of
// engines.
func (c *Controller) Run(ctx context.Context) error {
	now := time.Now()
	grant, problem := c.opts.Lease.Fence(now)
	if problem != nil {
		c.reset(0)
		return nil
	}
	if grant.Fence != c.fence {
		c.reset(grant.Fence)
	}
	snapshot, problem := c.opts.Config(now)
	if problem != nil {
		return nil
	}
	engines, err := c.observe(ctx)
	if err != nil {
		return err
	}
	now = time.Now()
	c.prunePendingLoads(engines, snapshot, now)
	plan := placement.Decide(c.placementInput(engines, snapshot, now))
	if len(plan.ShortVersions) > 0 {
		c.opts.Log.Debug("versions lack replicas", "versions", len(plan.ShortVersions), "first", plan.ShortVersions[0].String())
	}
	r := &round{Controller: c, engines: engines}
	return r.sendMoves(ctx, plan.Moves)
}
