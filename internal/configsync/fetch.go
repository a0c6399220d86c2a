package configsync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/membership"
)

// PeerReported records that a peer reports a revision and starts an immediate fetch if it is newer than the revision in force.
// Until the fetch succeeds, this instance accepts no new work.
func (s *Syncer) PeerReported(revision int64, peer membership.Address) {
	if revision <= s.opts.Config.Revision() {
		return
	}
	s.opts.Config.ObserveRevision(revision)
	s.revisions.setReported(revision, peer)
	s.opts.TriggerDuty(DutyFetch)
}

// Fetch reads the newest revision that a peer reported. It asks the store first, then that peer, then the other peers that
// report the revision.
func (s *Syncer) Fetch(ctx context.Context) error {
	revision, peer := s.revisions.newestReported()
	if revision <= s.opts.Config.Revision() {
		return nil
	}
	storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
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

// fetchFromReporters asks the registered instances that report at least minRevision, until one sends it.
func (s *Syncer) fetchFromReporters(ctx context.Context, minRevision int64) error {
	err := errors.Errorf("no peer reports revision %d", minRevision)
	for _, peer := range s.opts.Peers.RegisteredInstances() {
		if peer.Revision < minRevision {
			continue
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "fetch revision %d", minRevision)
		}
		if err = s.fetchFromPeer(ctx, minRevision, membership.AddressOf(peer.Registration)); err == nil {
			return nil
		}
	}
	return err
}

// PollOrColdStart polls the store. If the store cannot be read and has not been read since this instance started or
// registered, it adopts the highest revision among a majority of the registered instances.
func (s *Syncer) PollOrColdStart(ctx context.Context) error {
	err := s.Poll(ctx)
	if err == nil || s.opts.Peers.ReportsOwnRevision() {
		return err
	}
	revision := s.opts.Peers.QuorumView().AdoptableRevision(s.opts.FreshnessBound, time.Now())
	if revision == 0 {
		return errors.Wrap(err, "the store cannot be read and there are no recent reports from a majority of instances")
	}
	// The store call may have used up the timeout of this run.
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
