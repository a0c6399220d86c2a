package rowfeed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/storepos"
)

// Guards against an answer of an earlier era that arrives late and takes the instance back, and against a change of era that is counted twice.
func TestEarlierEraIsRejected(t *testing.T) {
	eras := newEras()
	changes := 0
	eras.countChange = func() { changes++ }
	for _, step := range []struct {
		era      int64
		rejected bool
	}{{0, false}, {3, false}, {0, false}, {4, false}, {3, true}, {4, false}} {
		if err := eras.Observe(step.era); errors.Is(err, ErrEarlierEra) != step.rejected {
			t.Errorf("answer of era %d: %v", step.era, err)
		}
	}
	if changes != 1 {
		t.Errorf("%d changes of the era counted, there was one", changes)
	}
}

// Guards against a call that hangs through the store's return: the answer to a call for another table tells that the era has changed, and the
// hanging call must end then.
func TestNewEraEndsHangingCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		era := int64(1)
		s := &fakeSource{read: func(context.Context) (Page, error) { return Page{Position: storepos.At(era, 20)}, nil }}
		s.changes = func(ctx context.Context, _ storepos.Position) (Page, error) { return blockUntilDone(ctx) }
		f, batches := newFollower(nil)
		eras := newEras()
		f.Source = NewRelayedSource(s, nil, func() Relays { return Relays{Direct: true} }, eras, f.Log)
		mustStep(t, f)
		begun := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			mustStep(t, f)
		}()
		synctest.Wait()
		era = 2
		if err := eras.Observe(era); err != nil {
			t.Error(err)
		}
		<-done
		if took := time.Since(begun); took > 0 || len(*batches) != 2 || !(*batches)[1].Complete || f.Unavailable(time.Now()) {
			t.Errorf("the call ended after %s, batches %+v", took, *batches)
		}
		if (*batches)[1].ReconnectedAt.IsZero() {
			t.Error("the return is not reported, so that servers whose rows are missing would be dropped at once")
		}
	})
}

// Guards against a call that began before the return and is answered after it: its rows leave out those that were written under versions which
// the follower had seen.
func TestAnswerOfLaterEraIsReadInFull(t *testing.T) {
	for _, era := range []int64{0, 5} {
		reads := 0
		s := &fakeSource{read: func(context.Context) (Page, error) {
			reads++
			return Page{Position: storepos.At(4+int64(reads-1), 9), Rows: []Row{{Key: "a", Position: storepos.At(4, 3)}}}, nil
		}}
		s.changes = func(context.Context, storepos.Position) (Page, error) {
			return Page{Position: storepos.At(era, 30), Rows: []Row{{Key: "b", Position: storepos.At(era, 12)}}}, nil
		}
		f, batches := newFollower(s)
		mustStep(t, f)
		mustStep(t, f)
		if reads != 2 || len(*batches) != 2 || !(*batches)[1].Complete || f.position != storepos.At(5, 9) {
			t.Errorf("answer of era %d: %d reads, position %s, batches %+v", era, reads, f.position, *batches)
		}
	}
}

// Guards against a peer whose position is compared by its number alone: one that has seen a return is ahead, one that has not is behind. One
// of an earlier release names no era, and is compared by version.
func TestPeerRowOfAnotherEra(t *testing.T) {
	s := &fakeSource{read: func(context.Context) (Page, error) { return Page{Position: storepos.At(2, 50)}, nil }}
	f, _ := newFollower(s)
	mustStep(t, f)
	for _, test := range []struct {
		row   storepos.Position
		ahead bool
	}{{storepos.At(3, 7), true}, {storepos.At(1, 900), false}, {storepos.At(0, 51), true}, {storepos.At(0, 50), false}, {storepos.At(2, 51), true}} {
		f.peerRow = storepos.Position{}
		f.ReportPeerRow(test.row, time.Now())
		if ahead := f.ReportPeerRow(test.row, time.Now().Add(time.Minute)); ahead != test.ahead {
			t.Errorf("behind a peer with row %s: %t", test.row, ahead)
		}
	}
}

// Guards against a relay that goes on from a position of an earlier era, or lets a reader wait through the return without telling it.
func TestMirrorBeginsEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMirror()
		m.apply(Page{Position: storepos.At(1, 60), Rows: []Row{{Key: "a", Position: storepos.At(1, 55)}}}, true, time.Time{}, time.Now())
		result := make(chan error)
		go func() {
			_, err := m.Changes(t.Context(), storepos.At(1, 60), time.Minute)
			result <- err
		}()
		synctest.Wait()
		m.apply(Page{Position: storepos.At(2, 40), Rows: []Row{{Key: "b", Position: storepos.At(2, 38)}}}, true, time.Time{}, time.Now())
		if err := <-result; !errors.Is(err, ErrHistoryDropped) {
			t.Errorf("a reader that waits through the return: %v", err)
		}
		for _, after := range []storepos.Position{storepos.At(1, 60), storepos.At(1, 39), storepos.At(0, 60), storepos.At(3, 1)} {
			if _, err := m.Changes(t.Context(), after, 0); !errors.Is(err, ErrHistoryDropped) {
				t.Errorf("changes after %s: %v", after, err)
			}
		}
		m.apply(Page{Position: storepos.At(2, 41), Rows: []Row{{Key: "c", Position: storepos.At(2, 41)}}}, false, time.Time{}, time.Now())
		page, err := m.Changes(t.Context(), storepos.At(2, 40), 0)
		if err != nil || len(page.Rows) != 1 || page.Rows[0].Key != "c" || page.Position != storepos.At(2, 41) {
			t.Errorf("changes in the new era: %+v, error %v", page, err)
		}
		if all, err := m.All(time.Now()); err != nil || len(all.Rows) != 2 {
			t.Errorf("whole table %+v, error %v", all, err)
		}
	})
}

// Guards against a relay that has not noticed the return: a reader that knows of it must not take the earlier era's rows for newer ones.
func TestRelayOfEarlierEraIsAvoided(t *testing.T) {
	store := &fakeSource{read: func(context.Context) (Page, error) {
		return Page{Position: storepos.At(2, 30), Rows: []Row{{Key: "new", Position: storepos.At(2, 29)}}}, nil
	}}
	page := Page{Position: storepos.At(1, 80), Rows: []Row{{Key: "old", Position: storepos.At(1, 75)}}}
	relays := fakeRelays{"a": answerWith(page, nil), "b": answerWith(page, nil)}
	f, batches := newRelayedFollower(store, relays)
	mustStep(t, f)
	if err := f.Source.(*RelayedSource).Eras.Observe(2); err != nil {
		t.Fatal(err)
	}
	mustStep(t, f)
	if len(*batches) != 2 || (*batches)[1].Rows[0].Key != "new" || f.position != storepos.At(2, 30) {
		t.Errorf("position %s, batches %+v", f.position, *batches)
	}
}

// Guards against a relay of an earlier release, which names no era, whose rows are rejected or read in full on each step.
func TestRelayWithoutEra(t *testing.T) {
	calls := 0
	relay := func(context.Context, storepos.Position) (Page, error) {
		calls++
		return Page{Position: storepos.At(0, int64(10*calls)), Rows: []Row{{Key: "a", Position: storepos.At(0, int64(10*calls))}}}, nil
	}
	f, batches := newRelayedFollower(nil, fakeRelays{"a": relay})
	if err := f.Source.(*RelayedSource).Eras.Observe(2); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		mustStep(t, f)
	}
	if calls != 3 || len(*batches) != 3 || (*batches)[1].Complete || (*batches)[2].Complete {
		t.Errorf("%d calls of the relay, batches %+v", calls, *batches)
	}
}
