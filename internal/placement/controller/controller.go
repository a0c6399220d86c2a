// Package controller carries out the placement: the holder of the placement lease reads demand, declarations and the state
// of all engines, lets internal/placement decide, and commands the engines until they show the desired state. Everything
// but the forecast and the commands not yet observed is read anew each round, so that the next holder goes on where a lost
// one stopped.
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

// Duty names the periodic duty.
const Duty = "placement"

const (
	// minInterval is the shortest interval of rounds, and perEngine its growth by the number of engines: a load report takes
	// about 300 bytes, so that reading them all stays near 10 KB/s.
	minInterval = 5 * time.Second
	perEngine   = 30 * time.Millisecond
	// roundTimeout bounds one round.
	roundTimeout = 30 * time.Second
	// loadsPerRound bounds the loads of one round besides the weight store's rate.
	loadsPerRound = 8
	// reissueFor is the time for which a command that the engine does not show is sent again before the engine is given up
	// and the version may go elsewhere. Loads that the engine shows as in progress may take longer.
	reissueFor = 3 * time.Minute
	// refusedWait is the wait after a refusal of the weight store that names none.
	refusedWait = 5 * time.Second
)

// Engines is the admin adapter of engines.
type Engines interface {
	// Load reads the load report.
	Load(ctx context.Context, engine api.InstanceEntry) (api.EngineLoad, error)
	// Command states the desired state. ErrOldFence means that the engine refused an old fencing number.
	Command(ctx context.Context, engine api.InstanceEntry, command api.EngineCommand) error
}

// ErrOldFence is the refusal of a command because of its fencing number.
var ErrOldFence = errors.New("the engine refused an old fencing number")

// Lease is the right to command engines.
type Lease interface {
	// Fence returns the right at the given time, or a fault if it is not held.
	Fence(now time.Time) (lease.Grant, *fault.Error)
}

// Options are the parts of a Controller.
type Options struct {
	Lease     Lease
	Instances platform.Instances
	Weights   platform.Weights
	Engines   Engines
	// Config returns the configuration in force, or a fault if it is not fresh.
	Config func(now time.Time) (*declaration.Snapshot, *fault.Error)
	// Demand returns the concurrent requests of all instances by version.
	Demand func(now time.Time) []demand.Concurrent
	Log    *slog.Logger
}

// Controller places versions while this instance holds the lease. Only its duty uses it.
type Controller struct {
	opts Options
	// fence is the fencing number under which the fields below were gathered.
	fence    int64
	forecast *placement.Forecast
	// pending holds the loads by engine that were granted and not yet observed.
	pending map[string]pending
	// known is the number of engines of the last complete list.
	known int
	// weightsAt is the time from which the weight store may be asked again.
	weightsAt time.Time
}

// pending is a move with a load whose effect was not observed yet.
type pending struct {
	move  placement.Move
	since time.Time
}

// New returns a controller that holds no state.
func New(opts Options) *Controller {
	c := &Controller{opts: opts}
	c.reset(0)
	return c
}

func (c *Controller) reset(fence int64) {
	c.fence = fence
	c.forecast = placement.NewForecast()
	c.pending = map[string]pending{}
	c.known = 0
	c.weightsAt = time.Time{}
}

// Duty returns the periodic duty.
func (c *Controller) Duty() worker.Duty {
	return worker.Duty{
		Name:     Duty,
		Interval: func() time.Duration { return max(minInterval, time.Duration(c.known)*perEngine) },
		Timeout:  roundTimeout,
		Run:      c.Run,
	}
}

// Run is one round. Without the lease, a fresh configuration or a credible list of engines it does nothing.
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
	c.settle(engines, snapshot, now)
	plan := placement.Decide(c.input(engines, snapshot, now))
	if len(plan.Short) > 0 {
		c.opts.Log.Debug("versions lack replicas", "versions", len(plan.Short), "first", plan.Short[0].String())
	}
	r := &round{Controller: c, engines: engines}
	return r.carryOut(ctx, plan.Moves)
}
