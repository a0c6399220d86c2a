package billing

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Copy sends batches to a peer in another availability zone: all of them while rows are written less often than
// every copyAfter, else those that the table service did not take within copyAfter. If the peer fails or leaves, another
// one receives every batch that is not in the table service.
func (l *Ledger) Copy(ctx context.Context) error {
	now := l.config.Now()
	openedBefore := now.Add(-copyAfter)
	if l.Interval() > copyAfter {
		openedBefore = now
	}
	l.buffer.seal()
	return l.copyTo(ctx, l.candidates(), openedBefore)
}

// candidates returns the peers in the order in which to try them: the present holder first, if it is still there.
func (l *Ledger) candidates() []string {
	holders := l.config.Peers.CopyHolders()
	current := l.buffer.currentHolder()
	if i := slices.Index(holders, current); i > 0 {
		return append([]string{current}, slices.Delete(slices.Clone(holders), i, i+1)...)
	}
	return holders
}

// copyTo sends all due batches to the first candidate that takes them.
func (l *Ledger) copyTo(ctx context.Context, candidates []string, openedBefore time.Time) error {
	var last error
	for _, holder := range candidates {
		last = l.copyAll(ctx, holder, openedBefore)
		if last == nil {
			return nil
		}
	}
	if len(candidates) == 0 && len(l.buffer.copyJobs("", openedBefore)) > 0 {
		return errors.New("no peer in another availability zone can hold copies of bills")
	}
	return last
}

func (l *Ledger) copyAll(ctx context.Context, holder string, openedBefore time.Time) error {
	for _, job := range l.buffer.copyJobs(holder, openedBefore) {
		if err := l.send(ctx, holder, job); err != nil {
			return err
		}
	}
	if landed, ok := l.buffer.untold(); ok && holder == l.buffer.currentHolder() {
		return l.send(ctx, holder, copyJob{landed: landed})
	}
	return nil
}

func (l *Ledger) send(ctx context.Context, holder string, job copyJob) error {
	job.batch.Incarnation = l.config.Incarnation
	if job.batch.Bills == nil {
		job.batch.Bills = []api.Bill{}
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	_, err := l.config.Transport.PutBillCopy(ctx, holder, api.BillCopyRequest{Batch: job.batch, StoredSequence: job.landed})
	if err != nil {
		return errors.Wrapf(err, "copy bills to peer %s", holder)
	}
	l.buffer.copyDone(holder, job.batch.Sequence, job.landed)
	return nil
}

// copyForDrain copies every batch to drainCopies peers, or to all if there are fewer. It returns false if no peer has them.
func (l *Ledger) copyForDrain(ctx context.Context) bool {
	l.buffer.seal()
	copies := 0
	for _, holder := range l.candidates() {
		if l.copyAll(ctx, holder, l.config.Now()) == nil {
			copies++
		}
		if copies == drainCopies {
			break
		}
	}
	return copies > 0
}
