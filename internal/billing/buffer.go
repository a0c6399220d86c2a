package billing

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// batch is a group of bills that is sealed, copied and written together.
type batch struct {
	sequence int64
	bills    []api.Bill
	openedAt time.Time
	// durable is closed when the batch is in the table service or a peer holds a copy.
	durable chan struct{}
	// lastHolder is the peer that last acknowledged a copy; empty if none did.
	lastHolder string
}

func (b *batch) markDurable() {
	select {
	case <-b.durable:
	default:
		close(b.durable)
	}
}

// buffer is the table of bills that are not yet in the table service.
type buffer struct {
	capacity int

	mu        *lockorder.Mutex
	openBatch *batch
	// sealedBatches holds the closed batches in order of sequence. The first frozenCount of them form the row that is being
	// written.
	sealedBatches   []*batch
	frozenCount     int
	billCount       int
	nextSequence    int64
	writtenSequence int64
	// copyHolder is the peer that receives copies. copiedSequence is the highest sequence copied to it, reportedSequence the
	// highest sequence that it was told is in the table service.
	copyHolder       string
	copiedSequence   int64
	reportedSequence int64
	// idleDuties names the duties that had one run without work since the last bill, suspendedDuties those that are suspended
	// until the next bill.
	idleDuties, suspendedDuties map[string]bool
}

func newBuffer(capacity int) *buffer {
	return &buffer{capacity: capacity, mu: lockorder.New(lockorder.RankBills), nextSequence: 1,
		idleDuties: map[string]bool{}, suspendedDuties: map[string]bool{}}
}

func (b *buffer) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.billCount
}

// add puts the bill into the open batch. It returns a channel that is closed when the bill is durable, and the suspended
// duties to trigger. ok is false if the buffer is full.
func (b *buffer) add(bill api.Bill, now time.Time) (durable <-chan struct{}, suspended []string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.billCount >= b.capacity {
		return nil, nil, false
	}
	suspended = slices.Sorted(maps.Keys(b.suspendedDuties))
	clear(b.suspendedDuties)
	clear(b.idleDuties)
	if b.openBatch == nil {
		b.openBatch = &batch{sequence: b.nextSequence, openedAt: now, durable: make(chan struct{})}
		b.nextSequence++
	}
	b.openBatch.bills = append(b.openBatch.bills, bill)
	b.billCount++
	return b.openBatch.durable, suspended, true
}

// maySuspend reports whether the duty may be suspended until the next bill: at the end of its last two runs there was nothing
// to write, copy or report to the holder. The next call of add then returns the duty.
func (b *buffer) maySuspend(duty string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.billCount > 0 || (b.writtenSequence > b.reportedSequence && b.copiedSequence > b.reportedSequence) {
		delete(b.idleDuties, duty)
		return false
	}
	if !b.idleDuties[duty] {
		b.idleDuties[duty] = true
		return false
	}
	b.suspendedDuties[duty] = true
	return true
}

// seal closes the open batch.
func (b *buffer) seal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openBatch == nil {
		return
	}
	b.sealedBatches = append(b.sealedBatches, b.openBatch)
	b.openBatch = nil
}

// rowContent is the content of a row to write and the sequences of the batches in it.
type rowContent struct {
	batch     api.BillBatch
	sequences []int64
}

// freezeRow returns the content of the next row: the oldest sealed batches that fit. Once frozen, a row keeps its content
// until it is written, because an earlier attempt whose reply was lost may already have written it.
func (b *buffer) freezeRow() (rowContent, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.sealedBatches) == 0 {
		return rowContent{}, false
	}
	if b.frozenCount == 0 {
		b.frozenCount = batchesInRow(b.sealedBatches)
	}
	row := rowContent{batch: api.BillBatch{Sequence: b.sealedBatches[0].sequence}}
	for _, sealed := range b.sealedBatches[:b.frozenCount] {
		row.batch.Bills = append(row.batch.Bills, sealed.bills...)
		row.sequences = append(row.sequences, sealed.sequence)
	}
	return row, true
}

// batchesInRow returns the number of batches that fit one row, at least one.
func batchesInRow(batches []*batch) int {
	bills := 0
	for i, b := range batches {
		bills += len(b.bills)
		if i > 0 && bills > maxBillsPerRow {
			return i
		}
	}
	return len(batches)
}

// markWritten removes the batches of a row that is now in the table service. It may be called twice for one row.
func (b *buffer) markWritten(row rowContent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.sealedBatches) == 0 || b.sealedBatches[0].sequence != row.batch.Sequence {
		return
	}
	n := len(row.sequences)
	for _, written := range b.sealedBatches[:n] {
		written.markDurable()
		b.billCount -= len(written.bills)
		b.writtenSequence = written.sequence
	}
	b.sealedBatches = append([]*batch(nil), b.sealedBatches[n:]...)
	b.frozenCount = 0
}

// copyJob is a batch to copy, together with the highest sequence that is in the table service.
type copyJob struct {
	batch           api.BillBatch
	writtenSequence int64
}

// pendingCopies returns the sealed batches that the holder lacks: first those without any copy that were opened no later than
// openedBefore, then those of which only another peer holds a copy.
func (b *buffer) pendingCopies(holder string, openedBefore time.Time) []copyJob {
	b.mu.Lock()
	defer b.mu.Unlock()
	var uncopied, recopied []copyJob
	for _, sealed := range b.sealedBatches {
		job := copyJob{batch: api.BillBatch{Sequence: sealed.sequence, Bills: sealed.bills}, writtenSequence: b.writtenSequence}
		switch {
		case sealed.lastHolder == holder:
		case sealed.lastHolder != "":
			recopied = append(recopied, job)
		case !sealed.openedAt.After(openedBefore):
			uncopied = append(uncopied, job)
		}
	}
	return append(uncopied, recopied...)
}

// recordCopy records that the holder acknowledged the batch and knows that the bills up to writtenSequence are in the table
// service.
func (b *buffer) recordCopy(holder string, sequence, writtenSequence int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.copyHolder != holder {
		b.copyHolder, b.copiedSequence = holder, 0
	}
	b.copiedSequence = max(b.copiedSequence, sequence)
	b.reportedSequence = writtenSequence
	for _, sealed := range b.sealedBatches {
		if sealed.sequence == sequence {
			sealed.lastHolder = holder
			sealed.markDurable()
		}
	}
}

// unreportedWrites returns the highest sequence in the table service. ok is true if the holder keeps copies that it may drop
// and has not been told so.
func (b *buffer) unreportedWrites() (writtenSequence int64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.writtenSequence, b.writtenSequence > b.reportedSequence && b.copiedSequence > b.reportedSequence
}

// currentHolder returns the peer that receives copies; empty if there is none.
func (b *buffer) currentHolder() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.copyHolder
}
