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
	// takeoverInterval is the wait between checks whether an owner is gone.
	takeoverInterval = 2 * time.Second
	// silentAfter is the time without a message after which an owner's copies are written although the list still has it.
	// Waiting for the list would leave the bills at one instance for 30 s more; a wrong guess costs a row of duplicates.
	silentAfter = 10 * time.Second
	// forgetAfter is the time after which an owner without copies is forgotten. A batch that arrives again later would be
	// written twice; the roll-up removes it.
	forgetAfter = 10 * time.Minute
)

// ownerCopies is what this instance holds for one owner.
type ownerCopies struct {
	batches map[int64]api.BillBatch
	// frozen lists the sequences of the row that is being written; a row keeps its content until it is written.
	frozen []int64
	// written holds the sequences that this instance wrote and that are therefore not held any more.
	written map[int64]bool
	// landed is the highest sequence that the owner is known to have in the table service.
	landed  int64
	touched time.Time
}

// Copies holds copies of other instances' batches and writes them when their owner is gone.
type Copies struct {
	config Config

	mu     *lockorder.Mutex
	owners map[string]*ownerCopies
	bills  int
}

// NewCopies returns a table without copies.
func NewCopies(config Config) *Copies {
	return &Copies{config: config.withDefaults(), mu: lockorder.New(lockorder.RankBills), owners: map[string]*ownerCopies{}}
}

// Held returns the number of bills held for other instances.
func (c *Copies) Held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bills
}

// Receive takes a copy of a batch and drops those that the owner says are in the table service.
func (c *Copies) Receive(req api.BillCopyRequest) (api.BillCopyAck, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner, ok := c.owners[req.Batch.Incarnation]
	if !ok {
		owner = &ownerCopies{batches: map[int64]api.BillBatch{}, written: map[int64]bool{}}
		c.owners[req.Batch.Incarnation] = owner
	}
	owner.touched = c.config.Now()
	c.dropLanded(owner, req.StoredSequence)
	_, held := owner.batches[req.Batch.Sequence]
	settled := req.Batch.Sequence <= owner.landed || owner.written[req.Batch.Sequence]
	if len(req.Batch.Bills) == 0 || held || settled {
		return api.BillCopyAck{Held: len(owner.batches)}, nil
	}
	if c.bills+len(req.Batch.Bills) > c.config.Capacity {
		return api.BillCopyAck{}, errors.Errorf("the buffer of bill copies is full: %d bills", c.bills)
	}
	owner.batches[req.Batch.Sequence] = req.Batch
	c.bills += len(req.Batch.Bills)
	return api.BillCopyAck{Held: len(owner.batches)}, nil
}

// dropLanded drops batches up to the sequence. Those of a row that is being written stay until all of them are landed, so
// that the row keeps its content.
func (c *Copies) dropLanded(owner *ownerCopies, landed int64) {
	owner.landed = max(owner.landed, landed)
	if n := len(owner.frozen); n > 0 && owner.frozen[n-1] <= owner.landed {
		owner.frozen = nil
	}
	for sequence, held := range owner.batches {
		if sequence <= owner.landed && !slices.Contains(owner.frozen, sequence) {
			delete(owner.batches, sequence)
			c.bills -= len(held.Bills)
		}
	}
	for sequence := range owner.written {
		if sequence <= owner.landed {
			delete(owner.written, sequence)
		}
	}
}

// Duty returns the periodic duty that writes the bills of owners that are gone.
func (c *Copies) Duty() worker.Duty {
	return worker.Duty{Name: "bill-takeover", Interval: worker.Every(takeoverInterval), Timeout: 10 * time.Second, Run: c.Takeover}
}

// Takeover writes the copies of owners that are gone or silent, one row after the other. It returns the first error; a row that
// failed is written again with the same content at the next call.
func (c *Copies) Takeover(ctx context.Context) error {
	for _, incarnation := range c.incarnations() {
		if !c.config.Peers.Gone(incarnation) && !c.silent(incarnation) {
			continue
		}
		for {
			row, ok := c.freeze(incarnation)
			if !ok {
				break
			}
			if err := writeRow(ctx, c.config.Table, holderKey(incarnation, row.batch.Sequence, c.config.Incarnation), row.batch); err != nil {
				return err
			}
			c.land(incarnation, row)
		}
	}
	return nil
}

func (c *Copies) silent(incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Now().Sub(c.owners[incarnation].touched) > silentAfter
}

// incarnations returns the owners with copies, and forgets those that have had none for forgetAfter.
func (c *Copies) incarnations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	now := c.config.Now()
	for name, owner := range c.owners {
		if len(owner.batches) > 0 {
			names = append(names, name)
		} else if now.Sub(owner.touched) > forgetAfter {
			delete(c.owners, name)
		}
	}
	sort.Strings(names)
	return names
}

func (c *Copies) freeze(incarnation string) (rowContent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := c.owners[incarnation]
	if len(owner.batches) == 0 {
		return rowContent{}, false
	}
	if len(owner.frozen) == 0 {
		owner.frozen = sequencesForRow(owner.batches)
	}
	row := rowContent{batch: api.BillBatch{Incarnation: incarnation, Sequence: owner.frozen[0]}, sequences: owner.frozen}
	for _, sequence := range owner.frozen {
		row.batch.Bills = append(row.batch.Bills, owner.batches[sequence].Bills...)
	}
	return row, true
}

// sequencesForRow returns the lowest sequences whose bills fit one row; at least one.
func sequencesForRow(batches map[int64]api.BillBatch) []int64 {
	var sequences []int64
	for sequence := range batches {
		sequences = append(sequences, sequence)
	}
	sort.Slice(sequences, func(i, j int) bool { return sequences[i] < sequences[j] })
	bills := 0
	for i, sequence := range sequences {
		bills += len(batches[sequence].Bills)
		if i > 0 && bills > maxRowBills {
			return sequences[:i]
		}
	}
	return sequences
}

// land removes the batches of a row that is in the table service now. Some of them may have been dropped as landed by the
// owner meanwhile.
func (c *Copies) land(incarnation string, row rowContent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := c.owners[incarnation]
	for _, sequence := range row.sequences {
		c.bills -= len(owner.batches[sequence].Bills)
		delete(owner.batches, sequence)
		owner.written[sequence] = true
	}
	owner.frozen = nil
}
