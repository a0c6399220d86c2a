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

// fleet is three instances on one table: the owner a and the peers b and c, with links that can be cut.
type fleet struct {
	table   *memory.Table
	fault   func(op memory.Op, key string) memory.Fault
	holders []string
	gone    map[string]bool
	cut     map[string]bool
	copies  map[string]*Copies
	sent    int
}

func newFleet() *fleet {
	f := &fleet{table: memory.NewTable(), holders: []string{"b", "c"}, gone: map[string]bool{}, cut: map[string]bool{}, copies: map[string]*Copies{}}
	for _, name := range f.holders {
		f.copies[name] = NewCopies(f.config(name))
	}
	return f
}

func (f *fleet) config(name string) Config {
	table := f.table.View(func(op memory.Op, key string) memory.Fault {
		if f.fault == nil {
			return memory.FaultNone
		}
		return f.fault(op, key)
	})
	return Config{Table: table, Transport: f, Peers: f, Incarnation: name}
}

func (f *fleet) CopyHolders() []string { return f.holders }
func (f *fleet) Gone(name string) bool { return f.gone[name] }
func (f *fleet) outage() func()        { return f.set(memory.FaultUnavailable) }
func (f *fleet) set(x memory.Fault) func() {
	f.fault = func(memory.Op, string) memory.Fault { return x }
	return func() { f.fault = nil }
}

func (f *fleet) PutBillCopy(_ context.Context, holder string, req api.BillCopyRequest) (api.BillCopyAck, error) {
	f.sent++
	if f.cut[holder] {
		return api.BillCopyAck{}, errors.New("connection refused")
	}
	return f.copies[holder].Receive(req)
}

func bill(id string) api.Bill {
	return api.Bill{Id: id, Organisation: "o", RequestID: id, Lines: []api.BillLine{{Kind: "answer", Cost: 2}}}
}

// commit starts Commit and returns the channel with its result.
func commit(l *Ledger, id string) chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		done <- l.Commit(ctx, bill(id))
	}()
	synctest.Wait()
	return done
}

func returned(done chan error) bool {
	synctest.Wait()
	return len(done) == 1
}

// advance lets virtual time pass.
func advance(d time.Duration) { <-time.After(d) }

// statement rolls up all rows.
func (f *fleet) statement(t *testing.T) Statement {
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

// Guards against an end marker released before the bill is durable, and a lost reply written as a second bill.
func TestFlushDurabilityAndLostReply(t *testing.T) {
	for name, fault := range map[string]memory.Fault{
		"none": memory.FaultNone, "reply lost": memory.FaultReplyLost, "request lost": memory.FaultRequestLost, "unavailable": memory.FaultUnavailable,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				l := NewLedger(f.config("a"))
				done := commit(l, "1")
				heal := f.set(fault)
				err := l.Flush(context.Background())
				if (err == nil) != (fault == memory.FaultNone) || returned(done) != (err == nil) {
					t.Fatalf("flush error %v, commit returned %v", err, returned(done))
				}
				heal()
				second := commit(l, "2")
				for range 2 {
					if err := l.Flush(context.Background()); err != nil {
						t.Fatal(err)
					}
				}
				if !returned(done) || !returned(second) || l.Waiting() != 0 {
					t.Fatal("bills are not durable after the table service recovered")
				}
				s := f.statement(t)
				wantBills(t, s, "1", "2")
				if s.Duplicates != 0 {
					t.Fatalf("%d bills were written twice", s.Duplicates)
				}
			})
		})
	}
}

// Guards against a copy made too early or too late, and against a lost bill when owner and holder write different groupings.
func TestCopyAndTakeoverWithDifferentGroupings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		f := newFleet()
		l := NewLedger(f.config("a"))
		heal := f.outage()
		var done []chan error
		for i := range 4 {
			done = append(done, commit(l, fmt.Sprint(i)))
			_ = l.Copy(ctx)
			advance(60 * time.Millisecond)
		}
		if returned(done[0]) {
			t.Fatal("a copy was made before the table service had 200 ms to answer")
		}
		advance(250 * time.Millisecond)
		if err := l.Copy(ctx); err != nil || !returned(done[3]) || f.copies["b"].Held() != 4 {
			t.Fatalf("copy: %v, held %d", err, f.copies["b"].Held())
		}
		heal()
		if err := f.copies["b"].Takeover(ctx); err != nil || f.copies["b"].Held() != 4 {
			t.Fatal("the holder wrote the bills of an owner that is not gone")
		}
		f.gone["a"] = true
		// The holder's reply is lost, then another copy arrives, so its rows are grouped differently from the owner's.
		f.set(memory.FaultReplyLost)
		if f.copies["b"].Takeover(ctx) == nil {
			t.Fatal("an ambiguous write counted as done")
		}
		heal()
		late := commit(l, "4")
		advance(300 * time.Millisecond)
		if err := l.Copy(ctx); err != nil || !returned(late) {
			t.Fatalf("late copy: %v", err)
		}
		if err := f.copies["b"].Takeover(ctx); err != nil || f.copies["b"].Held() != 0 {
			t.Fatalf("takeover: %v, held %d", err, f.copies["b"].Held())
		}
		wantBills(t, f.statement(t), "0", "1", "2", "3", "4")
		if err := l.Flush(ctx); err != nil {
			t.Fatal(err)
		}
		s := f.statement(t)
		wantBills(t, s, "0", "1", "2", "3", "4")
		if s.Duplicates != 5 || s.Cost("o") != 10 {
			t.Fatalf("%d duplicates, cost %v", s.Duplicates, s.Cost("o"))
		}
	})
}

