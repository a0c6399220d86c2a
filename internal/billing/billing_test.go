package billing

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
)

// fleet consists of three instances on one table: the owner a and the peers b and c, whose connections can be cut.
type fleet struct {
	table        *memory.Table
	faultFor     func(op memory.Op, key string) memory.Fault
	holders      []string
	departed     map[string]bool
	disconnected map[string]bool
	copies       map[string]*Copies
	copiesSent   int
}

func newFleet() *fleet {
	f := &fleet{table: memory.NewTable(), holders: []string{"b", "c"}, departed: map[string]bool{}, disconnected: map[string]bool{}, copies: map[string]*Copies{}}
	for _, name := range f.holders {
		f.copies[name] = NewCopies(f.config(name))
	}
	return f
}

func (f *fleet) config(name string) Config {
	table := f.table.View(func(op memory.Op, key string) memory.Fault {
		if f.faultFor == nil {
			return memory.FaultNone
		}
		return f.faultFor(op, key)
	})
	return Config{Table: table, Transport: f, Peers: f, Incarnation: name}
}

func (f *fleet) CopyHolders() []string    { return f.holders }
func (f *fleet) HasLeft(name string) bool { return f.departed[name] }
func (f *fleet) startOutage() func()      { return f.injectFault(memory.FaultUnavailable) }
func (f *fleet) injectFault(fault memory.Fault) func() {
	f.faultFor = func(memory.Op, string) memory.Fault { return fault }
	return func() { f.faultFor = nil }
}

func (f *fleet) PutBillCopy(_ context.Context, holder string, req api.BillCopyRequest) (api.BillCopyAck, error) {
	f.copiesSent++
	if f.disconnected[holder] {
		return api.BillCopyAck{}, errors.New("connection refused")
	}
	return f.copies[holder].Receive(req)
}

func bill(id string) api.Bill {
	return api.Bill{Id: id, Organisation: "o", RequestID: id, Lines: []api.BillLine{{Kind: "answer", Cost: 2}}}
}

// startCommit calls Commit in the background and returns the channel that receives its result.
func startCommit(l *Ledger, id string) chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		done <- l.Commit(ctx, bill(id))
	}()
	synctest.Wait()
	return done
}

func hasReturned(done chan error) bool {
	synctest.Wait()
	return len(done) == 1
}

// advance lets d of synthetic time pass.
func advance(d time.Duration) { <-time.After(d) }

// rollup returns the statement of all rows in the table.
func (f *fleet) rollup(t *testing.T) Statement {
	t.Helper()
	rows, err := ReadRows(context.Background(), f.table.View(nil))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Rollup(rows)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func wantBills(t *testing.T, s Statement, ids ...string) {
	t.Helper()
	var got []string
	for _, b := range s.Bills {
		got = append(got, b.Id)
	}
	if diff := cmp.Diff(ids, got); diff != "" {
		t.Fatalf("billed identities (-want +got):\n%s", diff)
	}
}

// Guards against a Commit that returns before the bill is durable, which would release the end marker of the response too
// early, and against a bill that is written twice after a lost reply.
func TestFlushDurabilityAndLostReply(t *testing.T) {
	for name, fault := range map[string]memory.Fault{
		"none": memory.FaultNone, "reply lost": memory.FaultReplyLost, "request lost": memory.FaultRequestLost, "unavailable": memory.FaultUnavailable,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				l := NewLedger(f.config("a"))
				commit := startCommit(l, "1")
				clearFault := f.injectFault(fault)
				err := l.Flush(context.Background())
				if (err == nil) != (fault == memory.FaultNone) || hasReturned(commit) != (err == nil) {
					t.Fatalf("flush error %v, commit returned %v", err, hasReturned(commit))
				}
				clearFault()
				secondCommit := startCommit(l, "2")
				for range 2 {
					if err := l.Flush(context.Background()); err != nil {
						t.Fatal(err)
					}
				}
				if !hasReturned(commit) || !hasReturned(secondCommit) || l.PendingBills() != 0 {
					t.Fatal("bills are not durable after the table service recovered")
				}
				s := f.rollup(t)
				wantBills(t, s, "1", "2")
				if s.Duplicates != 0 {
					t.Fatalf("%d bills were written twice", s.Duplicates)
				}
			})
		})
	}
}

