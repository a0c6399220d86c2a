package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
	"github.com/cicadawall/cicadawall/internal/table"
)

type hook func(op memory.Op, key string) memory.Fault

// silent is a transport whose peers never answer; it counts the calls.
type silent struct{ calls atomic.Int64 }

func (s *silent) wait(ctx context.Context) error {
	s.calls.Add(1)
	<-ctx.Done()
	return ctx.Err()
}

func (s *silent) Digest(ctx context.Context, _ Address) (api.Digest, error) {
	return api.Digest{}, s.wait(ctx)
}

func (s *silent) Registrations(ctx context.Context, _ Address, _ int64) (api.RegistrationSet, error) {
	return api.RegistrationSet{}, s.wait(ctx)
}

func (s *silent) Revision(ctx context.Context, _ Address, _ int64) (api.RevisionDocument, error) {
	return api.RevisionDocument{}, s.wait(ctx)
}

func newService(store *memory.Table, name string, faults hook) *Service {
	return New(Options{
		Registration: api.Registration{Incarnation: name, Name: name, Ip: "127.0.0.1", PeerPort: 1},
		Peers:        table.NewPeers(),
		Config:       table.NewConfig(time.Second, nil),
		Table:        store.View(faults),
		Instances:    &memory.Instances{},
		Transport:    &silent{},
		Log:          slog.New(slog.DiscardHandler),
		Random:       rand.New(rand.NewPCG(uint64(len(name)), 7)),
	})
}

// Guards against two instances with one sequence, and against a gap that no poll gets past.
func TestRegisterConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewTable()
		services := make([]*Service, 20)
		var all sync.WaitGroup
		for i := range services {
			services[i] = newService(store, fmt.Sprint("entry-", i), nil)
			all.Go(func() {
				if err := services[i].Register(t.Context()); err != nil {
					t.Error(err)
				}
			})
		}
		all.Wait()
		seen := map[int64]bool{}
		for _, s := range services {
			sequence, ok := s.opts.Peers.Self()
			if !ok || seen[sequence] || sequence < 1 || sequence > 20 {
				t.Errorf("sequence %d registered=%v twice=%v", sequence, ok, seen[sequence])
			}
			seen[sequence] = true
		}
	})
}

// Guards against a second registration after an insert whose reply was lost, and against a lost one taken for done.
func TestRegisterAmbiguous(t *testing.T) {
	for _, fault := range []memory.Fault{memory.FaultReplyLost, memory.FaultRequestLost} {
		synctest.Test(t, func(t *testing.T) {
			var once atomic.Bool
			store := memory.NewTable()
			s := newService(store, "entry", func(op memory.Op, _ string) memory.Fault {
				if op == memory.OpPut && once.CompareAndSwap(false, true) {
					return fault
				}
				return memory.FaultNone
			})
			if err := s.Register(t.Context()); err != nil {
				t.Fatal(err)
			}
			if live := s.opts.Peers.RegisteredInstances(); len(live) != 1 || live[0].Sequence != 1 {
				t.Errorf("fault %d: registered %+v", fault, live)
			}
		})
	}
}

// Guards against a second row when the insert took effect but the read-back did not succeed in time.
func TestRegisterResultArrivesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out atomic.Bool
		store := memory.NewTable()
		s := newService(store, "entry", func(op memory.Op, _ string) memory.Fault {
			if op == memory.OpPut {
				out.Store(true)
				return memory.FaultReplyLost
			}
			if out.Load() {
				return memory.FaultUnavailable
			}
			return memory.FaultNone
		})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if err := s.Register(ctx); err == nil {
			t.Fatal("registered without a readable store")
		}
		out.Store(false)
		ctx, cancel = context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if err := s.Poll(ctx); err != nil {
			t.Fatal(err)
		}
		if sequence, ok := s.opts.Peers.Self(); !ok || sequence != 1 || s.opts.Peers.LastSequence() != 1 {
			t.Errorf("sequence %d of %d", sequence, s.opts.Peers.LastSequence())
		}
	})
}

// Guards against an ended registration that stays or comes back by the next poll, and against ending one while the configuration is not confirmed.
func TestDeregister(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewTable()
		leaving, staying := newService(store, "leaving", nil), newService(store, "staying", nil)
		for _, s := range []*Service{leaving, staying} {
			if err := s.Register(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if err := leaving.Deregister(t.Context()); err != nil {
			t.Fatal(err)
		}
		staying.opts.Confirm = func(context.Context) error { return context.DeadlineExceeded }
		if err := staying.Poll(t.Context()); err == nil || len(staying.opts.Peers.RegisteredInstances()) != 2 {
			t.Errorf("without confirmation: %v, %d live", err, len(staying.opts.Peers.RegisteredInstances()))
		}
		staying.opts.Confirm = nil
		if err := staying.Poll(t.Context()); err != nil || len(staying.opts.Peers.RegisteredInstances()) != 1 {
			t.Errorf("with confirmation: %v, %d live", err, len(staying.opts.Peers.RegisteredInstances()))
		}
		if err := leaving.Poll(t.Context()); err != nil || len(leaving.opts.Peers.RegisteredInstances()) != 1 {
			t.Errorf("poll of the leaving instance: %v, %d live", err, len(leaving.opts.Peers.RegisteredInstances()))
		}
	})
}

