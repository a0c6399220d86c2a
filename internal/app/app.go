// Package app assembles one entry instance: it builds the tables, clients, periodic duties and HTTP servers, runs them, and
// drains them at a planned stop.
package app

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cicadawall/cicadawall/internal/access"
	"github.com/cicadawall/cicadawall/internal/admission"
	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/billing"
	"github.com/cicadawall/cicadawall/internal/configsync"
	"github.com/cicadawall/cicadawall/internal/demand"
	"github.com/cicadawall/cicadawall/internal/dispatch"
	"github.com/cicadawall/cicadawall/internal/engine"
	"github.com/cicadawall/cicadawall/internal/fleet"
	"github.com/cicadawall/cicadawall/internal/membership"
	"github.com/cicadawall/cicadawall/internal/order"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/quality"
	"github.com/cicadawall/cicadawall/internal/routing"
	"github.com/cicadawall/cicadawall/internal/server/controlhttp"
	"github.com/cicadawall/cicadawall/internal/session"
	"github.com/cicadawall/cicadawall/internal/settings"
	"github.com/cicadawall/cicadawall/internal/status"
	"github.com/cicadawall/cicadawall/internal/table"
	"github.com/cicadawall/cicadawall/internal/telemetry"
	"github.com/cicadawall/cicadawall/internal/worker"
)

const (
	// dutyWorkerCount is the size of the worker pool for periodic duties. It exceeds the number of duties that wait for the
	// network at the same time, so that a slow call to the platform does not delay a lease renewal.
	dutyWorkerCount = 16
	// maxPrefixBlocks bounds the prefix index. At 16 to 64 bytes per block the index stays under 16 MB.
	maxPrefixBlocks = 200_000
	// maxCachedPins bounds the cache of session pins. It holds the sessions whose ids were chosen by callers.
	maxCachedPins = 50_000
	// sessionLifetime is the validity of a session handle.
	sessionLifetime = 24 * time.Hour
	// enginesPerVersion is the number of engines of each version that an instance uses.
	enginesPerVersion = 24
)

// Instance is one entry instance.
type Instance struct {
	settings    *api.Settings
	log         *slog.Logger
	incarnation string
	services    platform.Services
	closers     []func()

	config   *table.Config
	peers    *table.Peers
	servers  *table.Servers
	prefixes *routing.PrefixIndex
	versions *quality.Table
	metrics  *telemetry.Metrics

	membership   *membership.Service
	syncer       *configsync.Syncer
	fleet        *fleet.Fleet
	ledger       *billing.Ledger
	billCopies   *billing.Copies
	orders       *order.Service
	queue        *admission.Queue
	pool         *worker.Pool
	duties       *worker.Duties
	router       *dispatch.Router
	limits       *limitAdapter
	control      *controlhttp.Client
	owner        *quality.Owner
	reporter     *quality.Reporter
	sampler      *quality.Sampler
	classes      *status.ClassTable
	demand       *demand.Table
	placement    *placementRunner
	tlsConfigs   *portTLS
	operatorKeys access.OperatorKeys

	startedAt time.Time
	listeners []listener
	ready     atomic.Bool
	draining  atomic.Bool
}

// New builds an instance from validated settings. It already listens on its ports, so that a port in use is reported at once.
func New(instanceSettings *api.Settings, log *slog.Logger) (*Instance, error) {
	i := &Instance{
		settings:    instanceSettings,
		log:         log,
		incarnation: uuid.NewString(),
		servers:     table.NewServers(),
		peers:       table.NewPeers(),
		prefixes:    routing.NewPrefixIndex(maxPrefixBlocks),
		versions:    quality.NewTable(),
		metrics:     telemetry.NewMetrics(),
		classes:     status.NewClassTable(),
		demand:      demand.NewTable(time.Now()),
	}
	freshnessBound := settings.Millis(instanceSettings.Timing.FreshnessBoundMillis)
	i.config = table.NewConfig(freshnessBound, i.peers.Eligibility(freshnessBound))
	var err error
	if i.tlsConfigs, err = newTLS(instanceSettings.Tls, log); err != nil {
		return nil, err
	}
	if i.operatorKeys, err = access.NewOperatorKeys(instanceSettings.Keys.OperatorKeyHashes); err != nil {
		return nil, errors.Wrap(err, "load the operator keys")
	}
	if err := i.buildPlatformClient(); err != nil {
		return nil, err
	}
	if err := i.buildPeers(freshnessBound); err != nil {
		return nil, err
	}
	if err := i.buildRequestPath(); err != nil {
		return nil, err
	}
	return i, i.openPorts()
}

