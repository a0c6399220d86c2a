package billing

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/worker"
)

// Ledger buffers the bills of one instance and makes them durable.
type Ledger struct {
	config Config
	buffer *buffer
}

// NewLedger returns an empty ledger. Its duties must run for Commit to return.
func NewLedger(config Config) *Ledger {
	config = config.withDefaults()
	return &Ledger{config: config, buffer: newBuffer(config.Capacity)}
}

// Commit returns nil when the bill is durable. If the context ends first, it returns a fault with code bill_not_durable;
// the bill stays in the ledger and is still written.
func (l *Ledger) Commit(ctx context.Context, bill api.Bill) error {
	if bill.Id == "" {
		return notDurableError("the bill has no identity")
	}
	durable, suspended, ok := l.buffer.add(bill, l.config.Now())
	if !ok {
		return notDurableError("the buffer of bills is full")
	}
	for _, duty := range suspended {
		l.config.TriggerDuty(duty)
	}
	select {
	case <-durable:
		return nil
	case <-ctx.Done():
		return notDurableError("the bill was neither written nor copied in time").WithCause(ctx.Err())
	}
}

func notDurableError(message string) *fault.Error {
	return fault.Unknown(fault.StepBill, fault.CodeBillNotDurable, message)
}

// HasCapacity reports whether new requests may be admitted. It returns false before the buffer is full, so that the bills of
// requests already admitted fit.
func (l *Ledger) HasCapacity() bool {
	return l.buffer.size() < l.config.Capacity-l.config.Capacity/reserveDivisor
}

// PendingBills returns the number of bills that are not in the table service.
func (l *Ledger) PendingBills() int { return l.buffer.size() }

// FlushInterval returns the current wait between two rows of this instance.
func (l *Ledger) FlushInterval() time.Duration {
	return FlushInterval(l.config.MinFlushInterval, l.config.InstanceCount())
}

// Names of the ledger's duties.
const (
	dutyFlush = "bill-flush"
	dutyCopy  = "bill-copy"
)

// Duties returns the periodic duties that write and copy bills.
func (l *Ledger) Duties() []worker.Duty {
	return []worker.Duty{
		{Name: dutyFlush, Interval: l.intervalOrSuspension(dutyFlush, l.FlushInterval), Timeout: 2 * storeTimeout, Run: l.Flush},
		{Name: dutyCopy, Interval: l.intervalOrSuspension(dutyCopy, worker.Every(copyInterval)), Timeout: 4 * copyTimeout, Run: l.Copy},
	}
}

// intervalOrSuspension returns a function for the wait of a duty: the interval, or suspendedInterval if there is nothing to do
// until the next bill. A duty is suspended only after a run without work, so that two runs with work are always an interval
// apart.
func (l *Ledger) intervalOrSuspension(duty string, interval func() time.Duration) func() time.Duration {
	return func() time.Duration {
		if l.config.TriggerDuty != nil && l.buffer.maySuspend(duty) {
			return suspendedInterval
		}
		return interval()
	}
}

// Flush seals the open batch and writes one row. After an ambiguous reply the next call writes the same row again.
func (l *Ledger) Flush(ctx context.Context) error {
	l.buffer.seal()
	row, ok := l.buffer.freezeRow()
	if !ok {
		return nil
	}
	row.batch.Incarnation = l.config.Incarnation
	if err := writeRow(ctx, l.config.Table, ownerKey(l.config.Incarnation, row.batch.Sequence), row.batch); err != nil {
		return err
	}
	l.buffer.markWritten(row)
	return nil
}

// writeRow returns nil only if the row is in the table service with this content.
func writeRow(ctx context.Context, table platform.Table, key string, row api.BillBatch) error {
	value, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "encode bill row")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = table.Put(ctx, key, value, platform.IfAbsent())
	if !errors.Is(err, platform.ErrConditionFailed) {
		return errors.Wrapf(err, "write bill row %q", key)
	}
	// An earlier attempt wrote the row and its reply was lost.
	stored, err := table.Get(ctx, key)
	if err != nil {
		return errors.Wrapf(err, "read back bill row %q", key)
	}
	if !bytes.Equal(stored.Value, value) {
		return errors.Errorf("bill row %q already exists with different content", key)
	}
	return nil
}

// Drain makes every bill durable outside this instance: in the table service, or else at peers. It returns an error if the
// context ends first.
func (l *Ledger) Drain(ctx context.Context) error {
	for {
		err := l.Flush(ctx)
		if err == nil && l.buffer.size() == 0 {
			return nil
		}
		if err != nil && l.copyForDrain(ctx) {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return errors.Wrapf(err, "%d bills are neither written nor copied", l.buffer.size())
		}
		if err != nil {
			wait(ctx, copyInterval)
		}
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
