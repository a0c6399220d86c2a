package controller

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/demand"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/lease"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
)

// advance lets virtual time pass.
func advance(d time.Duration) { <-time.After(d) }

func version(name string) declaration.VersionID {
	return declaration.VersionID{Model: name, Version: "v"}
}

// fakeEngine applies commands as an engine does.
type fakeEngine struct {
	load     api.EngineLoad
	checks   bool
	fence    int64
	commands []api.EngineCommand
}

func (e *fakeEngine) apply(command api.EngineCommand) error {
	if e.checks && command.Fence < e.fence {
		return ErrOldFence
	}
	e.fence = max(e.fence, command.Fence)
	e.commands = append(e.commands, command)
	v := api.LoadedVersion{Model: command.Model, Version: command.Version}
	e.load.Versions = slices.DeleteFunc(e.load.Versions, func(l api.LoadedVersion) bool { return l == v })
	if command.Action == api.ActionLoad {
		e.load.Versions = append(e.load.Versions, v)
	}
	return nil
}

// site is a platform with engines, shared by all holders.
type site struct {
	ids      []string
	engines  map[string]*fakeEngine
	document *api.Declaration
	total    []demand.Concurrent
	leases   *memory.Table
	// freeAt and perLoad are the weight store's rate; granted counts its grants.
	freeAt  time.Time
	perLoad time.Duration
	granted int
	// lost lists the usable versions that lost their last replica.
	lost []string
}

func newSite(versions ...string) *site {
	s := &site{engines: map[string]*fakeEngine{}, leases: memory.NewTable(), document: &api.Declaration{}}
	for _, name := range versions {
		s.document.Models = append(s.document.Models, api.Model{Name: name, Versions: []api.Version{{Name: "v"}}})
	}
	return s
}

func (s *site) state(name string, state api.VersionState) {
	for i := range s.document.Models {
		if s.document.Models[i].Name == name {
			s.document.Models[i].Versions[0].State = state
		}
	}
}

func (s *site) engine(id string, checks bool, versions ...string) {
	e := &fakeEngine{checks: checks, load: api.EngineLoad{Capacity: 16, Slots: 1}}
	for _, name := range versions {
		e.load.Versions = append(e.load.Versions, api.LoadedVersion{Model: name, Version: "v"})
	}
	s.ids = append(s.ids, id)
	s.engines[id] = e
}

// replicas returns the number of engines that are ready for the version.
func (s *site) replicas(name string) int {
	count := 0
	for _, e := range s.engines {
		if !e.load.Draining && contains(e.load.Versions, version(name)) {
			count++
		}
	}
	return count
}

func (s *site) commands() int {
	count := 0
	for _, e := range s.engines {
		count += len(e.commands)
	}
	return count
}

// List implements platform.Instances.
func (s *site) List(context.Context) ([]api.InstanceEntry, error) {
	var entries []api.InstanceEntry
	for _, id := range s.ids {
		entries = append(entries, api.InstanceEntry{Id: id, Kind: api.KindEngine})
	}
	return entries, nil
}

// Request implements platform.Weights.
func (s *site) Request(context.Context, string, string) (api.WeightGrant, error) {
	now := time.Now()
	if wait := s.freeAt.Sub(now); wait > 0 {
		return api.WeightGrant{RetryAfterMillis: int(wait.Milliseconds())}, nil
	}
	s.freeAt = now.Add(s.perLoad)
	s.granted++
	return api.WeightGrant{GrantedBytes: 1}, nil
}

// holder is one instance that may hold the lease.
type holder struct {
	*Controller
	*site
	keeper *lease.Keeper
	// beforeLoad and beforeCommand run before an engine gets the call; an error of the latter loses the command.
	beforeLoad    func(id string)
	beforeCommand func(id string, command api.EngineCommand) error
	// loseReply loses the reply of a command that took effect.
	loseReply func() bool
}

func newHolder(s *site, name string) *holder {
	h := &holder{site: s}
	h.keeper = lease.NewKeeper(lease.Config{Table: s.leases.View(nil), Name: demand.LeaseName, Incarnation: name})
	h.Controller = New(Options{
		Lease:     h.keeper,
		Instances: s,
		Weights:   s,
		Engines:   h,
		Config: func(time.Time) (*declaration.Snapshot, *fault.Error) {
			return declaration.Compile(1, s.document), nil
		},
		Demand: func(time.Time) []demand.Concurrent { return s.total },
		Log:    slog.New(slog.DiscardHandler),
	})
	return h
}

// Load implements Engines.
func (h *holder) Load(_ context.Context, entry api.InstanceEntry) (api.EngineLoad, error) {
	if h.beforeLoad != nil {
		h.beforeLoad(entry.Id)
	}
	load := h.engines[entry.Id].load
	load.Versions = slices.Clone(load.Versions)
	return load, nil
}

// Command implements Engines. A command whose sender was paused arrives although its deadline passed.
func (h *holder) Command(_ context.Context, entry api.InstanceEntry, command api.EngineCommand) error {
	if h.beforeCommand != nil {
		if err := h.beforeCommand(entry.Id, command); err != nil {
			return err
		}
	}
	before := h.replicas(command.Model)
	if err := h.engines[entry.Id].apply(command); err != nil {
		return err
	}
	if before > 0 && h.replicas(command.Model) == 0 && declaration.Compile(1, h.document).Usable(version(command.Model)) {
		h.lost = append(h.lost, command.Model)
	}
	if h.loseReply != nil && h.loseReply() {
		return errors.New("reply lost")
	}
	return nil
}

// rounds renews the lease and runs rounds, 5 s apart.
func (h *holder) rounds(t *testing.T, count int) {
	t.Helper()
	for range count {
		if _, err := h.keeper.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := h.Run(t.Context()); err != nil && !stops(err) {
			t.Fatal(err)
		}
		advance(minInterval)
	}
}
