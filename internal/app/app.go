// Package app wires one entry instance together: it builds the tables, protocols, duties and servers, runs them, and drains
// them at a planned stop.
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
	// dutyWorkers is the size of the pool for periodic duties. It exceeds the number of duties that wait for the network at
	// the same time, so that a slow platform call delays no renewal.
	dutyWorkers = 16
	// prefixBlocks bounds the prefix index; at 16 to 64 bytes a block it stays under 16 MB.
	prefixBlocks = 200_000
	// sessionCache bounds the cached pins of sessions whose ids callers chose.
	sessionCache = 50_000
	// sessionLifetime is the validity of a session handle.
	sessionLifetime = 24 * time.Hour
	// subsetSize is the number of engines of each version that an instance uses.
	subsetSize = 24
)

// Instance is one entry instance.
type Instance struct {
	set         *api.Settings
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

	membership *membership.Service
	syncer     *configsync.Syncer
	fleet      *fleet.Fleet
	ledger     *billing.Ledger
	copies     *billing.Copies
	orders     *order.Service
	queue      *admission.Queue
	pool       *worker.Pool
	duties     *worker.Duties
	router     *dispatch.Router
	limits     *limits
	control    *controlhttp.Client
	owner      *quality.Owner
	reporter   *quality.Reporter
	sampler    *quality.Sampler
	classes    *status.Classes
	demand     *demand.Table
	placement  *placements
	tls        *tlsSet
	operators  access.OperatorKeys

	started   time.Time
	listeners []listener
	ready     atomic.Bool
	draining  atomic.Bool
}

// New builds an instance from checked settings. It opens its ports, so that a port in use is reported at once.
func New(set *api.Settings, log *slog.Logger) (*Instance, error) {
	i := &Instance{
		set:         set,
		log:         log,
		incarnation: uuid.NewString(),
		servers:     table.NewServers(),
		peers:       table.NewPeers(),
		prefixes:    routing.NewPrefixIndex(prefixBlocks),
		versions:    quality.NewTable(),
		metrics:     telemetry.NewMetrics(),
		classes:     status.NewClasses(),
		demand:      demand.NewTable(time.Now()),
	}
	bound := settings.Millis(set.Timing.FreshnessBoundMillis)
	i.config = table.NewConfig(bound, i.peers.Majority(bound))
	var err error
	if i.tls, err = newTLS(set.Tls, log); err != nil {
		return nil, err
	}
	if i.operators, err = access.NewOperatorKeys(set.Keys.OperatorKeyHashes); err != nil {
		return nil, errors.Wrap(err, "operator keys")
	}
	if err := i.buildPlatform(); err != nil {
		return nil, err
	}
	if err := i.buildPeers(bound); err != nil {
		return nil, err
	}
	if err := i.buildRequestPath(); err != nil {
		return nil, err
	}
	return i, i.openPorts()
}

// buildRequestPath builds what serves callers.
func (i *Instance) buildRequestPath() error {
	client := engine.NewClient(engine.Options{MaxConnsPerServer: i.set.Limits.Workers})
	plain := engine.NewPlainClient(engine.Options{})
	i.closers = append(i.closers, client.Close, plain.Close)
	engines := &engines{client: client, servers: i.servers}
	services := &plainServices{client: plain, servers: i.servers}

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
		AvailabilityZone: i.set.Instance.AvailabilityZone,
		Members:          i.members,
		MembersVersion:   i.peers.Last,
		SubsetSize:       subsetSize,
		ListInterval:     settings.Millis(i.set.Timing.ListPollMillis),
		LoadInterval:     time.Second,
	})
	i.orders = order.New(order.Config{
		Table:       i.services.Table,
		Dispatcher:  services,
		Servers:     &dispatch.PlainServers{Servers: i.servers, AvailabilityZone: i.set.Instance.AvailabilityZone},
		Incarnation: i.incarnation,
	})
	i.placement = i.newPlacements(client)
	i.queue = admission.NewQueue(i.set.Limits.QueueLength)
	i.router = dispatch.NewRouter(dispatch.Dependencies{
		AvailabilityZone: i.set.Instance.AvailabilityZone,
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
		MaxBodyBytes:     int64(i.set.Limits.MaxBodyBytes),
	})
	return nil
}

func (i *Instance) newSessions() (*session.Pins, error) {
	var keys []session.Key
	for _, key := range i.set.Keys.Session {
		keys = append(keys, session.Key{ID: key.Id, Secret: settings.Secret(key)})
	}
	signer, err := session.NewSigner(keys, sessionLifetime)
	if err != nil {
		return nil, errors.Wrap(err, "session keys")
	}
	return session.NewPins(i.services.Table, signer, sessionCache)
}

// members returns the registered instances with their availability zones.
func (i *Instance) members() []routing.Member {
	var members []routing.Member
	for _, peer := range i.peers.Live() {
		members = append(members, routing.Member{ID: peer.Registration.Incarnation, Zone: peer.Registration.AvailabilityZone})
	}
	return members
}

// Run serves until the context ends and then drains. It returns nil after a complete drain.
func (i *Instance) Run(ctx context.Context) error {
	i.duties = worker.NewDuties(dutyWorkers, i.log)
	i.startDuties()
	i.pool = worker.NewPool(i.set.Limits.Workers, i.queue)
	var group errgroup.Group
	for _, l := range i.listeners {
		group.Go(func() error {
			err := l.serve()
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return errors.Wrapf(err, "serve %s", l.name)
		})
	}
	i.started = time.Now()
	i.ready.Store(true)
	i.log.Info("instance is serving", "incarnation", i.incarnation, "caller", i.set.Listen.Caller,
		"operator", i.set.Listen.Operator, "peer", i.set.Listen.Peer)
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
		{i.copies.Duty(), i.orders.Duty(), i.reporter.Duty(), (&quarantines{instance: i}).duty(), i.tls.duty()},
		i.sampler.Duties(),
		i.limits.duties(),
		i.placement.duties(),
	} {
		for _, duty := range duties {
			i.duties.Add(duty)
		}
	}
}
