package rowfeed

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// source answers with functions.
type source struct {
	read    func(ctx context.Context) (Page, error)
	changes func(ctx context.Context, after int64) (Page, error)
}

func (s *source) Read(ctx context.Context, _ string, _ func()) (Page, error) { return s.read(ctx) }

func (s *source) Changes(ctx context.Context, _ string, after int64, _ time.Duration, _ func()) (Page, error) {
	return s.changes(ctx, after)
}

func hang(ctx context.Context) (Page, error) {
	<-ctx.Done()
	return Page{}, ctx.Err()
}

func follow(s *source) (*Follower, *[]Batch) {
	batches := &[]Batch{}
	return New(Options{
		Table: "op", Source: s, Handle: func(b Batch) { *batches = append(*batches, b) }, Instances: func() int { return 7 },
		Log: slog.New(slog.NewJSONHandler(io.Discard, nil)),
	}), batches
}

func step(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), StepTimeout)
	defer cancel()
	if err := f.Step(ctx); err != nil {
		t.Fatal(err)
	}
}

// Guards against a first read that hangs for the time of a long wait (own day store-and-kills, CONFIG).
func TestReadEndsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := follow(&source{read: hang})
		begun := time.Now()
		step(t, f)
		if took := time.Since(begun); took > 2*time.Second {
			t.Errorf("a read of a silent store took %s", took)
		}
		if !f.Away(time.Now()) || f.Pause() == 0 {
			t.Error("the store does not count as away")
		}
	})
}

// Guards against a follower that goes on from a version whose history is gone, and misses what changed before.
func TestGoneHistoryIsReadInFull(t *testing.T) {
	reads := 0
	s := &source{}
	s.read = func(context.Context) (Page, error) {
		reads++
		return Page{Version: int64(10 * reads), Rows: []Row{{Key: "a", Version: int64(reads)}}}, nil
	}
	s.changes = func(context.Context, int64) (Page, error) { return Page{}, ErrHistoryGone }
	f, batches := follow(s)
	step(t, f)
	step(t, f)
	if reads != 2 || len(*batches) != 2 || !(*batches)[1].Complete {
		t.Errorf("%d reads, batches %+v", reads, *batches)
	}
}

// Guards against a return of the store that is not told, so that lapsed entries count as gone at once.
func TestReturnIsTold(t *testing.T) {
	fail := false
	s := &source{read: func(context.Context) (Page, error) { return Page{Version: 1}, nil }}
	s.changes = func(context.Context, int64) (Page, error) {
		if fail {
			return Page{}, errors.New("refused")
		}
		return Page{Version: 2}, nil
	}
	f, batches := follow(s)
	step(t, f)
	fail = true
	step(t, f)
	fail = false
	step(t, f)
	if len(*batches) != 2 || !(*batches)[0].Returned.IsZero() || (*batches)[1].Returned.IsZero() {
		t.Errorf("batches %+v", *batches)
	}
}

// Guards against a connection that went silent for good and hides a change that a peer has seen.
func TestHintEndsDeadCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{read: func(context.Context) (Page, error) { return Page{Version: 1}, nil }}
		s.changes = func(ctx context.Context, _ int64) (Page, error) { return hang(ctx) }
		f, _ := follow(s)
		step(t, f)
		begun := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			step(t, f)
		}()
		synctest.Wait()
		if f.Hint(5, time.Now()) {
			t.Error("behind at the first hint, the change may be on its way")
		}
		synctest.Wait()
		select {
		case <-done:
			t.Error("the call ended on the first hint, the change may be on its way")
		default:
		}
		if !f.Hint(5, time.Now().Add(hintLag+time.Millisecond)) {
			t.Error("not behind although a peer has seen the change for long")
		}
		f.Hint(5, time.Now().Add(hintPatience+time.Millisecond))
		<-done
		if time.Since(begun) > time.Second {
			t.Error("the call went on")
		}
	})
}

// Guards against a store that is back for seconds before anyone asks it (Parabole, platform_down silent for 10 s, CONFIG: calls
// waited 6 s for changes although the ones before had failed).
func TestStoreThatWasAwayIsAskedBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{read: func(context.Context) (Page, error) { return Page{Version: 1}, nil }}
		s.changes = func(ctx context.Context, _ int64) (Page, error) { return hang(ctx) }
		f, _ := follow(s)
		step(t, f)
		step(t, f)
		for range 5 {
			begun := time.Now()
			step(t, f)
			if cycle := time.Since(begun) + f.Pause(); cycle > 2500*time.Millisecond {
				t.Errorf("the next question comes after %s", cycle)
			}
		}
	})
}

// Guards against an instance that counts as behind for ever because rows were dropped before it read the table.
func TestCompleteReadIsUpToDate(t *testing.T) {
	f, _ := follow(&source{read: func(context.Context) (Page, error) { return Page{Version: 9, Rows: []Row{{Key: "a", Version: 2}}}, nil }})
	step(t, f)
	f.Hint(8, time.Now())
	if f.Hint(8, time.Now().Add(time.Minute)) || f.LastRow() != 9 {
		t.Errorf("newest row %d", f.LastRow())
	}
}
