package rowfeed

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/storepos"
)

// fakeRelays is a RelayTransport whose answers come from functions by address.
type fakeRelays map[string]func(ctx context.Context, after storepos.Position) (Page, error)

func (r fakeRelays) Rows(ctx context.Context, address, _ string, after storepos.Position, _ time.Duration) (Page, error) {
	return r[address](ctx, after)
}

// countingStore counts the calls of a store that answers as err says.
type countingStore struct {
	calls int
	err   error
}

func (s *countingStore) Read(context.Context, string, func()) (Page, error) {
	s.calls++
	return Page{Position: storepos.At(0, 5), Rows: []Row{{Key: "a", Position: storepos.At(0, 5)}}}, s.err
}

func (s *countingStore) Changes(context.Context, string, storepos.Position, time.Duration, func()) (Page, error) {
	s.calls++
	return Page{Position: storepos.At(0, 6), Rows: []Row{{Key: "b", Position: storepos.At(0, 6)}}}, s.err
}

// newRelayedFollower returns a follower that reads from the relays a and b.
func newRelayedFollower(store Source, relays fakeRelays) (*Follower, *[]Batch) {
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	f, batches := newFollower(nil)
	f.Log = log
	f.Source = NewRelayedSource(store, relays, func() Relays { return Relays{Addresses: []string{"a", "b"}} }, newEras(), log)
	return f, batches
}

func newEras() *Eras { return NewEras(slog.New(slog.NewJSONHandler(io.Discard, nil)), func() {}) }

func answerWith(page Page, err error) func(context.Context, storepos.Position) (Page, error) {
	return func(context.Context, storepos.Position) (Page, error) { return page, err }
}

func hang(ctx context.Context, _ storepos.Position) (Page, error) { return blockUntilDone(ctx) }

// Guards against calls of the store that grow with the number of instances: one that has a relay makes none.
func TestRelayReplacesStore(t *testing.T) {
	store := &countingStore{}
	f, batches := newRelayedFollower(store, fakeRelays{
		"a": answerWith(Page{Position: storepos.At(0, 4), Rows: []Row{{Key: "a", Position: storepos.At(0, 4)}}}, nil),
	})
	mustStep(t, f)
	mustStep(t, f)
	if store.calls != 0 || len(*batches) != 2 || f.FollowsStore() {
		t.Errorf("%d calls of the store, %d batches", store.calls, len(*batches))
	}
}

// Guards against a relay that is frozen, so that the others learn too late that a server is leaving.
func TestFrozenRelayIsReplacedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{}
		f, batches := newRelayedFollower(store, fakeRelays{"a": answerWith(Page{Position: storepos.At(0, 4)}, nil), "b": hang})
		mustStep(t, f)
		f.Source.(*RelayedSource).Transport.(fakeRelays)["a"] = hang
		begun := time.Now()
		mustStep(t, f)
		if took := time.Since(begun); took > 1200*time.Millisecond || store.calls != 1 || (*batches)[1].Rows[0].Key != "b" {
			t.Errorf("after %s, %d calls of the store: batches %+v", took, store.calls, *batches)
		}
	})
}

// Guards against an instance that stays behind because the store answers it but not its relays.
func TestRelayCutOffFromStore(t *testing.T) {
	store := &countingStore{}
	f, batches := newRelayedFollower(store, fakeRelays{"a": answerWith(Page{}, ErrRelayCutOff), "b": answerWith(Page{}, ErrRelayCutOff)})
	for range 4 {
		mustStep(t, f)
	}
	if len(*batches) != 4 || !f.FollowsStore() || f.Unavailable(time.Now()) {
		t.Errorf("%d batches", len(*batches))
	}
}

// Guards against the calls of a whole fleet to a store that is away: each of them costs money, and the relays notice its return.
func TestStoreThatIsAwayIsCalledRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{err: errors.New("refused")}
		relays := fakeRelays{"a": answerWith(Page{}, ErrRelayCutOff), "b": answerWith(Page{}, ErrRelayCutOff)}
		f, batches := newRelayedFollower(store, relays)
		for begun := time.Now(); time.Since(begun) < 30*time.Second; <-time.After(f.Pause()) {
			mustStep(t, f)
		}
		if limit := 1 + int(30*time.Second/relayRetryDelay); store.calls > 2*limit {
			t.Errorf("%d calls of the store in 30 s, more than %d", store.calls, 2*limit)
		}
		returned := time.Now()
		relays["a"] = answerWith(Page{Position: storepos.At(0, 9)}, nil)
		for len(*batches) == 0 && time.Since(returned) < time.Minute {
			mustStep(t, f)
			<-time.After(f.Pause())
		}
		if took := time.Since(returned); took > relayRetryDelay+2*maxBackoff {
			t.Errorf("the table was read %s after the store's return", took)
		}
	})
}

// Guards against a relay that hides deletions or changes from a peer that reads from it, or keeps it waiting although rows changed.
func TestMirrorPassesOnChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMirror()
		if page, err := m.All(time.Now()); err == nil {
			t.Errorf("a table that was not read is passed on as empty: %+v", page)
		}
		m.apply(Page{Position: storepos.At(0, 10), Rows: []Row{
			{Key: "a", Position: storepos.At(0, 3)}, {Key: "b", Position: storepos.At(0, 7)},
		}}, true, time.Time{}, time.Now())
		if _, err := m.Changes(t.Context(), storepos.At(0, 9), time.Second); !errors.Is(err, ErrHistoryDropped) {
			t.Errorf("changes before the complete read: %v", err)
		}
		pages := make(chan Page)
		go func() {
			page, err := m.Changes(t.Context(), storepos.At(0, 10), time.Minute)
			if err != nil {
				t.Error(err)
			}
			pages <- page
		}()
		synctest.Wait()
		m.apply(Page{Position: storepos.At(0, 12), Rows: []Row{
			{Key: "c", Position: storepos.At(0, 12)}, {Key: "a", Position: storepos.At(0, 11), Deleted: true},
		}}, false, time.Time{}, time.Now())
		page := <-pages
		if len(page.Rows) != 2 || !page.Rows[0].Deleted || page.Rows[1].Key != "c" || page.Position != storepos.At(0, 12) {
			t.Errorf("changes %+v", page)
		}
		if all, err := m.All(time.Now()); err != nil || len(all.Rows) != 2 {
			t.Errorf("whole table %+v, error %v", all, err)
		}
		for i := range maxDeletedRows + 1 {
			m.apply(Page{Rows: []Row{{Key: string(rune(i + 256)), Position: storepos.At(0, int64(20+i)), Deleted: true}}}, false, time.Time{}, time.Now())
		}
		if _, err := m.Changes(t.Context(), storepos.At(0, 12), time.Second); !errors.Is(err, ErrHistoryDropped) || len(m.rows) > maxDeletedRows/2 {
			t.Errorf("changes of rows that were forgotten: %v, %d rows kept", err, len(m.rows))
		}
	})
}
