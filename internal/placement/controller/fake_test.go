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

// advance lets d of synthetic time pass.
func advance(d time.Duration) { <-time.After(d) }

func version(name string) declaration.VersionID {
	return declaration.VersionID{Model: name, Version: "v"}
}

// fakeEngine applies commands as a real engine does.
type fakeEngine struct {
	load        api.EngineLoad
	checksFence bool
	fence       int64
	commands    []api.EngineCommand
}

func (e *fakeEngine) apply(command api.EngineCommand) error {
	if e.checksFence && command.Fence < e.fence {
		return ErrStaleFence
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

// fakePlatform is a platform with engines that all lease holders share.
type fakePlatform struct {
	ids        []string
	engines    map[string]*fakeEngine
	document   *api.Declaration
	loads      []demand.VersionLoad
	leaseTable *memory.Table
	// nextGrantAt and grantInterval define the weight store's rate; grantCount is the number of its grants.
	nextGrantAt   time.Time
	grantInterval time.Duration
	grantCount    int
	// lostVersions lists the usable versions whose last replica was unloaded.
	lostVersions []string
}

func newFakePlatform(versions ...string) *fakePlatform {
	s := &fakePlatform{engines: map[string]*fakeEngine{}, leaseTable: memory.NewTable(), document: &api.Declaration{}}
	for _, name := range versions {
		s.document.Models = append(s.document.Models, api.Model{Name: name, Versions: []api.Version{{Name: "v"}}})
	}
	return s
}

func (s *fakePlatform) setState(name string, state api.VersionState) {
	for i := range s.document.Models {
		if s.document.Models[i].Name == name {
			s.document.Models[i].Versions[0].State = state
		}
	}
}

func (s *fakePlatform) addEngine(id string, checksFence bool, versions ...string) {
	e := &fakeEngine{checksFence: checksFence, load: api.EngineLoad{Capacity: 16, Slots: 1}}
	for _, name := range versions {
		e.load.Versions = append(e.load.Versions, api.LoadedVersion{Model: name, Version: "v"})
	}
	s.ids = append(s.ids, id)
	s.engines[id] = e
}

// replicas returns the number of engines that serve the version.
func (s *fakePlatform) replicas(name string) int {
	count := 0
	for _, e := range s.engines {
		if !e.load.Draining && containsVersion(e.load.Versions, version(name)) {
			count++
		}
	}
	return count
}

func (s *fakePlatform) commandCount() int {
	count := 0
	for _, e := range s.engines {
		count += len(e.commands)
	}
	return count
}

// List implements platform.Instances.
func (s *fakePlatform) List(context.Context) ([]api.InstanceEntry, error) {
	var entries []api.InstanceEntry
	for _, id := range s.ids {
		entries = append(entries, api.InstanceEntry{Id: id, Kind: api.KindEngine})
	}
	return entries, nil
}

// RequestGrant implements platform.Weights.
func (s *fakePlatform) RequestGrant(context.Context, string, string) (api.WeightGrant, error) {
	now := time.Now()
	if wait := s.nextGrantAt.Sub(now); wait > 0 {
		return api.WeightGrant{RetryAfterMillis: int(wait.Milliseconds())}, nil
	}
	s.nextGrantAt = now.Add(s.grantInterval)
	s.grantCount++
	return api.WeightGrant{GrantedBytes: 1}, nil
}

// holder is one instance that may hold the lease.
type holder struct {
	*Controller
	*fakePlatform
	keeper *lease.Keeper
	// beforeLoad and beforeCommand run before a call reaches the engine. A command is lost if beforeCommand returns an error.
	beforeLoad    func(id string)
	beforeCommand func(id string, command api.EngineCommand) error
	// loseReply reports whether the reply of a command that took effect is lost.
	loseReply func() bool
}

func newHolder(s *fakePlatform, name string) *holder {
	h := &holder{fakePlatform: s}
	h.keeper = lease.NewKeeper(lease.Config{Table: s.leaseTable.View(nil), Name: demand.LeaseName, Incarnation: name})
	h.Controller = New(Options{
		Lease:     h.keeper,
		Instances: s,
		Weights:   s,
		Engines:   h,
		Config: func(time.Time) (*declaration.Snapshot, *fault.Error) {
			return declaration.Compile(1, s.document), nil
		},
		Demand: func(time.Time) []demand.VersionLoad { return s.loads },
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

// Command implements Engines. It ignores the deadline: a command may arrive late if its sender was paused.
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
		h.lostVersions = append(h.lostVersions, command.Model)
	}
	if h.loseReply != nil && h.loseReply() {
		return errors.New("reply lost")
	}
	return nil
}

// runRounds renews the lease and runs count rounds, 5 s apart.
func (h *holder) runRounds(t *testing.T, count int) {
	t.Helper()
	for range count {
		if _, err := h.keeper.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := h.Run(t.Context()); err != nil && !endsRound(err) {
			t.Fatal(err)
		}
		advance(minInterval)
	}
}
