package matrix

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cicadawall/cicadawall/internal/admission"
	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/cascade"
	"github.com/cicadawall/cicadawall/internal/configsync"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/demand"
	"github.com/cicadawall/cicadawall/internal/dispatch"
	"github.com/cicadawall/cicadawall/internal/membership"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
	"github.com/cicadawall/cicadawall/internal/quality"
	"github.com/cicadawall/cicadawall/internal/quorum"
	"github.com/cicadawall/cicadawall/internal/routing"
	"github.com/cicadawall/cicadawall/internal/session"
	"github.com/cicadawall/cicadawall/internal/status"
	"github.com/cicadawall/cicadawall/internal/table"
	"github.com/cicadawall/cicadawall/internal/telemetry"
	"github.com/cicadawall/cicadawall/internal/worker"
)

const (
	freshness = 6 * time.Second
	// armed is the age of a site at which faults may start; the instances serve by then.
	armed = 10 * time.Second
	// changeAt is the age at which the operator withdraws the first versions.
	changeAt = 20 * time.Second
	// answerWords is the number of text chunks of an answer.
	answerWords = 3
)

// site is a world of whole instances: registration, configuration, request path and bills run on the real code.
type site struct {
	*till
	objects  *memory.Objects
	versions *quality.Table
	hubs     []*hub
	// operator is the instance that gets the change.
	operator string

	mu sync.Mutex
	// accepted is the revision that the operator was told to be in force everywhere.
	accepted int64
	sends    map[string]int
	refused  map[string]bool
	ended    map[string]bool
	pinned   map[string]map[string]bool
	asked    []asked
}

// hub is one instance of the site.
type hub struct {
	*instance
	site    *site
	port    int
	cashier *cashier
	peers   *table.Peers
	config  *table.Config
	members *membership.Service
	syncer  *configsync.Syncer
	queue   *admission.Queue
	pool    *worker.Pool
	router  *dispatch.Router
	// out is set while the balancer sends no new requests here.
	out bool
	// highest is the highest revision that the watch saw in force.
	highest int64
}

// newSite starts instances a, b and c. A joining site has an instance d that starts later.
func newSite(w *world, joining bool, lifetime time.Duration) *site {
	w.billing = lifetime
	s := &site{till: newTill(w), objects: memory.NewObjects(), versions: quality.NewTable(), operator: "a",
		sends: map[string]int{}, refused: map[string]bool{}, ended: map[string]bool{}, pinned: map[string]map[string]bool{}}
	s.versions.AddRatings(evidence())
	for i, name := range []string{"a", "b", "c"} {
		s.hubs = append(s.hubs, s.newHub(name, 9001+i))
	}
	if joining {
		d := s.newHub("d", 9004)
		d.out = true
		s.hubs = append(s.hubs, d)
	}
	for _, h := range s.hubs[:3] {
		h.run()
		advance(137 * time.Millisecond)
	}
	return s
}

// evidence makes a chain of the small and the large model the cheapest one that meets the target of class chain.
func evidence() []cascade.Sample {
	var samples []cascade.Sample
	for range 100 {
		for _, v := range []string{"v1", "v2"} {
			small, large := declaration.VersionID{Model: "small", Version: v}, declaration.VersionID{Model: "large", Version: v}
			add := func(key cascade.Key, score, confidence float64) {
				key.Class = "chain"
				samples = append(samples, cascade.Sample{Key: key, Score: score, Confidence: confidence})
			}
			add(cascade.Key{Version: small}, 0.95, 0.9)
			add(cascade.Key{Version: small}, 0.05, 0.2)
			add(cascade.Key{Version: large}, 0.95, 0.9)
			add(cascade.Key{Version: large, EscalatedFrom: small}, 0.95, 0.2)
		}
	}
	return samples
}

// catalogue is a document in which version v1 of both models has the state.
func catalogue(state api.VersionState) string {
	const models = `models:
- {name: small, versions: [{name: v1, inputCost: 1, outputCost: 1, expectedQuality: 0.9, state: %[1]s}, {name: v2, inputCost: 1, outputCost: 1, expectedQuality: 0.9}]}
- {name: large, versions: [{name: v1, inputCost: 10, outputCost: 10, expectedQuality: 0.95, state: %[1]s}, {name: v2, inputCost: 10, outputCost: 10, expectedQuality: 0.95}]}
classes:
- {name: check, priority: 5, target: {quality: 0.5, deadlineMillis: 60000}}
- {name: chain, priority: 5, target: {quality: 0.85, deadlineMillis: 60000}}
- {name: once, priority: 5, repeatable: false, target: {quality: 0.5, deadlineMillis: 60000}}
organisations:
- {name: posters, keyHashes: ["ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"], allow: [{model: small, versions: [v1, v2]}, {model: large, versions: [v1, v2]}]}
- {name: vinyl, keyHashes: ["3e23e8160039594a33894f6564e1b1348bbd7a0088d42c4acb73eeaed59c009d"], allow: [{model: large, versions: [v1, v2]}]}
`
	return fmt.Sprintf(models, state)
}