// buildRequestPath builds the components that process the requests of callers.
func (i *Instance) buildRequestPath() error {
	client := engine.NewClient(engine.Options{MaxConnsPerServer: i.settings.Limits.Workers})
	plain := engine.NewPlainClient(engine.Options{})
	i.closers = append(i.closers, client.Close, plain.Close)
	engines := &engineAdapter{client: client, servers: i.servers}
	services := &plainAdapter{client: plain, servers: i.servers}

	sessions, err := i.newSessions()
	if err != nil {
		return err
	}
	i.fleet = fleet.New(fleet.Options{
		Servers:          i.servers,
		Prefixes:         i.prefixes,
		Instances:        i.services.Instances,
		Loads:            engines,
		Caches:           engines,
		Log:              i.log,
		Instance:         i.incarnation,
		AvailabilityZone: i.settings.Instance.AvailabilityZone,
		Members:          i.members,
		MembersVersion:   i.peers.LastSequence,
		SubsetSize:       enginesPerVersion,
		ListInterval:     settings.Millis(i.settings.Timing.ListPollMillis),
		LoadInterval:     time.Second,
	})
	i.orders = order.New(order.Config{
		Table:       i.services.Table,
		Dispatcher:  services,
		Servers:     &dispatch.PlainServers{Config: i.config, Servers: i.servers, AvailabilityZone: i.settings.Instance.AvailabilityZone},
		Incarnation: i.incarnation,
	})
	i.placement = i.newPlacementRunner(client)
	i.queue = admission.NewQueue(i.settings.Limits.QueueLength)
	i.metrics.RegisterGauge("cicadawall_evacuated_zones", func() float64 { return float64(i.config.Snapshot().EvacuatedZones()) })
	i.router = dispatch.NewRouter(dispatch.Dependencies{
		AvailabilityZone: i.settings.Instance.AvailabilityZone,
		Incarnation:      i.incarnation,
		Config:           i.config,
		Servers:          i.servers,
		Prefixes:         i.prefixes,
		Queue:            i.queue,
		Planner:          dispatch.NewPlanner(i.versions),
		Sessions:         sessions,
		Ledger:           i.ledger,
		Limiter:          i.limits,
		Engine:           engines,
		Services:         services,
		Orders:           i.orders,
		Retries:          dispatch.NewRetries(),
		Sampler:          i.sampler,
		Demand:           i.demand,
		Metrics:          i.metrics,
		Classes:          i.classes,
		Traces:           dispatch.NewTraces(),
		Log:              i.log,
		MaxBodyBytes:     int64(i.settings.Limits.MaxBodyBytes),
	})
	return nil
}

func (i *Instance) newSessions() (*session.Pins, error) {
	var keys []session.Key
	for _, key := range i.settings.Keys.Session {
		keys = append(keys, session.Key{ID: key.Id, Secret: settings.DecodeSecret(key)})
	}
	signer, err := session.NewSigner(keys, sessionLifetime)
	if err != nil {
		return nil, errors.Wrap(err, "load the session keys")
	}
	return session.NewPins(i.services.Table, signer, maxCachedPins)
}

// members returns the registered instances with their availability zones.
func (i *Instance) members() []routing.Member {
	var members []routing.Member
	for _, peer := range i.peers.RegisteredInstances() {
		members = append(members, routing.Member{ID: peer.Registration.Incarnation, Zone: peer.Registration.AvailabilityZone})
	}
	return members
}

// Run serves requests until the context ends and then drains the instance. It returns nil after a complete drain.
func (i *Instance) Run(ctx context.Context) error {
	i.duties = worker.NewDuties(dutyWorkerCount, i.log)
	i.startDuties()
	i.pool = worker.NewPool(i.settings.Limits.Workers, i.queue)
	var group errgroup.Group
	for _, l := range i.listeners {
		group.Go(func() error {
			err := l.serve()
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return errors.Wrapf(err, "serve the %s port", l.name)
		})
	}
	i.startedAt = time.Now()
	i.ready.Store(true)
	i.log.Info("instance is serving", "incarnation", i.incarnation, "caller", i.settings.Listen.Caller,
		"operator", i.settings.Listen.Operator, "peer", i.settings.Listen.Peer)
	<-ctx.Done()
	drainErr := i.drain()
	if err := group.Wait(); err != nil {
		return err
	}
	return drainErr
}

func (i *Instance) startDuties() {
	for _, duties := range [][]worker.Duty{
		i.syncer.Duties(),
		i.membership.Duties(),
		i.fleet.Duties(),
		i.ledger.Duties(),
		{i.billCopies.Duty(), i.orders.Duty(), i.reporter.Duty(), (&quarantineSync{instance: i}).duty(), i.tlsConfigs.duty()},
		i.sampler.Duties(),
		i.limits.duties(),
		i.placement.duties(),
	} {
		for _, duty := range duties {
			i.duties.Add(duty)
		}
	}
}
