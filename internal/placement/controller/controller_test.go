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

// wantReplicas fails unless each version has at least one ready replica.
func wantReplicas(t *testing.T, s *site, names ...string) {
	t.Helper()
	for _, name := range names {
		if s.replicas(name) == 0 {
			t.Errorf("version %s has no replica", name)
		}
	}
	if len(s.lost) > 0 {
		t.Errorf("usable versions that lost their last replica: %v", s.lost)
	}
}

// Guards against commands of a holder that was paused past its lease while it observed, and against an old command that
// stays in force: engines that check fences refuse it, the others are brought back by the next holder.
func TestPausedHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("while observing, checks %v", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite("a", "b")
				s.engine("e1", checks, "a")
				s.engine("e2", checks, "a")
				one, two := newHolder(s, "one"), newHolder(s, "two")
				if held, _ := one.keeper.Acquire(t.Context()); !held {
					t.Fatal("lease not acquired")
				}
				_, _ = two.keeper.Acquire(t.Context())
				one.beforeLoad = func(id string) {
					if id == "e1" {
						advance(20 * time.Second)
					}
				}
				if err := one.Run(t.Context()); !errors.Is(err, errLost) && err != nil {
					t.Fatal(err)
				}
				if s.commands() != 0 {
					t.Fatalf("%d commands after the lease lapsed", s.commands())
				}
				two.rounds(t, 3)
				wantReplicas(t, s, "a", "b")
			})
		})
		t.Run(fmt.Sprintf("between check and send, checks %v", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite("a", "b")
				s.engine("e1", checks, "a")
				s.engine("e2", checks, "a")
				one, two := newHolder(s, "one"), newHolder(s, "two")
				_, _ = one.keeper.Acquire(t.Context())
				_, _ = two.keeper.Acquire(t.Context())
				sent := 0
				one.beforeCommand = func(string, api.EngineCommand) error {
					if sent++; sent == 1 {
						advance(20 * time.Second)
						two.rounds(t, 2)
						s.state("b", api.VersionWithdrawn)
						s.state("a", "")
						two.rounds(t, 2)
					}
					return nil
				}
				_ = one.Run(t.Context())
				if sent != 1 {
					t.Errorf("%d commands of the old holder, want none after the one that was on its way", sent)
				}
				two.rounds(t, 3)
				if s.replicas("a") == 0 || s.replicas("b") != 0 {
					t.Errorf("%d replicas of a and %d of b, want some and none", s.replicas("a"), s.replicas("b"))
				}
			})
		})
	}
}

// Guards against loads beyond the weight store's rate, and against a refusal after which a version is given up.
func TestWeightStoreRefusalWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite("a", "b", "c", "d")
		s.perLoad = time.Minute
		for i := range 16 {
			s.engine(fmt.Sprintf("e%02d", i), true, "a")
		}
		h := newHolder(s, "one")
		for i := range 3 {
			h.rounds(t, 12) // One minute.
			if s.granted > i+1 || s.commands() > 2*(i+1) {
				t.Fatalf("%d loads and %d commands after %d minutes at one load a minute", s.granted, s.commands(), i+1)
			}
		}
		h.rounds(t, 3)
		wantReplicas(t, s, "a", "b", "c", "d")
	})
}