// Guards against dead peers that cost more than two calls of at most a second per round.
func TestPullIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewTable()
		s := newService(store, "entry", nil)
		var rows []table.RegistrationRow
		for i := range 50 {
			registration := api.Registration{Incarnation: fmt.Sprint(i), Ip: "127.0.0.1", PeerPort: 100 + i}
			rows = append(rows, table.RegistrationRow{Sequence: int64(i + 1), Registration: registration})
		}
		s.opts.Peers.Apply(rows)
		start := time.Now()
		if err := s.Pull(t.Context()); err != nil {
			t.Fatal(err)
		}
		if calls := s.opts.Transport.(*silent).calls.Load(); calls != 2 || time.Since(start) > time.Second {
			t.Errorf("%d calls in %v", calls, time.Since(start))
		}
	})
}

// Guards against a report that seems more recent or newer than it is after it passed through a digest.
func TestDigestRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	sender, receiver := table.NewPeers(), table.NewPeers()
	for _, peers := range []*table.Peers{sender, receiver} {
		var rows []table.RegistrationRow
		for i := range 5 {
			rows = append(rows, table.RegistrationRow{Sequence: int64(i + 1), Registration: api.Registration{Incarnation: fmt.Sprint(i + 1)}})
		}
		peers.Apply(rows)
	}
	sender.SetSelf(1, now)
	sender.ConfirmOwnRevision(8, now)
	receiver.SetSelf(5, now)
	sender.ObserveReport(2, 8, 5, now.Add(-1250*time.Millisecond))
	sender.ObserveReport(3, 7, 4, now.Add(-100*time.Millisecond))
	sender.ObserveReport(4, 9, 5, now.Add(-time.Hour))
	digest := Build("1", sender, time.Time{}, now)
	pulled := now.Add(time.Minute)
	if newest := Merge(digest, pulled, receiver); newest != 8 {
		t.Errorf("newest %d", newest)
	}
	want := []struct {
		revision, known int64
		age             time.Duration
	}{{8, 5, 0}, {8, 5, 1300 * time.Millisecond}, {7, 4, 100 * time.Millisecond}, {0, 0, -1}}
	for i, w := range want {
		got := receiver.RegisteredInstances()[i]
		if got.Revision != w.revision || got.Known != w.known || (w.age >= 0 && pulled.Sub(got.Heard) != w.age) || (w.age < 0 && !got.Heard.IsZero()) {
			t.Errorf("instance %d: %+v", i+1, got.Member)
		}
	}
}

// Guards against an instance whose unconfirmed revision counts towards a majority after it registered.
func TestNoReportBeforeConfirmation(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := table.NewPeers()
	peers.ConfirmOwnRevision(4, now)
	peers.Apply([]table.RegistrationRow{{Sequence: 1, Registration: api.Registration{Incarnation: "1"}}})
	peers.SetSelf(1, now.Add(time.Second))
	peers.ConfirmOwnRevision(4, now.Add(500*time.Millisecond))
	if digest := Build("1", peers, time.Time{}, now); digest.Revision != 0 {
		t.Errorf("reports revision %d before it read one after registering", digest.Revision)
	}
	peers.ConfirmOwnRevision(4, now.Add(time.Second))
	if digest := Build("1", peers, time.Time{}, now); digest.Revision != 4 {
		t.Errorf("reports revision %d after a read", digest.Revision)
	}
}

// Guards against a start whose reads grow with the age of the registration log, and against a checkpoint that loses or
// revives a registration.
func TestStartReadsCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewTable()
		staying := newService(store, "staying", nil)
		if err := staying.Register(t.Context()); err != nil {
			t.Fatal(err)
		}
		const restarts = 1600
		for i := range restarts {
			registration := api.Registration{Incarnation: fmt.Sprint("restarted-", i)}
			sequence := int64(2*i + 2)
			for _, row := range []api.Registration{registration, ending(registration, sequence)} {
				value, _ := json.Marshal(row)
				if _, err := staying.opts.Table.Put(t.Context(), Key(sequence), value, platform.IfAbsent()); err != nil {
					t.Fatal(err)
				}
				sequence++
			}
		}
		if err := newService(store, "writer", nil).Register(t.Context()); err != nil {
			t.Fatal(err)
		}
		late := newService(store, "late", nil)
		_, before := store.Counts()
		if err := late.Register(t.Context()); err != nil {
			t.Fatal(err)
		}
		_, after := store.Counts()
		if reads := after - before; reads > 6 {
			t.Errorf("a start read %d times", reads)
		}
		if live := late.opts.Peers.RegisteredInstances(); len(live) != 3 || live[0].Registration.Name != "staying" || late.opts.Peers.LastSequence() != 2*restarts+3 {
			t.Errorf("%d registered, last %d", len(live), late.opts.Peers.LastSequence())
		}
	})
}
