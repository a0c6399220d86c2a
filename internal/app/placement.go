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

// DutyDemand names the duty that reports the demand for versions to the candidates of the placement lease.
const DutyDemand = "placement-demand"

// releaseTimeout bounds the release of the lease at a planned stop.
const releaseTimeout = 2 * time.Second

// placements is the instance's part in the placement: it reports its demand, and as one of the candidates it may hold the
// lease and command engines.
type placements struct {
	instance   *Instance
	keeper     *lease.Keeper
	controller *controller.Controller
}

func (i *Instance) newPlacements(client *engine.Client) *placements {
	p := &placements{instance: i}
	p.keeper = lease.NewKeeper(lease.Config{Table: i.services.Table, Name: demand.LeaseName, Incarnation: i.incarnation})
	p.controller = controller.New(controller.Options{
		Lease:     p.keeper,
		Instances: i.services.Instances,
		Weights:   i.services.Weights,
		Engines:   commander{client: client},
		Config:    i.config.Current,
		Demand:    func(now time.Time) []demand.Concurrent { return i.demand.Total(p.instances(), now) },
		Log:       i.log,
	})
	return p
}

func (p *placements) duties() []worker.Duty {
	holder := p.keeper.Duty()
	acquire := holder.Run
	holder.Run = func(ctx context.Context) error {
		if !p.candidate() {
			// Only the candidates receive the reports of demand, and only their reads of the lease row load the table service.
			return nil
		}
		return acquire(ctx)
	}
	report := worker.Duty{
		Name:     DutyDemand,
		Interval: func() time.Duration { return demand.Interval(p.instances()) },
		Timeout:  demand.Candidates * peerTimeout,
		Run:      p.report,
	}
	return []worker.Duty{holder, report, p.controller.Duty()}
}

// candidates returns the incarnations that may hold the lease.
func (p *placements) candidates() []string {
	members := limitView(p.instance.incarnation, nil, p.instance.peers).Members
	rendezvous.Sort(demand.LeaseName, members)
	return members[:min(len(members), demand.Candidates)]
}

func (p *placements) candidate() bool {
	for _, member := range p.candidates() {
		if member == p.instance.incarnation {
			return true
		}
	}
	return false
}

func (p *placements) instances() int { return max(1, len(p.instance.peers.Live())) }

// report sends this instance's demand to every candidate, so that each of them can go on as the holder.
func (p *placements) report(ctx context.Context) error {
	now := time.Now()
	report := api.DemandReport{Incarnation: p.instance.incarnation, Demands: []api.Demand{}, Versions: p.instance.demand.Report(now)}
	var first error
	for _, member := range p.candidates() {
		if member == p.instance.incarnation {
			p.instance.demand.Take(report, now)
			continue
		}
		if _, err := p.instance.control.ReportDemand(ctx, member, report); err != nil && first == nil {
			first = errors.Wrapf(err, "report demand to candidate %s", member)
		}
	}
	return first
}

// release gives the lease up at a planned stop, so that another candidate need not wait for its end.
func (p *placements) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := p.keeper.Release(ctx); err != nil {
		p.instance.log.Info("placement lease not released; it expires", "error", err.Error())
	}
}

// commander adapts the admin calls of engines to the placement.
type commander struct{ client *engine.Client }

// Load implements controller.Engines.
func (c commander) Load(ctx context.Context, entry api.InstanceEntry) (api.EngineLoad, error) {
	report, err := c.client.Load(ctx, peerOf(entry))
	if err != nil {
		return api.EngineLoad{}, err
	}
	return report.Load, nil
}

// Command implements controller.Engines.
func (c commander) Command(ctx context.Context, entry api.InstanceEntry, command api.EngineCommand) error {
	_, err := c.client.Command(ctx, peerOf(entry), command)
	var failure *engine.Error
	if errors.As(err, &failure) && failure.Kind == engine.KindStaleFence {
		return errors.Wrap(controller.ErrOldFence, err.Error())
	}
	return err
}