// Guards against a copy that is made too early or too late, and against a lost bill when owner and holder group the batches
// into rows differently.
func TestCopyAndTakeoverWithDifferentGroupings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		f := newFleet()
		l := NewLedger(f.config("a"))
		clearFault := f.startOutage()
		var commits []chan error
		for i := range 4 {
			commits = append(commits, startCommit(l, fmt.Sprint(i)))
			_ = l.Copy(ctx)
			advance(60 * time.Millisecond)
		}
		if hasReturned(commits[0]) {
			t.Fatal("a copy was made before the table service had 200 ms to answer")
		}
		advance(250 * time.Millisecond)
		if err := l.Copy(ctx); err != nil || !hasReturned(commits[3]) || f.copies["b"].HeldBills() != 4 {
			t.Fatalf("copy: %v, held %d", err, f.copies["b"].HeldBills())
		}
		clearFault()
		if err := f.copies["b"].Takeover(ctx); err != nil || f.copies["b"].HeldBills() != 4 {
			t.Fatal("the holder wrote the bills of an owner that has not left")
		}
		f.departed["a"] = true
		// The holder's reply is lost, then another copy arrives, so its rows are grouped differently from the owner's.
		f.injectFault(memory.FaultReplyLost)
		if f.copies["b"].Takeover(ctx) == nil {
			t.Fatal("a write whose reply was lost counted as done")
		}
		clearFault()
		lateCommit := startCommit(l, "4")
		advance(300 * time.Millisecond)
		if err := l.Copy(ctx); err != nil || !hasReturned(lateCommit) {
			t.Fatalf("late copy: %v", err)
		}
		if err := f.copies["b"].Takeover(ctx); err != nil || f.copies["b"].HeldBills() != 0 {
			t.Fatalf("takeover: %v, held %d", err, f.copies["b"].HeldBills())
		}
		wantBills(t, f.rollup(t), "0", "1", "2", "3", "4")
		if err := l.Flush(ctx); err != nil {
			t.Fatal(err)
		}
		s := f.rollup(t)
		wantBills(t, s, "0", "1", "2", "3", "4")
		if s.Duplicates != 5 || s.Cost("o") != 10 {
			t.Fatalf("%d duplicates, cost %v", s.Duplicates, s.Cost("o"))
		}
	})
}

// Guards against bills of which only an unreachable holder has a copy: another peer must receive every batch that is not in
// the table service. Also guards against a holder that keeps copies of bills that are in the table service.
func TestHolderLostAndWrittenBillsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		f := newFleet()
		config := f.config("a")
		config.InstanceCount = func() int { return 410 }
		l := NewLedger(config)
		clearFault := f.startOutage()
		firstCommit := startCommit(l, "1")
		if err := l.Copy(ctx); err != nil || !hasReturned(firstCommit) {
			t.Fatal("with a flush interval above 200 ms the copy must be made at once")
		}
		f.disconnected["b"] = true
		secondCommit := startCommit(l, "2")
		if err := l.Copy(ctx); err != nil || !hasReturned(secondCommit) || f.copies["c"].HeldBills() != 2 {
			t.Fatalf("the new holder has %d of 2 bills: %v", f.copies["c"].HeldBills(), err)
		}
		clearFault()
		if err := errors.Join(l.Flush(ctx), l.Copy(ctx)); err != nil || f.copies["c"].HeldBills() != 0 {
			t.Fatalf("the holder keeps copies of %d bills that are in the table service: %v", f.copies["c"].HeldBills(), err)
		}
		sentBefore := f.copiesSent
		if err := l.Copy(ctx); err != nil || f.copiesSent != sentBefore {
			t.Fatal("a ledger without bills sends copies")
		}
	})
}

