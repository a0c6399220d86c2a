package configsync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/membership"
)

// Heard records that a peer reports a revision and starts an immediate fetch. Until the fetch succeeds, this instance takes
// no new work.
func (s *Syncer) Heard(revision int64, peer membership.Address) {
	if revision <= s.opts.Config.Revision() {
		return
	}
	s.opts.Config.ObserveRevision(revision)
	s.held.want(revision, peer)
	s.opts.Trigger(DutyFetch)
}

// Fetch reads the newest revision that a peer reported, from the store or else from that peer or another that reports it.
func (s *Syncer) Fetch(ctx context.Context) error {
	revision, peer := s.held.wantedFrom()
	if revision <= s.opts.Config.Revision() {
		return nil
	}
	storeCtx, cancel := context.WithTimeout(ctx, storeWait)
	err := s.Poll(storeCtx)
	cancel()
	if err == nil && s.opts.Config.Revision() >= revision {
		return nil
	}
	if s.fetchFromPeer(ctx, revision, peer) == nil {
		return nil
	}
	return s.fetchFromReporters(ctx, revision)
}

// fetchFromReporters asks the registered instances that report at least the revision.
func (s *Syncer) fetchFromReporters(ctx context.Context, revision int64) error {
	err := errors.Errorf("no peer gave revision %d", revision)
	for _, peer := range s.opts.Peers.RegisteredInstances() {
		if peer.Revision < revision {
			continue
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "fetch revision %d", revision)
		}
		if err = s.fetchFromPeer(ctx, revision, membership.AddressOf(peer.Registration)); err == nil {
			return nil
		}
	}
	return err
}

// PollOrColdStart polls the store. Where the store cannot be read and was never read since this instance started or
// registered, it adopts the highest revision among a majority of the registered instances.
func (s *Syncer) PollOrColdStart(ctx context.Context) error {
	err := s.Poll(ctx)
	if err == nil || s.opts.Peers.ReportsOwnRevision() {
		return err
	}
	revision := s.opts.Peers.QuorumView().Adoptable(s.opts.Bound, time.Now())
	if revision == 0 {
		return errors.Wrap(err, "the store is not readable and no majority of instances was heard")
	}
	// The store call may have used up the time of this run.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dutyTimeout)
	defer cancel()
	if s.opts.Config.Revision() < revision {
		if err := s.fetchFromReporters(ctx, revision); err != nil {
			return err
		}
	}
	s.opts.Peers.MarkRevisionAdopted()
	return nil
}
