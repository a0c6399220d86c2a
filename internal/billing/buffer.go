package billing

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// batch is a group of bills that is sealed, copied and written as a whole.
type batch struct {
	sequence int64
	bills    []api.Bill
	opened   time.Time
	// durable is closed when the batch is in the table service or at a peer.
	durable chan struct{}
	// copiedTo is the peer that acknowledged a copy last; empty if none did.
	copiedTo string
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

	mu   *lockorder.Mutex
	open *batch
	// sealed holds batches in order of sequence; the first frozen of them form the row that is being written.
	sealed []*batch
	frozen int
	bills  int
	next   int64
	landed int64
	// holder is the peer that receives copies; copied and told are the highest sequences copied to it, and told to it as landed.
	holder string
	copied int64
	told   int64
	// idle and resting name the duties that found nothing to do since the last bill, and those that wait for the next bill.
	idle, resting map[string]bool
}

func newBuffer(capacity int) *buffer {
	return &buffer{capacity: capacity, mu: lockorder.New(lockorder.RankBills), next: 1,
		idle: map[string]bool{}, resting: map[string]bool{}}
}

func (b *buffer) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bills
}

// add puts the bill into the open batch and returns the channel that is closed when it is durable, and the duties to wake.
func (b *buffer) add(bill api.Bill, now time.Time) (durable <-chan struct{}, resting []string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bills >= b.capacity {
		return nil, nil, false
	}
	resting = slices.Sorted(maps.Keys(b.resting))
	clear(b.resting)
	clear(b.idle)
	if b.open == nil {
		b.open = &batch{sequence: b.next, opened: now, durable: make(chan struct{})}
		b.next++
	}
	b.open.bills = append(b.open.bills, bill)
	b.bills++
	return b.open.durable, resting, true
}

// rest reports whether the duty may wait for the next bill: there was nothing to write, copy or tell at the end of its last
// two runs. add returns the duty then.
func (b *buffer) rest(duty string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bills > 0 || (b.landed > b.told && b.copied > b.told) {
		delete(b.idle, duty)
		return false
	}
	if !b.idle[duty] {
		b.idle[duty] = true
		return false
	}
	b.resting[duty] = true
	return true
}

// seal closes the open batch.
func (b *buffer) seal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open == nil {
		return
	}
	b.sealed = append(b.sealed, b.open)
	b.open = nil
}

// rowContent is the content of a row to write and the batches that it holds.
type rowContent struct {
	batch     api.BillBatch
	sequences []int64
}

// freeze returns the batches of the next row as one. Once frozen, a row keeps its content until it is written, because an
// earlier attempt may already have written it.
func (b *buffer) freeze() (rowContent, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.sealed) == 0 {
		return rowContent{}, false
	}
	if b.frozen == 0 {
		b.frozen = countForRow(b.sealed)
	}
	row := rowContent{batch: api.BillBatch{Sequence: b.sealed[0].sequence}}
	for _, sealed := range b.sealed[:b.frozen] {
		row.batch.Bills = append(row.batch.Bills, sealed.bills...)
		row.sequences = append(row.sequences, sealed.sequence)
	}
	return row, true
}

// countForRow returns how many of the batches fit one row; at least one.
func countForRow(batches []*batch) int {
	bills := 0
	for i, b := range batches {
		bills += len(b.bills)
		if i > 0 && bills > maxRowBills {
			return i
		}
	}
	return len(batches)
}

// land removes the batches of a row that is in the table service now. It may be called twice for one row.
func (b *buffer) land(row rowContent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.sealed) == 0 || b.sealed[0].sequence != row.batch.Sequence {
		return
	}
	n := len(row.sequences)
	for _, done := range b.sealed[:n] {
		done.markDurable()
		b.bills -= len(done.bills)
		b.landed = done.sequence
	}
	b.sealed = append([]*batch(nil), b.sealed[n:]...)
	b.frozen = 0
}

// copyJob is one batch to copy.
type copyJob struct {
	batch  api.BillBatch
	landed int64
}

// copyJobs returns the sealed batches that the holder lacks and that were opened before the time, those without any copy
// first.
func (b *buffer) copyJobs(holder string, openedBefore time.Time) []copyJob {
	b.mu.Lock()
	defer b.mu.Unlock()
	var first, again []copyJob
	for _, sealed := range b.sealed {
		job := copyJob{batch: api.BillBatch{Sequence: sealed.sequence, Bills: sealed.bills}, landed: b.landed}
		switch {
		case sealed.copiedTo == holder:
		case sealed.copiedTo != "":
			again = append(again, job)
		case !sealed.opened.After(openedBefore):
			first = append(first, job)
		}
	}
	return append(first, again...)
}

// copyDone records that the holder has the batch.
func (b *buffer) copyDone(holder string, sequence, landed int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holder != holder {
		b.holder, b.copied = holder, 0
	}
	b.copied = max(b.copied, sequence)
	b.told = landed
	for _, sealed := range b.sealed {
		if sealed.sequence == sequence {
			sealed.copiedTo = holder
			sealed.markDurable()
		}
	}
}

// untold returns the landed sequence if the holder keeps copies that it may drop and was not told so.
func (b *buffer) untold() (landed int64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.landed, b.landed > b.told && b.copied > b.told
}

// currentHolder returns the peer that receives copies; empty if there is none.
func (b *buffer) currentHolder() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder
}
