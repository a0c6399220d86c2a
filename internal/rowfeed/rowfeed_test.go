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

// fakeSource is a Source whose answers come from functions.
type fakeSource struct {
	read    func(ctx context.Context) (Page, error)
	changes func(ctx context.Context, after storepos.Position) (Page, error)
}

func (s *fakeSource) Read(ctx context.Context, _ string, _ func()) (Page, error) { return s.read(ctx) }

func (s *fakeSource) Changes(ctx context.Context, _ string, after storepos.Position, _ time.Duration, _ func()) (Page, error) {
	return s.changes(ctx, after)
}

func blockUntilDone(ctx context.Context) (Page, error) {
	<-ctx.Done()
	return Page{}, ctx.Err()
}

func newFollower(s *fakeSource) (*Follower, *[]Batch) {
	batches := &[]Batch{}
	return New(Options{
		Table: "op", Source: s, Handle: func(b Batch) { *batches = append(*batches, b) }, InstanceCount: func() int { return 7 },
		Log: slog.New(slog.NewJSONHandler(io.Discard, nil)),
	}), batches
}

func mustStep(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), StepTimeout)
	defer cancel()
	if err := f.Step(ctx); err != nil {
		t.Fatal(err)
	}
}

// Guards against a first read that hangs for as long as a call that waits for changes, while the store does not answer.
func TestFullReadTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFollower(&fakeSource{read: blockUntilDone})
		begun := time.Now()
		mustStep(t, f)
		if took := time.Since(begun); took > 2*time.Second {
			t.Errorf("a read of a store that does not answer took %s", took)
		}
		if !f.Unavailable(time.Now()) || f.Pause() == 0 {
			t.Error("the store does not count as unavailable")
		}
	})
}

// Guards against a follower that continues from a version whose history the store has dropped, and misses changes.
func TestDroppedHistoryIsReadInFull(t *testing.T) {
	reads := 0
	s := &fakeSource{}
	s.read = func(context.Context) (Page, error) {
		reads++
		return Page{Position: storepos.At(0, int64(10*reads)), Rows: []Row{{Key: "a", Position: storepos.At(0, int64(reads))}}}, nil
	}
	s.changes = func(context.Context, storepos.Position) (Page, error) { return Page{}, ErrHistoryDropped }
	f, batches := newFollower(s)
	mustStep(t, f)
	mustStep(t, f)
	if reads != 2 || len(*batches) != 2 || !(*batches)[1].Complete {
		t.Errorf("%d reads, batches %+v", reads, *batches)
	}
}

// Guards against a reconnect to the store that is not reported to the handler, which would then remove expired entries at once.
func TestReconnectIsReported(t *testing.T) {
	fail := false
	s := &fakeSource{read: func(context.Context) (Page, error) { return Page{Position: storepos.At(0, 1)}, nil }}
	s.changes = func(context.Context, storepos.Position) (Page, error) {
		if fail {
			return Page{}, errors.New("refused")
		}
		return Page{Position: storepos.At(0, 2)}, nil
	}
	f, batches := newFollower(s)
	mustStep(t, f)
	fail = true
	mustStep(t, f)
	fail = false
	mustStep(t, f)
	if len(*batches) != 2 || !(*batches)[0].ReconnectedAt.IsZero() || (*batches)[1].ReconnectedAt.IsZero() {
		t.Errorf("batches %+v", *batches)
	}
}

