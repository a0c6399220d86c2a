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

type faultHook func(op memory.Op, key string) memory.Fault

// silentTransport is a transport whose peers never answer; it counts the calls.
type silentTransport struct{ calls atomic.Int64 }

func (s *silentTransport) waitForCancel(ctx context.Context) error {
	s.calls.Add(1)
	<-ctx.Done()
	return ctx.Err()
}

func (s *silentTransport) Digest(ctx context.Context, _ Address) (api.Digest, error) {
	return api.Digest{}, s.waitForCancel(ctx)
}

func (s *silentTransport) Registrations(ctx context.Context, _ Address, _ int64) (api.RegistrationSet, error) {
	return api.RegistrationSet{}, s.waitForCancel(ctx)
}

func (s *silentTransport) Revision(ctx context.Context, _ Address, _ int64) (api.RevisionDocument, error) {
	return api.RevisionDocument{}, s.waitForCancel(ctx)
}

func newService(store *memory.Table, name string, faults faultHook) *Service {
	return New(Options{
		Registration: api.Registration{Incarnation: name, Name: name, Ip: "127.0.0.1", PeerPort: 1},
		Peers:        table.NewPeers(),
		Config:       table.NewConfig(time.Second, nil),
		Table:        store.View(faults),
		Instances:    &memory.Instances{},
		Transport:    &silentTransport{},
		Log:          slog.New(slog.DiscardHandler),
		Random:       rand.New(rand.NewPCG(uint64(len(name)), 7)),
	})
}

// Guards against two instances with the same sequence, and against a gap in the log, at which later polls would stop.
func TestRegisterConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewTable()
		services := make([]*Service, 20)
		var registrations sync.WaitGroup
		for i := range services {
			services[i] = newService(store, fmt.Sprint("entry-", i), nil)
			registrations.Go(func() {
				if err := services[i].Register(t.Context()); err != nil {
					t.Error(err)
				}
			})
		}
		registrations.Wait()
		seen := map[int64]bool{}
		for _, s := range services {
			sequence, ok := s.opts.Peers.Self()
			if !ok || seen[sequence] || sequence < 1 || sequence > 20 {
				t.Errorf("sequence %d: registered %v, used twice %v; want unique sequences from 1 to 20", sequence, ok, seen[sequence])
			}
			seen[sequence] = true
		}
	})
}

// Guards against a second registration after an insert whose reply was lost, and against counting an insert as written when
// its request was lost.
func TestRegisterAfterAmbiguousInsert(t *testing.T) {
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
				t.Errorf("fault %d: live registrations %+v, want only sequence 1", fault, live)
			}
		})
	}
}

// Guards against a second row when the insert took effect but the row could not be read back before the timeout.
func TestRegisterResultArrivesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var storeDown atomic.Bool
		store := memory.NewTable()
		s := newService(store, "entry", func(op memory.Op, _ string) memory.Fault {
			if op == memory.OpPut {
				storeDown.Store(true)
				return memory.FaultReplyLost
			}
			if storeDown.Load() {
				return memory.FaultUnavailable
			}
			return memory.FaultNone
		})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if err := s.Register(ctx); err == nil {
			t.Fatal("registration succeeded although the row could not be read back")
		}
		storeDown.Store(false)
		ctx, cancel = context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if err := s.PollRegistrations(ctx); err != nil {
			t.Fatal(err)
		}
		if sequence, ok := s.opts.Peers.Self(); !ok || sequence != 1 || s.opts.Peers.LastSequence() != 1 {
			t.Errorf("own sequence %d, last sequence %d, want 1 and 1", sequence, s.opts.Peers.LastSequence())
		}
	})
}

// Guards against an ended registration that stays in the table or that the next poll restores, and against applying the end
// of a registration while the configuration is not confirmed.
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
		staying.opts.ConfirmConfig = func(context.Context) error { return context.DeadlineExceeded }
		if err := staying.PollRegistrations(t.Context()); err == nil || len(staying.opts.Peers.RegisteredInstances()) != 2 {
			t.Errorf("poll without confirmation: error %v, %d live, want an error and 2 live", err, len(staying.opts.Peers.RegisteredInstances()))
		}
		staying.opts.ConfirmConfig = nil
		if err := staying.PollRegistrations(t.Context()); err != nil || len(staying.opts.Peers.RegisteredInstances()) != 1 {
			t.Errorf("poll with confirmation: error %v, %d live, want 1 live", err, len(staying.opts.Peers.RegisteredInstances()))
		}
		if err := leaving.PollRegistrations(t.Context()); err != nil || len(leaving.opts.Peers.RegisteredInstances()) != 1 {
			t.Errorf("poll of the leaving instance: error %v, %d live, want 1 live", err, len(leaving.opts.Peers.RegisteredInstances()))
		}
	})
}

// Guards against a pull round that, with dead peers only, makes more than two calls or takes longer than a second.
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
		if err := s.PullDigests(t.Context()); err != nil {
			t.Fatal(err)
		}
		if calls := s.opts.Transport.(*silentTransport).calls.Load(); calls != 2 || time.Since(start) > time.Second {
			t.Errorf("%d calls in %v, want 2 within 1s", calls, time.Since(start))
		}
	})
}

// Guards against a digest that makes a report seem more recent, or its revision newer, than it is.
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
	digest := BuildDigest("1", sender, time.Time{}, now)
	pulled := now.Add(time.Minute)
	if newest := MergeDigest(digest, pulled, receiver); newest != 8 {
		t.Errorf("newest revision %d, want 8", newest)
	}
	want := []struct {
		revision, known int64
		age             time.Duration
	}{{8, 5, 0}, {8, 5, 1300 * time.Millisecond}, {7, 4, 100 * time.Millisecond}, {0, 0, -1}}
	for i, w := range want {
		got := receiver.RegisteredInstances()[i]
		if got.Revision != w.revision || got.KnownSequence != w.known || (w.age >= 0 && pulled.Sub(got.HeardAt) != w.age) || (w.age < 0 && !got.HeardAt.IsZero()) {
			t.Errorf("instance %d has the wrong report: %+v", i+1, got.Member)
		}
	}
}

// Guards against an instance that reports a revision which it has not confirmed since it registered; the report would count
// towards a majority.
func TestNoReportBeforeConfirmation(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := table.NewPeers()
	peers.ConfirmOwnRevision(4, now)
	peers.Apply([]table.RegistrationRow{{Sequence: 1, Registration: api.Registration{Incarnation: "1"}}})
	peers.SetSelf(1, now.Add(time.Second))
	peers.ConfirmOwnRevision(4, now.Add(500*time.Millisecond))
	if digest := BuildDigest("1", peers, time.Time{}, now); digest.Revision != 0 {
		t.Errorf("instance reports revision %d before its first read after the registration, want 0", digest.Revision)
	}
	peers.ConfirmOwnRevision(4, now.Add(time.Second))
	if digest := BuildDigest("1", peers, time.Time{}, now); digest.Revision != 4 {
		t.Errorf("instance reports revision %d after a read, want 4", digest.Revision)
	}
}

// Guards against a start whose number of reads grows with the age of the registration log, and against a checkpoint that
// loses a registration or restores an ended one.
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
			for _, row := range []api.Registration{registration, endingRow(registration, sequence)} {
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
			t.Errorf("the start made %d reads, want at most 6", reads)
		}
		if live := late.opts.Peers.RegisteredInstances(); len(live) != 3 || live[0].Registration.Name != "staying" || late.opts.Peers.LastSequence() != 2*restarts+3 {
			t.Errorf("%d instances registered, last sequence %d", len(live), late.opts.Peers.LastSequence())
		}
	})
}
