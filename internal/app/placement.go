package app

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/demand"
	"github.com/cicadawall/cicadawall/internal/engine"
	"github.com/cicadawall/cicadawall/internal/lease"
	"github.com/cicadawall/cicadawall/internal/placement/controller"
	"github.com/cicadawall/cicadawall/internal/rendezvous"
	"github.com/cicadawall/cicadawall/internal/worker"
)

// DutyPlacementDemand names the duty that reports the demand for versions to the candidates of the placement lease.
const DutyPlacementDemand = "placement-demand"

// leaseReleaseTimeout bounds the call that releases the placement lease at a planned stop.
const leaseReleaseTimeout = 2 * time.Second

// placementRunner runs the instance's placement duties. Every instance reports its demand. A candidate may also hold the
// placement lease; the lease holder commands the engines.
type placementRunner struct {
	instance    *Instance
	leaseKeeper *lease.Keeper
	controller  *controller.Controller
}

func (i *Instance) newPlacementRunner(client *engine.Client) *placementRunner {
	p := &placementRunner{instance: i}
	p.leaseKeeper = lease.NewKeeper(lease.Config{Table: i.services.Table, Name: demand.LeaseName, Incarnation: i.incarnation})
	p.controller = controller.New(controller.Options{
		Lease:     p.leaseKeeper,
		Instances: i.services.Instances,
		Weights:   i.services.Weights,
		Engines:   engineCommander{client: client},
		Config:    i.config.SnapshotIfEligible,
		Demand:    func(now time.Time) []demand.VersionLoad { return i.demand.Total(p.instanceCount(), now) },
		Log:       i.log,
	})
	return p
}

func (p *placementRunner) duties() []worker.Duty {
	leaseDuty := p.leaseKeeper.Duty()
	keepLease := leaseDuty.Run
	leaseDuty.Run = func(ctx context.Context) error {
		if !p.isCandidate() {
			// Only candidates receive demand reports. Other instances do not read the lease row, which limits the load on the
			// table service.
			return nil
		}
		return keepLease(ctx)
	}
	reportDuty := worker.Duty{
		Name:     DutyPlacementDemand,
		Interval: func() time.Duration { return demand.ReportInterval(p.instanceCount()) },
		Timeout:  demand.LeaseCandidates * peerTimeout,
		Run:      p.reportDemand,
	}
	return []worker.Duty{leaseDuty, reportDuty, p.controller.Duty()}
}

// candidates returns the incarnations that may hold the placement lease.
func (p *placementRunner) candidates() []string {
	members := buildFleetView(p.instance.incarnation, nil, p.instance.peers).Members
	rendezvous.Sort(demand.LeaseName, members)
	return members[:min(len(members), demand.LeaseCandidates)]
}

func (p *placementRunner) isCandidate() bool {
	for _, member := range p.candidates() {
		if member == p.instance.incarnation {
			return true
		}
	}
	return false
}

func (p *placementRunner) instanceCount() int {
	return max(1, len(p.instance.peers.RegisteredInstances()))
}

// reportDemand sends this instance's demand to every candidate, so that each of them can take over as the lease holder.
func (p *placementRunner) reportDemand(ctx context.Context) error {
	now := time.Now()
	report := api.DemandReport{Incarnation: p.instance.incarnation, Demands: []api.Demand{}, Versions: p.instance.demand.Report(now)}
	var firstErr error
	for _, member := range p.candidates() {
		if member == p.instance.incarnation {
			p.instance.demand.HandleReport(report, now)
			continue
		}
		if _, err := p.instance.control.ReportDemand(ctx, member, report); err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "report demand to candidate %s", member)
		}
	}
	return firstErr
}

// releaseLease releases the placement lease at a planned stop, so that another candidate need not wait until it expires.
func (p *placementRunner) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), leaseReleaseTimeout)
	defer cancel()
	if err := p.leaseKeeper.Release(ctx); err != nil {
		p.instance.log.Info("placement lease could not be released; it blocks other candidates until it expires", "error", err.Error())
	}
}

// engineCommander adapts the engine client's admin calls to the placement controller.
type engineCommander struct{ client *engine.Client }

// Load implements controller.Engines.
func (c engineCommander) Load(ctx context.Context, entry api.InstanceEntry) (api.EngineLoad, error) {
	report, err := c.client.Load(ctx, serverAddress(entry))
	if err != nil {
		return api.EngineLoad{}, err
	}
	return report.Load, nil
}

// Command implements controller.Engines.
func (c engineCommander) Command(ctx context.Context, entry api.InstanceEntry, command api.EngineCommand) error {
	_, err := c.client.Command(ctx, serverAddress(entry), command)
	var failure *engine.Error
	if errors.As(err, &failure) && failure.Kind == engine.KindStaleFence {
		return errors.Wrap(controller.ErrStaleFence, err.Error())
	}
	return err
}
