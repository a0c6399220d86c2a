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
	freshnessBound = 6 * time.Second
	// faultsFrom is the age of a fleet from which faults may start; the instances serve requests by then.
	faultsFrom = 10 * time.Second
	// changeAfter is the age of a fleet at which the operator withdraws version v1 of both models.
	changeAfter = 20 * time.Second
	// answerTextChunks is the number of text chunks of an answer.
	answerTextChunks = 3
)

// fleet is a world of whole instances, which run the real code of registration, configuration, request path and billing.
type fleet struct {
	*billWorld
	objects      *memory.Objects
	qualityTable *quality.Table
	instances    []*fleetInstance
	// operatorInstance is the instance to which the operator first sends the withdrawal.
	operatorInstance string

	mu sync.Mutex
	// newestAccepted is the newest revision that was reported to the operator as accepted, that is, in force everywhere.
	newestAccepted    int64
	sendCounts        map[string]int
	refusedRequests   map[string]bool
	completedRequests map[string]bool
	sessionVersions   map[string]map[string]bool
	requests          []requestRecord
}

// fleetInstance is an instance of a fleet.
type fleetInstance struct {
	*instance
	fleet   *fleet
	port    int
	bills   *billInstance
	peers   *table.Peers
	config  *table.Config
	members *membership.Service
	syncer  *configsync.Syncer
	queue   *admission.Queue
	pool    *worker.Pool
	router  *dispatch.Router
	// outOfRotation is set while the load balancer sends no new requests to the instance.
	outOfRotation bool
	// highestRevision is the highest revision that watchRevision has seen in force.
	highestRevision int64
}

// newFleet starts instances a, b and c. With withJoiner, the fleet also has an instance d, which starts later.
func newFleet(w *world, withJoiner bool, lifetime time.Duration) *fleet {
	w.fleetLifetime = lifetime
	s := &fleet{billWorld: newBillWorld(w), objects: memory.NewObjects(), qualityTable: quality.NewTable(), operatorInstance: "a",
		sendCounts: map[string]int{}, refusedRequests: map[string]bool{}, completedRequests: map[string]bool{}, sessionVersions: map[string]map[string]bool{}}
	s.qualityTable.AddRatings(evidenceSamples())
	for i, name := range []string{"a", "b", "c"} {
		s.instances = append(s.instances, s.newInstance(name, 9001+i))
	}
	if withJoiner {
		d := s.newInstance("d", 9004)
		d.outOfRotation = true
		s.instances = append(s.instances, d)
	}
	for _, h := range s.instances[:3] {
		h.startDuties()
		advance(137 * time.Millisecond)
	}
	return s
}