// Guards against a roll-out that stays where a crashed holder left it, and against a lost command or reply that is taken
// for done or paid for twice.
func TestCommandsGoOnAfterFaults(t *testing.T) {
	t.Run("holder crashes after half of a move", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite("a", "b")
			s.engine("e1", false, "a")
			s.engine("e2", false, "a")
			one, two := newHolder(s, "one"), newHolder(s, "two")
			crash := errors.New("crash")
			one.beforeCommand = func(_ string, command api.EngineCommand) error {
				if command.Action == api.ActionLoad {
					return crash
				}
				return nil
			}
			_, _ = one.keeper.Acquire(t.Context())
			_, _ = two.keeper.Acquire(t.Context())
			_ = one.Run(t.Context())
			if s.commands() != 1 || s.replicas("b") != 0 {
				t.Fatalf("%d commands, %d replicas of b; the test needs a half-done move", s.commands(), s.replicas("b"))
			}
			advance(11 * time.Second)
			two.rounds(t, 2)
			wantReplicas(t, s, "a", "b")
		})
	})
	t.Run("command lost", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite("a", "b")
			s.engine("e1", true, "a")
			s.engine("e2", true, "a")
			h := newHolder(s, "one")
			lost := 0
			h.beforeCommand = func(string, api.EngineCommand) error {
				if lost++; lost <= 2 {
					return errors.New("connection refused")
				}
				return nil
			}
			h.rounds(t, 4)
			wantReplicas(t, s, "a", "b")
			if s.granted != 1 {
				t.Errorf("the weight store was asked %d times for one load", s.granted)
			}
		})
	})
}

// Guards against a repeated unload that removes the last replica, because the other one left after the decision.
func TestRepeatedUnloadChecksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite("a", "b")
		s.engine("e1", true, "a")
		s.engine("e2", true, "a")
		h := newHolder(s, "one")
		h.beforeCommand = func(id string, _ api.EngineCommand) error {
			for other, e := range s.engines {
				e.load.Draining = other != id
			}
			h.beforeCommand = nil
			return errors.New("lost")
		}
		h.rounds(t, 3)
		wantReplicas(t, s, "a")
	})
}

// Guards against an unload of the last replica of a usable version when commands and replies get lost and demand,
// declarations and holders change, and against a fleet that never settles.
func TestUsableVersionsKeepAReplica(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			names := []string{"a", "b", "c", "d"}
			s := newSite(names...)
			for i := range 6 {
				s.engine(fmt.Sprintf("e%d", i), i%2 == 0, names[random.IntN(len(names))])
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
				s.total = nil
				for _, name := range names {
					s.total = append(s.total, demand.Concurrent{Version: version(name), Requests: 40 * random.Float64()})
				}
				s.state(names[random.IntN(len(names))], []api.VersionState{"", api.VersionWithdrawn, api.VersionQuarantined}[random.IntN(3)])
				holders[random.IntN(2)].rounds(t, 3)
			}
			faulty = false
			for _, name := range names {
				s.state(name, "")
			}
			holders[0].rounds(t, 12)
			holders[1].rounds(t, 12)
			wantReplicas(t, s, names...)
			settled := s.commands()
			holders[1].rounds(t, 5)
			if s.commands() != settled {
				t.Errorf("seed %d: %d commands with nothing to change", seed, s.commands()-settled)
			}
		})
	}
}

// Guards against commands to engines whose versions no declaration names, to engines of a withdrawn version that still
// answers requests, and on a list that lost most of the engines.
func TestEnginesThatAreLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite("a", "b", "old")
		s.engine("e1", true, "a")
		s.engine("e2", true, "b")
		s.engine("e3", true, "foreign")
		s.engine("e4", true, "old")
		h := newHolder(s, "one")
		s.total = []demand.Concurrent{{Version: version("old"), Requests: 1}, {Version: version("a"), Requests: 100}}
		s.state("old", api.VersionWithdrawn)
		h.rounds(t, 3)
		if s.commands() != 0 {
			t.Fatalf("%d commands, want none", s.commands())
		}
		s.ids = s.ids[:1]
		s.document.Models = append(s.document.Models, api.Model{Name: "new", Versions: []api.Version{{Name: "v"}}})
		if err := h.Run(t.Context()); err == nil || s.commands() != 0 {
			t.Fatalf("%d commands on a list without most engines, error %v", s.commands(), err)
		}
		s.ids = []string{"e1", "e2", "e3", "e4"}
		s.total = nil
		h.rounds(t, 2)
		if s.replicas("old") != 0 || s.replicas("new") != 1 || s.replicas("foreign") != 1 {
			t.Errorf("old %d, new %d, foreign %d replicas, want 0, 1, 1", s.replicas("old"), s.replicas("new"), s.replicas("foreign"))
		}
		wantReplicas(t, s, "a", "b")
	})
}