func (s *site) newHub(name string, port int) *hub {
	h := &hub{instance: s.node(name), site: s, port: port, peers: table.NewPeers(), cashier: s.open(name, true)}
	bound := freshness
	h.config = table.NewConfig(bound, h.peers.Eligibility(bound))
	acceptBound := freshness
	if s.run.Broken("accepted without 2B") {
		acceptBound = 0
	}
	log := slog.New(slog.DiscardHandler)
	h.syncer = configsync.New(configsync.Options{
		Table: h, Objects: hubObjects{h}, Transport: hubPeers{h}, Peers: h.peers, Config: h.config, Log: log,
		ReadRegistrations: func(ctx context.Context) error {
			h.local("accept")
			return h.members.CatchUp(ctx)
		},
		TriggerDuty:    func(duty string) { h.w.loops.Go(func() { h.duty(duty) }) },
		FreshnessBound: acceptBound, PollInterval: time.Second,
	})
	h.members = membership.New(membership.Options{
		Registration: api.Registration{Incarnation: name, Name: name, Ip: "127.0.0.1", PeerPort: port},
		Peers:        h.peers, Config: h.config, Table: h, Instances: hubList{h}, Transport: hubPeers{h}, Log: log,
		Random:        rand.New(rand.NewPCG(uint64(port), 1)),
		ConfirmConfig: h.syncer.Poll, OnNewerRevision: h.syncer.PeerReported, DigestInterval: time.Second, ListInterval: 2 * time.Second,
	})
	h.queue = admission.NewQueue(16)
	h.router = dispatch.NewRouter(h.parts(log))
	return h
}

func (h *hub) parts(log *slog.Logger) dispatch.Dependencies {
	signer, err := session.NewSigner([]session.Key{{ID: "k", Secret: []byte(strings.Repeat("s", 32))}}, time.Hour)
	if err != nil {
		h.w.run.Failf("signer: %v", err)
	}
	pins, err := session.NewPins(h, signer, 100)
	if err != nil {
		h.w.run.Failf("pins: %v", err)
	}
	servers := table.NewServers()
	servers.Sync([]api.InstanceEntry{{Id: "e1", Kind: api.KindEngine}, {Id: "e2", Kind: api.KindEngine}})
	var loaded []api.LoadedVersion
	for _, model := range []string{"small", "large"} {
		loaded = append(loaded, api.LoadedVersion{Model: model, Version: "v1"}, api.LoadedVersion{Model: model, Version: "v2"})
	}
	for _, id := range []string{"e1", "e2"} {
		servers.ObserveLoad(id, api.EngineLoad{Versions: loaded, Capacity: 8}, time.Now())
	}
	seeds := rand.New(rand.NewPCG(uint64(h.port), 2))
	var mu sync.Mutex
	return dispatch.Dependencies{
		Config: h.config, Servers: servers, Prefixes: routing.NewPrefixIndex(100), Queue: h.queue,
		Planner: dispatch.NewPlanner(h.site.versions), Sessions: pins, Ledger: hubLedger{h}, Limiter: hubLimiter{h}, Engine: hubEngine{h},
		Retries: dispatch.NewRetries(), Sampler: hubSampler{h}, Metrics: telemetry.NewMetrics(), Classes: status.NewClassTable(),
		Demand: demand.NewTable(time.Now()), Traces: dispatch.NewTraces(), Log: log,
		Random: func() *rand.Rand {
			mu.Lock()
			defer mu.Unlock()
			return rand.New(rand.NewPCG(seeds.Uint64(), seeds.Uint64()))
		},
	}
}

// run starts the duties and the workers.
func (h *hub) run() {
	for _, duty := range append(h.members.Duties(), h.syncer.Duties()...) {
		h.every(duty.Interval(), func(ctx context.Context) { h.runDuty(ctx, duty) })
	}
	h.pool = worker.NewPool(4, hubSource{h})
	h.every(250*time.Millisecond, func(context.Context) { h.watch() })
}

func (h *hub) runDuty(ctx context.Context, duty worker.Duty) {
	ctx, cancel := context.WithTimeout(ctx, duty.Timeout)
	defer cancel()
	_ = duty.Run(ctx)
}

// duty runs one duty of the configuration at once.
func (h *hub) duty(name string) {
	for _, duty := range h.syncer.Duties() {
		if duty.Name == name && !h.isDead() {
			h.runDuty(context.Background(), duty)
		}
	}
}