// Guards against a buffer that grows without bound or loses bills in a ten-minute outage of the table service without peers,
// and against a drain that does not end with its context.
func TestTenMinuteOutageAndFullBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.holders = nil
		config := f.config("a")
		config.Capacity = 1000
		l := NewLedger(config)
		clearFault := f.startOutage()
		accepted := 0
		for start := time.Now(); time.Since(start) < 10*time.Minute; advance(500 * time.Millisecond) {
			if l.HasCapacity() {
				startCommit(l, fmt.Sprintf("%04d", accepted))
				accepted++
			}
			_ = l.Flush(context.Background())
			_ = l.Copy(context.Background())
		}
		if accepted != 950 || l.HasCapacity() {
			t.Fatalf("%d bills were admitted with a capacity of 1000 and a reserve of 50", accepted)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if l.Drain(ctx) == nil {
			t.Fatal("a drain without a table service and peers reported success")
		}
		clearFault()
		if err := l.Drain(context.Background()); err != nil {
			t.Fatal(err)
		}
		if n := len(f.rollup(t).Bills); n != accepted {
			t.Fatalf("the table holds %d of %d bills", n, accepted)
		}
	})
}

// Guards against bills that stay at one instance until the instance list drops their silent owner.
func TestBillsOfSilentOwnerAreTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		l := NewLedger(f.config("a"))
		clearFault := f.startOutage()
		startCommit(l, "1")
		advance(250 * time.Millisecond)
		_ = l.Copy(context.Background())
		clearFault()
		advance(9 * time.Second)
		if err := f.copies["b"].Takeover(context.Background()); err != nil || f.copies["b"].HeldBills() != 1 {
			t.Fatalf("taken over after 9 s: %v", err)
		}
		advance(2 * time.Second)
		if err := f.copies["b"].Takeover(context.Background()); err != nil || f.copies["b"].HeldBills() != 0 {
			t.Fatalf("not taken over after 11 s: %v", err)
		}
		wantBills(t, f.rollup(t), "1")
	})
}

// Guards against a planned stop during an outage of the table service that leaves bills with only one peer.
func TestDrainCopiesToTwoPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		l := NewLedger(f.config("a"))
		clearFault := f.startOutage()
		commit := startCommit(l, "1")
		if err := l.Drain(context.Background()); err != nil || !hasReturned(commit) {
			t.Fatalf("drain: %v", err)
		}
		clearFault()
		f.departed["a"], f.departed["b"] = true, true
		if err := f.copies["c"].Takeover(context.Background()); err != nil {
			t.Fatal(err)
		}
		wantBills(t, f.rollup(t), "1")
	})
}

// Guards against an idempotency key that is billed twice when the caller repeats the request at another instance, and against
// a roll-up that depends on the order of rows.
func TestRollupIsDeterministic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		id := Identity("o", "key/1", "request-1")
		if id != Identity("o", "key/1", "request-2") || id == Identity("o", "", "key/1") {
			t.Fatal("the identity must follow the idempotency key")
		}
		for _, name := range []string{"a", "b", "c"} {
			l := NewLedger(f.config(name))
			startCommit(l, id)
			startCommit(l, name)
			if err := l.Flush(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		rows, err := ReadRows(context.Background(), f.table.View(nil))
		if err != nil {
			t.Fatal(err)
		}
		want, err := Rollup(rows)
		if err != nil || len(want.Bills) != 4 || want.Duplicates != 2 {
			t.Fatalf("roll-up: %v, %d bills, %d duplicates", err, len(want.Bills), want.Duplicates)
		}
		rnd := rand.New(rand.NewPCG(1, 2))
		for range 10 {
			rnd.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
			got, err := Rollup(rows)
			if diff := cmp.Diff(want, got); err != nil || diff != "" {
				t.Fatalf("the roll-up depends on the order of rows: %v\n%s", err, diff)
			}
		}
	})
}
