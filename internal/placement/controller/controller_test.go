package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/demand"
)

// wantReplicas checks that each version has a ready replica and that no usable version lost its last one.
func wantReplicas(t *testing.T, s *fakePlatform, names ...string) {
	t.Helper()
	for _, name := range names {
		if s.replicas(name) == 0 {
			t.Errorf("version %s has no replica", name)
		}
	}
	if len(s.lostVersions) > 0 {
		t.Errorf("usable versions that lost their last replica: %v", s.lostVersions)
	}
}

// Guards against commands of a lease holder that was paused until its lease had expired, and against lasting effects of a
// command that arrives late: engines that check the fence refuse it, on the others the next holder corrects it.
func TestPausedLeaseHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("while observing, checks %v", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakePlatform("a", "b")
				s.addEngine("e1", checks, "a")
				s.addEngine("e2", checks, "a")
				firstHolder, secondHolder := newHolder(s, "one"), newHolder(s, "two")
				if held, _ := firstHolder.keeper.Acquire(t.Context()); !held {
					t.Fatal("lease not acquired")
				}
				_, _ = secondHolder.keeper.Acquire(t.Context())
				firstHolder.beforeLoad = func(id string) {
					if id == "e1" {
						advance(20 * time.Second)
					}
				}
				if err := firstHolder.Run(t.Context()); !errors.Is(err, errLeaseLost) && err != nil {
					t.Fatal(err)
				}
				if s.commandCount() != 0 {
					t.Fatalf("%d commands after the lease expired", s.commandCount())
				}
				secondHolder.runRounds(t, 3)
				wantReplicas(t, s, "a", "b")
			})
		})
		t.Run(fmt.Sprintf("between check and send, checks %v", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakePlatform("a", "b")
				s.addEngine("e1", checks, "a")
				s.addEngine("e2", checks, "a")
				firstHolder, secondHolder := newHolder(s, "one"), newHolder(s, "two")
				_, _ = firstHolder.keeper.Acquire(t.Context())
				_, _ = secondHolder.keeper.Acquire(t.Context())
				commandsSent := 0
				firstHolder.beforeCommand = func(string, api.EngineCommand) error {
					if commandsSent++; commandsSent == 1 {
						advance(20 * time.Second)
						secondHolder.runRounds(t, 2)
						s.setState("b", api.VersionWithdrawn)
						s.setState("a", "")
						secondHolder.runRounds(t, 2)
					}
					return nil
				}
				_ = firstHolder.Run(t.Context())
				if commandsSent != 1 {
					t.Errorf("%d commands of the previous holder, want none after the one in transit", commandsSent)
				}
				secondHolder.runRounds(t, 3)
				if s.replicas("a") == 0 || s.replicas("b") != 0 {
					t.Errorf("%d replicas of a and %d of b, want some and none", s.replicas("a"), s.replicas("b"))
				}
			})
		})
	}
}

// Guards against loads beyond the weight store's rate, and against a version that is never loaded after a refusal.
func TestWeightStoreRefusalWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakePlatform("a", "b", "c", "d")
		s.grantInterval = time.Minute
		for i := range 16 {
			s.addEngine(fmt.Sprintf("e%02d", i), true, "a")
		}
		h := newHolder(s, "one")
		for i := range 3 {
			h.runRounds(t, 12) // One minute.
			if s.grantCount > i+1 || s.commandCount() > 2*(i+1) {
				t.Fatalf("%d loads and %d commands after %d minutes at one load a minute", s.grantCount, s.commandCount(), i+1)
			}
		}
		h.runRounds(t, 3)
		wantReplicas(t, s, "a", "b", "c", "d")
	})
}

// Guards against a move that stays incomplete after its lease holder crashed, and against a lost command or reply that is
// taken for success or requested from the weight store twice.
func TestMovesCompleteAfterFaults(t *testing.T) {
	t.Run("holder crashes after half of a move", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newFakePlatform("a", "b")
			s.addEngine("e1", false, "a")
			s.addEngine("e2", false, "a")
			firstHolder, secondHolder := newHolder(s, "one"), newHolder(s, "two")
			crash := errors.New("crash")
			firstHolder.beforeCommand = func(_ string, command api.EngineCommand) error {
				if command.Action == api.ActionLoad {
					return crash
				}
				return nil
			}
			_, _ = firstHolder.keeper.Acquire(t.Context())
			_, _ = secondHolder.keeper.Acquire(t.Context())
			_ = firstHolder.Run(t.Context())
			if s.commandCount() != 1 || s.replicas("b") != 0 {
				t.Fatalf("%d commands, %d replicas of b; the test needs an incomplete move", s.commandCount(), s.replicas("b"))
			}
			advance(11 * time.Second)
			secondHolder.runRounds(t, 2)
			wantReplicas(t, s, "a", "b")
		})
	})
	t.Run("command lost", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newFakePlatform("a", "b")
			s.addEngine("e1", true, "a")
			s.addEngine("e2", true, "a")
			h := newHolder(s, "one")
			commandAttempts := 0
			h.beforeCommand = func(string, api.EngineCommand) error {
				if commandAttempts++; commandAttempts <= 2 {
					return errors.New("connection refused")
				}
				return nil
			}
			h.runRounds(t, 4)
			wantReplicas(t, s, "a", "b")
			if s.grantCount != 1 {
				t.Errorf("the weight store was asked %d times for one load", s.grantCount)
			}
		})
	})
}