// watch checks that the revision in force never falls and is not older than the accepted one (I10).
func (h *hub) watch() {
	if h.isDead() {
		return
	}
	snapshot, refused := h.config.SnapshotIfEligible(time.Now())
	if refused != nil {
		return
	}
	if snapshot.Revision < h.highest {
		h.w.run.Failf("I10: revision %d is in force at %s after revision %d", snapshot.Revision, h.name, h.highest)
	}
	h.highest = snapshot.Revision
	id := declaration.VersionID{Model: "small", Version: "v1"}
	if _, refused := h.config.Permit("posters", "check", id, time.Now()); refused == nil && h.site.withdrawn(id) {
		h.w.run.Failf("I10: %s gives permits of revision %d although revision %d was accepted", h.name, snapshot.Revision, h.site.acceptedRevision())
	}
}

func (s *site) acceptedRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// withdrawn reports whether the operator was told that the version takes no new work anywhere.
func (s *site) withdrawn(id declaration.VersionID) bool {
	return id.Version == "v1" && s.acceptedRevision() >= 2
}

// change applies a document through the instances in turn until it is accepted.
func (s *site) change(base int64, id, document string, through ...string) {
	for attempt := 0; time.Since(s.start) < s.lifetime-5*time.Second; attempt++ {
		h := s.hub(through[attempt%len(through)])
		if h.isDead() {
			advance(time.Second)
			continue
		}
		response := h.syncer.Apply(context.Background(), api.ApplyRequest{
			BaseRevision: base, ChangeID: id, Author: "operator", Document: document, WaitMillis: 30_000})
		h.waitPause()
		if h.isDead() {
			continue
		}
		switch response.State {
		case api.ApplyAccepted:
			s.mu.Lock()
			s.accepted = max(s.accepted, response.Revision)
			s.mu.Unlock()
			return
		case api.ApplyConflict, api.ApplyInvalid:
			s.run.Failf("I10: the change %s was answered %+v", id, response)
			return
		}
		advance(time.Second)
	}
	s.run.Stuckf("the change %s was not accepted", id)
}

func (s *site) hub(name string) *hub {
	for _, h := range s.hubs {
		if h.name == name {
			return h
		}
	}
	return nil
}

// serve runs the site: a first configuration, requests at every instance, and a change that withdraws versions.
func (s *site) serve(extra func()) {
	s.loops.Go(func() {
		advance(2 * time.Second)
		s.change(0, "change-1", catalogue(api.VersionServing), "b", "c")
	})
	s.loops.Go(func() {
		advance(time.Until(s.start.Add(changeAt)))
		s.change(1, "change-2", catalogue(api.VersionWithdrawn), s.operator, "b", "c")
	})
	if extra != nil {
		s.loops.Go(extra)
	}
	s.traffic()
	s.settle()
	for _, h := range s.hubs {
		h.queue.Close()
		if h.pool == nil {
			continue
		}
		_ = h.pool.Wait(context.Background())
	}
	s.checkAll()
}

// join starts instance d; the balancer sends it requests once it may take work.
func (s *site) join() func() {
	d := s.hub("d")
	return func() {
		advance(time.Until(s.start.Add(armed + time.Second)))
		d.run()
		d.every(time.Second, func(context.Context) {
			if _, refused := d.config.SnapshotIfEligible(time.Now()); refused == nil {
				d.setOut(false)
			}
		})
	}
}

func (h *hub) setOut(out bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.out = out
}

// goneAfter is the time after which a dead instance must have lost its registration: it counts as heard for 30 s, which
// covers the lag of the list, then 30 s of absence, the spread of removals and two polls.
const goneAfter = 30*time.Second + 30*time.Second + 10*time.Second + 5*time.Second

// checkMembers checks that every running instance knows the running ones, and none that died long ago.
func (s *site) checkMembers() {
	running := 0
	for _, h := range s.hubs {
		if !h.isDead() && !h.isOut() {
			running++
		}
	}
	for _, h := range s.hubs {
		if h.isDead() || h.isOut() {
			continue
		}
		if _, registered := h.peers.Self(); !registered {
			s.run.Stuckf("%s runs and is not registered", h.name)
		}
		if verdict := quorum.CheckMajorities(h.peers.QuorumView().Members, s.acceptedRevision()); !verdict.Satisfied {
			s.run.Stuckf("%s does not see the accepted revision at the required majorities", h.name)
		}
		if live := h.peers.Count(); live < running {
			s.run.Stuckf("%s knows %d registered instances, %d run", h.name, live, running)
		}
		for _, peer := range h.peers.RegisteredInstances() {
			if dead := s.node(peer.Registration.Name); dead.isDead() && s.start.Add(s.lifetime).Sub(dead.dead) > goneAfter {
				s.run.Stuckf("%s still counts %s, which died long ago", h.name, peer.Registration.Name)
			}
		}
	}
}