// Guards against bills that only a lost holder has: another peer must receive every batch that is not written.
func TestHolderLostAndLandedTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		f := newFleet()
		config := f.config("a")
		config.Instances = func() int { return 410 }
		l := NewLedger(config)
		heal := f.outage()
		first := commit(l, "1")
		if err := l.Copy(ctx); err != nil || !returned(first) {
			t.Fatal("with a flush interval above 200 ms the copy must be made at once")
		}
		f.cut["b"] = true
		second := commit(l, "2")
		if err := l.Copy(ctx); err != nil || !returned(second) || f.copies["c"].Held() != 2 {
			t.Fatalf("the new holder has %d of 2 bills: %v", f.copies["c"].Held(), err)
		}
		heal()
		if err := errors.Join(l.Flush(ctx), l.Copy(ctx)); err != nil || f.copies["c"].Held() != 0 {
			t.Fatalf("the holder keeps %d landed bills: %v", f.copies["c"].Held(), err)
		}
		sent := f.sent
		if err := l.Copy(ctx); err != nil || f.sent != sent {
			t.Fatal("an idle ledger sends copies")
		}
	})
}

// Guards against an unbounded buffer and lost bills in a ten-minute outage without peers, and an endless drain.
func TestTenMinuteOutageAndFullBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.holders = nil
		config := f.config("a")
		config.Capacity = 1000
		l := NewLedger(config)
		heal := f.outage()
		accepted := 0
		for start := time.Now(); time.Since(start) < 10*time.Minute; advance(500 * time.Millisecond) {
			if l.HasCapacity() {
				commit(l, fmt.Sprintf("%04d", accepted))
				accepted++
			}
			_ = l.Flush(context.Background())
			_ = l.Copy(context.Background())
		}
		if accepted != 950 || l.HasCapacity() {
			t.Fatalf("%d bills were admitted of a capacity of 1000 with a reserve of 50", accepted)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if l.Drain(ctx) == nil {
			t.Fatal("a drain without table service and peers reported success")
		}
		heal()
		if err := l.Drain(context.Background()); err != nil {
			t.Fatal(err)
		}
		if n := len(f.statement(t).Bills); n != accepted {
			t.Fatalf("%d of %d bills", n, accepted)
		}
	})
}

// Guards against bills that wait at one instance for the list to drop their owner.
func TestSilentOwnerIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		l := NewLedger(f.config("a"))
		heal := f.outage()
		commit(l, "1")
		advance(250 * time.Millisecond)
		_ = l.Copy(context.Background())
		heal()
		advance(9 * time.Second)
		if err := f.copies["b"].Takeover(context.Background()); err != nil || f.copies["b"].Held() != 1 {
			t.Fatalf("taken over after 9 s: %v", err)
		}
		advance(2 * time.Second)
		if err := f.copies["b"].Takeover(context.Background()); err != nil || f.copies["b"].Held() != 0 {
			t.Fatalf("not taken over after 11 s: %v", err)
		}
		wantBills(t, f.statement(t), "1")
	})
}

// Guards against a planned stop during an outage that leaves bills with one peer only.
func TestDrainCopiesToTwoPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		l := NewLedger(f.config("a"))
		heal := f.outage()
		done := commit(l, "1")
		if err := l.Drain(context.Background()); err != nil || !returned(done) {
			t.Fatalf("drain: %v", err)
		}
		heal()
		f.gone["a"], f.gone["b"] = true, true
		if err := f.copies["c"].Takeover(context.Background()); err != nil {
			t.Fatal(err)
		}
		wantBills(t, f.statement(t), "1")
	})
}

// Guards against a key that is billed twice when the caller repeats at another instance, and a roll-up that depends on order.
func TestRollupIsDeterministic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		id := Identity("o", "key/1", "request-1")
		if id != Identity("o", "key/1", "request-2") || id == Identity("o", "", "key/1") {
			t.Fatal("the identity must follow the idempotency key")
		}
		for _, name := range []string{"a", "b", "c"} {
			l := NewLedger(f.config(name))
			commit(l, id)
			commit(l, name)
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
				t.Fatalf("another order of rows: %v\n%s", err, diff)
			}
		}
	})
}