// Guards against a resent unload that removes the last replica because the other replica's engine began to drain after the
// decision.
func TestRepeatedUnloadChecksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakePlatform("a", "b")
		s.addEngine("e1", true, "a")
		s.addEngine("e2", true, "a")
		h := newHolder(s, "one")
		h.beforeCommand = func(id string, _ api.EngineCommand) error {
			for other, e := range s.engines {
				e.load.Draining = other != id
			}
			h.beforeCommand = nil
			return errors.New("lost")
		}
		h.runRounds(t, 3)
		wantReplicas(t, s, "a")
	})
}

// Guards against an unload of a usable version's last replica while commands and replies are lost and demand, declarations
// and lease holders change, and against a placement that does not converge.
func TestUsableVersionsKeepAReplica(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			names := []string{"a", "b", "c", "d"}
			s := newFakePlatform(names...)
			for i := range 6 {
				s.addEngine(fmt.Sprintf("e%d", i), i%2 == 0, names[random.IntN(len(names))])
			}
			holders := []*holder{newHolder(s, "one"), newHolder(s, "two")}
			faulty := true
			for _, h := range holders {
				h.beforeCommand = func(string, api.EngineCommand) error {
					if faulty && random.IntN(4) == 0 {
						return errors.New("lost")
					}
					return nil
				}
				h.loseReply = func() bool { return faulty && random.IntN(4) == 0 }
			}
			for range 20 {
				s.loads = nil
				for _, name := range names {
					s.loads = append(s.loads, demand.VersionLoad{Version: version(name), ConcurrentRequests: 40 * random.Float64()})
				}
				s.setState(names[random.IntN(len(names))], []api.VersionState{"", api.VersionWithdrawn, api.VersionQuarantined}[random.IntN(3)])
				holders[random.IntN(2)].runRounds(t, 3)
			}
			faulty = false
			for _, name := range names {
				s.setState(name, "")
			}
			holders[0].runRounds(t, 12)
			holders[1].runRounds(t, 12)
			wantReplicas(t, s, names...)
			commandsBefore := s.commandCount()
			holders[1].runRounds(t, 5)
			if s.commandCount() != commandsBefore {
				t.Errorf("seed %d: %d commands with nothing to change", seed, s.commandCount()-commandsBefore)
			}
		})
	}
}

// Guards against commands to engines with undeclared versions, to engines whose withdrawn version still has requests, and
// based on an instance list that lost most of the engines.
func TestEnginesThatGetNoCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakePlatform("a", "b", "old")
		s.addEngine("e1", true, "a")
		s.addEngine("e2", true, "b")
		s.addEngine("e3", true, "foreign")
		s.addEngine("e4", true, "old")
		h := newHolder(s, "one")
		s.loads = []demand.VersionLoad{{Version: version("old"), ConcurrentRequests: 1}, {Version: version("a"), ConcurrentRequests: 100}}
		s.setState("old", api.VersionWithdrawn)
		h.runRounds(t, 3)
		if s.commandCount() != 0 {
			t.Fatalf("%d commands, want none", s.commandCount())
		}
		s.ids = s.ids[:1]
		s.document.Models = append(s.document.Models, api.Model{Name: "new", Versions: []api.Version{{Name: "v"}}})
		if err := h.Run(t.Context()); err == nil || s.commandCount() != 0 {
			t.Fatalf("%d commands on a list without most engines, error %v", s.commandCount(), err)
		}
		s.ids = []string{"e1", "e2", "e3", "e4"}
		s.loads = nil
		h.runRounds(t, 2)
		if s.replicas("old") != 0 || s.replicas("new") != 1 || s.replicas("foreign") != 1 {
			t.Errorf("old %d, new %d, foreign %d replicas, want 0, 1, 1", s.replicas("old"), s.replicas("new"), s.replicas("foreign"))
		}
		wantReplicas(t, s, "a", "b")
	})
}