// Guards against a dead connection without an error that hides a change which a peer has seen.
func TestPeerRowEndsDeadCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{read: func(context.Context) (Page, error) { return Page{Position: storepos.At(0, 1)}, nil }}
		s.changes = func(ctx context.Context, _ storepos.Position) (Page, error) { return blockUntilDone(ctx) }
		f, _ := newFollower(s)
		mustStep(t, f)
		begun := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			mustStep(t, f)
		}()
		synctest.Wait()
		if f.ReportPeerRow(storepos.At(0, 5), time.Now()) {
			t.Error("behind at the first report of a peer, although the change may be in transit")
		}
		synctest.Wait()
		select {
		case <-done:
			t.Error("the call was cancelled at the first report of a peer, although the change may be in transit")
		default:
		}
		if !f.ReportPeerRow(storepos.At(0, 5), time.Now().Add(peerLeadTolerance+time.Millisecond)) {
			t.Error("not behind although a peer saw the change more than peerLeadTolerance ago")
		}
		f.ReportPeerRow(storepos.At(0, 5), time.Now().Add(staleCallTimeout+time.Millisecond))
		<-done
		if time.Since(begun) > time.Second {
			t.Error("the call was not cancelled in time")
		}
	})
}

// Guards against a store that is available again for seconds before the follower calls it. This came about when the store
// did not answer for 10 s: calls waited 6 s for changes although the calls before had failed.
func TestUnavailableStoreIsPolledOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{read: func(context.Context) (Page, error) { return Page{Position: storepos.At(0, 1)}, nil }}
		s.changes = func(ctx context.Context, _ storepos.Position) (Page, error) { return blockUntilDone(ctx) }
		f, _ := newFollower(s)
		mustStep(t, f)
		mustStep(t, f)
		for range 5 {
			begun := time.Now()
			mustStep(t, f)
			if cycle := time.Since(begun) + f.Pause(); cycle > 2500*time.Millisecond {
				t.Errorf("the next call begins after %s", cycle)
			}
		}
	})
}

// Guards against an instance that counts as behind for ever because rows were deleted before it read the table.
func TestFullReadIsUpToDate(t *testing.T) {
	f, _ := newFollower(&fakeSource{read: func(context.Context) (Page, error) {
		return Page{Position: storepos.At(0, 9), Rows: []Row{{Key: "a", Position: storepos.At(0, 2)}}}, nil
	}})
	mustStep(t, f)
	f.ReportPeerRow(storepos.At(0, 8), time.Now())
	if f.ReportPeerRow(storepos.At(0, 8), time.Now().Add(time.Minute)) || f.ListPosition() != storepos.At(0, 9) {
		t.Errorf("behind its peer after a full read, or wrong position %s of the list", f.ListPosition())
	}
}

// Guards against followers that cancel their calls for ever, each because a peer read the table later: the version of that read
// counts the changes of all tables, and no row of this one has it. After a restart of all 63 instances of further-grown
// (trouble-1 --seed 1) they made 300 calls of the store a second.
func TestLaterFullReadOfPeerIsNoNewRow(t *testing.T) {
	read := func(version int64) *Follower {
		f, _ := newFollower(&fakeSource{read: func(context.Context) (Page, error) {
			return Page{Position: storepos.At(0, version), Rows: []Row{{Key: "a", Position: storepos.At(0, 2)}}}, nil
		}})
		mustStep(t, f)
		return f
	}
	early, late := read(9), read(12)
	early.ReportPeerRow(late.NewestRow(), time.Now())
	if early.ReportPeerRow(late.NewestRow(), time.Now().Add(time.Minute)) {
		t.Errorf("a follower that has read all rows is behind its peer, which reports row %s", late.NewestRow())
	}
}

// Guards against a follower that counts as behind although the store has answered that nothing changed since the row of its peer.
func TestEmptyAnswerIsUpToDate(t *testing.T) {
	s := &fakeSource{read: func(context.Context) (Page, error) { return Page{Position: storepos.At(0, 1)}, nil }}
	s.changes = func(context.Context, storepos.Position) (Page, error) { return Page{Position: storepos.At(0, 20)}, nil }
	f, _ := newFollower(s)
	mustStep(t, f)
	mustStep(t, f)
	f.ReportPeerRow(storepos.At(0, 15), time.Now())
	if f.ReportPeerRow(storepos.At(0, 15), time.Now().Add(time.Minute)) {
		t.Error("behind row 15 after an answer of the store at version 20")
	}
}
