package billing

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Copy sends batches to a peer in another availability zone: every batch if the flush interval is longer than copyDelay,
// else those that the table service did not accept within copyDelay. If the peer fails or leaves, another peer receives
// every batch that is not in the table service.
func (l *Ledger) Copy(ctx context.Context) error {
	now := l.config.Now()
	openedBefore := now.Add(-copyDelay)
	if l.FlushInterval() > copyDelay {
		openedBefore = now
	}
	l.buffer.seal()
	return l.copyToFirstAvailable(ctx, l.holderCandidates(), openedBefore)
}

// holderCandidates returns the peers in the order in which to try them: the current holder first, if it is still available.
func (l *Ledger) holderCandidates() []string {
	holders := l.config.Peers.CopyHolders()
	current := l.buffer.currentHolder()
	if i := slices.Index(holders, current); i > 0 {
		return append([]string{current}, slices.Delete(slices.Clone(holders), i, i+1)...)
	}
	return holders
}

// copyToFirstAvailable sends all due batches to the first candidate that accepts them.
func (l *Ledger) copyToFirstAvailable(ctx context.Context, candidates []string, openedBefore time.Time) error {
	var lastErr error
	for _, holder := range candidates {
		lastErr = l.copyPending(ctx, holder, openedBefore)
		if lastErr == nil {
			return nil
		}
	}
	if len(candidates) == 0 && len(l.buffer.pendingCopies("", openedBefore)) > 0 {
		return errors.New("no peer in another availability zone is available to hold copies of bills")
	}
	return lastErr
}

func (l *Ledger) copyPending(ctx context.Context, holder string, openedBefore time.Time) error {
	for _, job := range l.buffer.pendingCopies(holder, openedBefore) {
		if err := l.sendCopy(ctx, holder, job); err != nil {
			return err
		}
	}
	if writtenSequence, ok := l.buffer.unreportedWrites(); ok && holder == l.buffer.currentHolder() {
		return l.sendCopy(ctx, holder, copyJob{writtenSequence: writtenSequence})
	}
	return nil
}

func (l *Ledger) sendCopy(ctx context.Context, holder string, job copyJob) error {
	job.batch.Incarnation = l.config.Incarnation
	if job.batch.Bills == nil {
		job.batch.Bills = []api.Bill{}
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	_, err := l.config.Transport.PutBillCopy(ctx, holder, api.BillCopyRequest{Batch: job.batch, StoredSequence: job.writtenSequence})
	if err != nil {
		return errors.Wrapf(err, "copy bills to peer %s", holder)
	}
	l.buffer.recordCopy(holder, job.batch.Sequence, job.writtenSequence)
	return nil
}

// copyForDrain copies every batch to drainCopyCount peers, or to all if there are fewer. It returns false if no peer accepted
// them.
func (l *Ledger) copyForDrain(ctx context.Context) bool {
	l.buffer.seal()
	copies := 0
	for _, holder := range l.holderCandidates() {
		if l.copyPending(ctx, holder, l.config.Now()) == nil {
			copies++
		}
		if copies == drainCopyCount {
			break
		}
	}
	return copies > 0
}
