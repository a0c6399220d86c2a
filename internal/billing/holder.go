package billing

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/worker"
)

const (
	// takeoverInterval is the wait between two checks for owners that have left.
	takeoverInterval = 2 * time.Second
	// ownerSilenceTimeout is the time without a message after which an owner's copies are written although the platform's
	// instance list still shows the owner. Waiting for the list would leave the bills at one instance for 30 s more. If the
	// owner is alive, the cost is one row of duplicates.
	ownerSilenceTimeout = 10 * time.Second
	// idleOwnerRetention is the time after the last message for which an owner without copies is remembered. A batch that
	// arrives again later may be written twice; the roll-up removes the duplicates.
	idleOwnerRetention = 10 * time.Minute
)

// ownerCopies holds the copies of one owner's batches.
type ownerCopies struct {
	batches map[int64]api.BillBatch
	// frozenSequences lists the batches of the row that is being written. A row keeps its content until it is written.
	frozenSequences []int64
	// writtenHere holds the sequences that this instance wrote to the table service and no longer holds.
	writtenHere map[int64]bool
	// ownerWrittenSequence is the highest sequence that the owner reported as written to the table service.
	ownerWrittenSequence int64
	lastReceivedAt       time.Time
}

// Copies holds copies of other instances' batches and writes them when their owner has left.
type Copies struct {
	config Config

	mu        *lockorder.Mutex
	owners    map[string]*ownerCopies
	billCount int
}

// NewCopies returns a table without copies.
func NewCopies(config Config) *Copies {
	return &Copies{config: config.withDefaults(), mu: lockorder.New(lockorder.RankBills), owners: map[string]*ownerCopies{}}
}

// HeldBills returns the number of bills held for other instances.
func (c *Copies) HeldBills() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.billCount
}

// Receive stores a copy of a batch and drops the copies that the owner reports as written to the table service.
func (c *Copies) Receive(req api.BillCopyRequest) (api.BillCopyAck, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner, ok := c.owners[req.Batch.Incarnation]
	if !ok {
		owner = &ownerCopies{batches: map[int64]api.BillBatch{}, writtenHere: map[int64]bool{}}
		c.owners[req.Batch.Incarnation] = owner
	}
	owner.lastReceivedAt = c.config.Now()
	c.dropWritten(owner, req.StoredSequence)
	_, alreadyHeld := owner.batches[req.Batch.Sequence]
	alreadyWritten := req.Batch.Sequence <= owner.ownerWrittenSequence || owner.writtenHere[req.Batch.Sequence]
	if len(req.Batch.Bills) == 0 || alreadyHeld || alreadyWritten {
		return api.BillCopyAck{Held: len(owner.batches)}, nil
	}
	if c.billCount+len(req.Batch.Bills) > c.config.Capacity {
		return api.BillCopyAck{}, errors.Errorf("the buffer of bill copies is full: %d bills", c.billCount)
	}
	owner.batches[req.Batch.Sequence] = req.Batch
	c.billCount += len(req.Batch.Bills)
	return api.BillCopyAck{Held: len(owner.batches)}, nil
}

// dropWritten drops the batches up to writtenSequence. The batches of a row that is being written stay until the owner has
// written all of them, so that the row keeps its content.
func (c *Copies) dropWritten(owner *ownerCopies, writtenSequence int64) {
	owner.ownerWrittenSequence = max(owner.ownerWrittenSequence, writtenSequence)
	if n := len(owner.frozenSequences); n > 0 && owner.frozenSequences[n-1] <= owner.ownerWrittenSequence {
		owner.frozenSequences = nil
	}
	for sequence, batch := range owner.batches {
		if sequence <= owner.ownerWrittenSequence && !slices.Contains(owner.frozenSequences, sequence) {
			delete(owner.batches, sequence)
			c.billCount -= len(batch.Bills)
		}
	}
	for sequence := range owner.writtenHere {
		if sequence <= owner.ownerWrittenSequence {
			delete(owner.writtenHere, sequence)
		}
	}
}

// Duty returns the periodic duty that writes the bills of owners that have left.
func (c *Copies) Duty() worker.Duty {
	return worker.Duty{Name: "bill-takeover", Interval: worker.Every(takeoverInterval), Timeout: 10 * time.Second, Run: c.Takeover}
}

// Takeover writes the copies of owners that have left or are silent, one row after the other. It stops at the first error; the
// next call writes the failed row again with the same content.
func (c *Copies) Takeover(ctx context.Context) error {
	for _, incarnation := range c.ownersWithCopies() {
		if !c.config.Peers.HasLeft(incarnation) && !c.isSilent(incarnation) {
			continue
		}
		for {
			row, ok := c.freezeRow(incarnation)
			if !ok {
				break
			}
			if err := writeRow(ctx, c.config.Table, holderKey(incarnation, row.batch.Sequence, c.config.Incarnation), row.batch); err != nil {
				return err
			}
			c.markWritten(incarnation, row)
		}
	}
	return nil
}

func (c *Copies) isSilent(incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Now().Sub(c.owners[incarnation].lastReceivedAt) > ownerSilenceTimeout
}

// ownersWithCopies returns the owners of held copies. It removes owners without copies that sent nothing for
// idleOwnerRetention.
func (c *Copies) ownersWithCopies() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	now := c.config.Now()
	for name, owner := range c.owners {
		if len(owner.batches) > 0 {
			names = append(names, name)
		} else if now.Sub(owner.lastReceivedAt) > idleOwnerRetention {
			delete(c.owners, name)
		}
	}
	sort.Strings(names)
	return names
}

func (c *Copies) freezeRow(incarnation string) (rowContent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := c.owners[incarnation]
	if len(owner.batches) == 0 {
		return rowContent{}, false
	}
	if len(owner.frozenSequences) == 0 {
		owner.frozenSequences = sequencesForRow(owner.batches)
	}
	row := rowContent{batch: api.BillBatch{Incarnation: incarnation, Sequence: owner.frozenSequences[0]}, sequences: owner.frozenSequences}
	for _, sequence := range owner.frozenSequences {
		row.batch.Bills = append(row.batch.Bills, owner.batches[sequence].Bills...)
	}
	return row, true
}

// sequencesForRow returns the lowest sequences whose bills fit one row, at least one.
func sequencesForRow(batches map[int64]api.BillBatch) []int64 {
	var sequences []int64
	for sequence := range batches {
		sequences = append(sequences, sequence)
	}
	sort.Slice(sequences, func(i, j int) bool { return sequences[i] < sequences[j] })
	bills := 0
	for i, sequence := range sequences {
		bills += len(batches[sequence].Bills)
		if i > 0 && bills > maxBillsPerRow {
			return sequences[:i]
		}
	}
	return sequences
}

// markWritten removes the batches of a row that is now in the table service. Some of them may already have been dropped
// because the owner reported them as written.
func (c *Copies) markWritten(incarnation string, row rowContent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := c.owners[incarnation]
	for _, sequence := range row.sequences {
		c.billCount -= len(owner.batches[sequence].Bills)
		delete(owner.batches, sequence)
		owner.writtenHere[sequence] = true
	}
	owner.frozenSequences = nil
}