// evidenceSamples returns samples by which a cascade from the small to the large model is the cheapest choice that meets the
// target of class chain.
func evidenceSamples() []cascade.Sample {
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

// declarationText returns a declaration document in which version v1 of both models has the given state.
func declarationText(state api.VersionState) string {
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

func (s *fleet) newInstance(name string, port int) *fleetInstance {
	h := &fleetInstance{instance: s.node(name), fleet: s, port: port, peers: table.NewPeers(), bills: s.openLedger(name, true)}
	bound := freshnessBound
	h.config = table.NewConfig(bound, h.peers.Eligibility(bound))
	acceptFreshness := freshnessBound
	if s.run.Broken("accepted without 2B") {
		acceptFreshness = 0
	}
	log := slog.New(slog.DiscardHandler)
	h.syncer = configsync.New(configsync.Options{
		Table: h, Objects: objectsLink{h}, Transport: peersLink{h}, Peers: h.peers, Config: h.config, Log: log,
		ReadRegistrations: func(ctx context.Context) error {
			h.local("accept")
			return h.members.CatchUp(ctx)
		},
		TriggerDuty:    func(duty string) { h.w.loops.Go(func() { h.runDutyNamed(duty) }) },
		FreshnessBound: acceptFreshness, PollInterval: time.Second,
	})
	h.members = membership.New(membership.Options{
		Registration: api.Registration{Incarnation: name, Name: name, Ip: "127.0.0.1", PeerPort: port},
		Peers:        h.peers, Config: h.config, Table: h, Instances: listLink{h}, Transport: peersLink{h}, Log: log,
		Random:        rand.New(rand.NewPCG(uint64(port), 1)),
		ConfirmConfig: h.syncer.Poll, OnNewerRevision: h.syncer.PeerReported, DigestInterval: time.Second, ListInterval: 2 * time.Second,
	})
	h.queue = admission.NewQueue(16)
	h.router = dispatch.NewRouter(h.dependencies(log))
	return h
}

func (h *fleetInstance) dependencies(log *slog.Logger) dispatch.Dependencies {
	signer, err := session.NewSigner([]session.Key{{ID: "k", Secret: []byte(strings.Repeat("s", 32))}}, time.Hour)
	if err != nil {
		h.w.run.Failf("create the session signer: %v", err)
	}
	pins, err := session.NewPins(h, signer, 100)
	if err != nil {
		h.w.run.Failf("create the session resolver: %v", err)
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
		Planner: dispatch.NewPlanner(h.fleet.qualityTable), Sessions: pins, Ledger: ledgerLink{h}, Limiter: limiterStep{h}, Engine: engineLink{h},
		Retries: dispatch.NewRetries(), Sampler: samplerStep{h}, Metrics: telemetry.NewMetrics(), Classes: status.NewClassTable(),
		Demand: demand.NewTable(time.Now()), Traces: dispatch.NewTraces(), Log: log,
		Random: func() *rand.Rand {
			mu.Lock()
			defer mu.Unlock()
			return rand.New(rand.NewPCG(seeds.Uint64(), seeds.Uint64()))
		},
	}
}

// startDuties starts the periodic duties and the workers.
func (h *fleetInstance) startDuties() {
	for _, duty := range append(h.members.Duties(), h.syncer.Duties()...) {
		h.every(duty.Interval(), func(ctx context.Context) { h.runDuty(ctx, duty) })
	}
	h.pool = worker.NewPool(4, queueStep{h})
	h.every(250*time.Millisecond, func(context.Context) { h.watchRevision() })
}

func (h *fleetInstance) runDuty(ctx context.Context, duty worker.Duty) {
	ctx, cancel := context.WithTimeout(ctx, duty.Timeout)
	defer cancel()
	_ = duty.Run(ctx)
}

// runDutyNamed runs the named duty of the configuration at once.
func (h *fleetInstance) runDutyNamed(name string) {
	for _, duty := range h.syncer.Duties() {
		if duty.Name == name && !h.isDead() {
			h.runDuty(context.Background(), duty)
		}
	}
}

// watchRevision checks that the revision in force never decreases, and that a version whose withdrawal was accepted gets no
// permit (I10).
func (h *fleetInstance) watchRevision() {
	if h.isDead() {
		return
	}
	snapshot, refused := h.config.SnapshotIfEligible(time.Now())
	if refused != nil {
		return
	}
	if snapshot.Revision < h.highestRevision {
		h.w.run.Failf("I10: revision %d is in force on %s after revision %d", snapshot.Revision, h.name, h.highestRevision)
	}
	h.highestRevision = snapshot.Revision
	id := declaration.VersionID{Model: "small", Version: "v1"}
	if _, refused := h.config.Permit("posters", "check", id, time.Now()); refused == nil && h.fleet.isWithdrawn(id) {
		h.w.run.Failf("I10: %s permits a withdrawn version under revision %d although revision %d was accepted", h.name, snapshot.Revision, h.fleet.acceptedRevision())
	}
}

func (s *fleet) acceptedRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newestAccepted
}

// isWithdrawn reports whether the withdrawal of the version was reported to the operator as accepted, so that no instance may
// start new work on it.
func (s *fleet) isWithdrawn(id declaration.VersionID) bool {
	return id.Version == "v1" && s.acceptedRevision() >= 2
}

// applyChange sends the document to the named instances in turn until it is accepted.
func (s *fleet) applyChange(base int64, id, document string, through ...string) {
	for attempt := 0; time.Since(s.start) < s.lifetime-5*time.Second; attempt++ {
		h := s.instanceNamed(through[attempt%len(through)])
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
			s.newestAccepted = max(s.newestAccepted, response.Revision)
			s.mu.Unlock()
			return
		case api.ApplyConflict, api.ApplyInvalid:
			s.run.Failf("I10: the change %s got the response %+v", id, response)
			return
		}
		advance(time.Second)
	}
	s.run.FailLivenessf("the change %s was not accepted before the end of the run", id)
}

