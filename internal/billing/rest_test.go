package billing

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/platform/memory"
	"github.com/cicadawall/cicadawall/internal/worker"
)

// Guards against duties that poll while there are no bills, bills that wait because a duty is suspended, and rows that are
// written more often than the interval because each bill triggers the duty.
func TestDutiesRestWithoutBills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		var writeTimes []time.Time
		f.faultFor = func(memory.Op, string) memory.Fault {
			writeTimes = append(writeTimes, time.Now())
			return memory.FaultNone
		}
		duties := worker.NewDuties(2, slog.New(slog.DiscardHandler))
		defer duties.Stop()
		config := f.config("a")
		config.TriggerDuty = duties.Trigger
		ledger := NewLedger(config)
		var runs atomic.Int64
		for _, duty := range ledger.Duties() {
			run := duty.Run
			duty.Run = func(ctx context.Context) error {
				runs.Add(1)
				return run(ctx)
			}
			duties.Add(duty)
		}
		advance(time.Minute)
		if n := runs.Load(); n > 20 {
			t.Errorf("%d runs in a minute without bills, want at most 20", n)
		}
		firstCommit := startCommit(ledger, "first")
		advance(defaultMinFlushInterval)
		if !hasReturned(firstCommit) {
			t.Error("the first bill after the duties were suspended was not durable within the flush interval")
		}
		for i := range 100 {
			commit := startCommit(ledger, fmt.Sprint(i))
			advance(time.Duration(7+i) * time.Millisecond)
			if i%10 == 0 {
				advance(defaultMinFlushInterval)
				if !hasReturned(commit) {
					t.Errorf("bill %d was not durable within the flush interval", i)
				}
			}
		}
		for i := 1; i < len(writeTimes); i++ {
			if gap := writeTimes[i].Sub(writeTimes[i-1]); gap < defaultMinFlushInterval {
				t.Errorf("rows %d and %d are %s apart, less than %s", i-1, i, gap, defaultMinFlushInterval)
			}
		}
	})
}
