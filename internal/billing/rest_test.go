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

// Guards against duties that poll without bills, bills that a resting duty leaves waiting, and rows that are written more
// often than the interval because each bill wakes the duty.
func TestDutiesRestWithoutBills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		var rows []time.Time
		f.fault = func(memory.Op, string) memory.Fault {
			rows = append(rows, time.Now())
			return memory.FaultNone
		}
		duties := worker.NewDuties(2, slog.New(slog.DiscardHandler))
		defer duties.Stop()
		config := f.config("a")
		config.Wake = duties.Trigger
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
		first := commit(ledger, "first")
		advance(defaultMinFlush)
		if !returned(first) {
			t.Error("a bill after a rest was not durable within the flush interval")
		}
		for i := range 100 {
			done := commit(ledger, fmt.Sprint(i))
			advance(time.Duration(7+i) * time.Millisecond)
			if i%10 == 0 {
				advance(defaultMinFlush)
				if !returned(done) {
					t.Errorf("bill %d was not durable within the flush interval", i)
				}
			}
		}
		for i := 1; i < len(rows); i++ {
			if apart := rows[i].Sub(rows[i-1]); apart < defaultMinFlush {
				t.Errorf("rows %d and %d are %s apart, less than %s", i-1, i, apart, defaultMinFlush)
			}
		}
	})
}