func (s *fleet) instanceNamed(name string) *fleetInstance {
	for _, h := range s.instances {
		if h.name == name {
			return h
		}
	}
	return nil
}

// runScenario runs the fleet: it applies a first configuration, sends requests to every instance, applies a change that
// withdraws versions, and checks the result. The optional scenario runs at the same time.
func (s *fleet) runScenario(scenario func()) {
	s.loops.Go(func() {
		advance(2 * time.Second)
		s.applyChange(0, "change-1", declarationText(api.VersionServing), "b", "c")
	})
	s.loops.Go(func() {
		advance(time.Until(s.start.Add(changeAfter)))
		s.applyChange(1, "change-2", declarationText(api.VersionWithdrawn), s.operatorInstance, "b", "c")
	})
	if scenario != nil {
		s.loops.Go(scenario)
	}
	s.sendTraffic()
	s.settle()
	for _, h := range s.instances {
		h.queue.Close()
		if h.pool == nil {
			continue
		}
		_ = h.pool.Wait(context.Background())
	}
	s.checkAll()
}

// joinInstance returns a scenario that starts instance d. The load balancer sends it requests as soon as it has a valid
// configuration.
func (s *fleet) joinInstance() func() {
	d := s.instanceNamed("d")
	return func() {
		advance(time.Until(s.start.Add(faultsFrom + time.Second)))
		d.startDuties()
		d.every(time.Second, func(context.Context) {
			if _, refused := d.config.SnapshotIfEligible(time.Now()); refused == nil {
				d.setOutOfRotation(false)
			}
		})
	}
}

func (h *fleetInstance) setOutOfRotation(out bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outOfRotation = out
}

// maxRemovalDelay is the time within which the registration of a dead instance must be removed: the instance counts as heard
// for 30 s, which covers the lag of the instance list; then follow 30 s of absence, 10 s over which removals are spread, and
// two polls.
const maxRemovalDelay = 30*time.Second + 30*time.Second + 10*time.Second + 5*time.Second

// checkMembers checks that every running instance counts all running instances as members and no instance that died more than
// maxRemovalDelay ago.
func (s *fleet) checkMembers() {
	running := 0
	for _, h := range s.instances {
		if !h.isDead() && !h.isOutOfRotation() {
			running++
		}
	}
	for _, h := range s.instances {
		if h.isDead() || h.isOutOfRotation() {
			continue
		}
		if _, registered := h.peers.Self(); !registered {
			s.run.FailLivenessf("%s is running but not registered", h.name)
		}
		if verdict := quorum.CheckMajorities(h.peers.QuorumView().Members, s.acceptedRevision()); !verdict.Satisfied {
			s.run.FailLivenessf("%s does not see the required majorities at the accepted revision", h.name)
		}
		if live := h.peers.Count(); live < running {
			s.run.FailLivenessf("%s knows %d registered instances, but %d are running", h.name, live, running)
		}
		for _, peer := range h.peers.RegisteredInstances() {
			if dead := s.node(peer.Registration.Name); dead.isDead() && s.start.Add(s.lifetime).Sub(dead.diedAt) > maxRemovalDelay {
				s.run.FailLivenessf("%s still counts %s as a member although it died more than the maximum removal delay ago", h.name, peer.Registration.Name)
			}
		}
	}
}
