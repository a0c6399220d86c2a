package membership

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

const (
	// pullsPerRound is the number of peers whose digest is pulled in one round.
	pullsPerRound = 2
	// pullTimeout bounds all calls to one peer in a round, also when the peer is dead or its address is wrong.
	pullTimeout = time.Second
)

// PullDigests pulls the digests of two peers and records their registrations and reports.
func (s *Service) PullDigests(ctx context.Context) error {
	targets, err := s.nextTargets(ctx)
	if err != nil {
		return err
	}
	var calls sync.WaitGroup
	for _, target := range targets {
		calls.Go(func() { s.pullFrom(ctx, target) })
	}
	calls.Wait()
	return nil
}

// nextTargets chooses the peers of one round among the registered instances, or from the platform's list while no other
// registered instance is known.
func (s *Service) nextTargets(ctx context.Context) ([]Address, error) {
	self := AddressOf(s.opts.Registration)
	var addresses []Address
	for _, peer := range s.opts.Peers.RegisteredInstances() {
		if address := AddressOf(peer.Registration); address != self {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		entries, err := s.opts.Instances.List(ctx)
		if err != nil {
			return nil, errors.Wrap(err, "read the instance list to find peers")
		}
		for _, entry := range entries {
			if address := (Address{IP: entry.Ip, Port: entry.Port}); entry.Kind == api.KindEntry && address != self {
				addresses = append(addresses, address)
			}
		}
	}
	return s.rotation.chooseTargets(s.random.sample(addresses, len(addresses))), nil
}

func (s *Service) pullFrom(ctx context.Context, peer Address) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	start := time.Now()
	digest, err := s.opts.Transport.Digest(ctx, peer)
	if err != nil {
		s.opts.Log.Debug("digest pull failed", "peer", peer.String(), "error", err.Error())
		return
	}
	var setRevision int64
	if after := s.opts.Peers.LastSequence(); digest.LastSequence > after {
		setRevision = s.adoptFromPeer(ctx, peer, after)
	}
	newest := max(setRevision, MergeDigest(digest, start, s.opts.Peers))
	if newest > s.opts.Config.Revision() && s.opts.OnNewerRevision != nil {
		s.opts.OnNewerRevision(newest, peer)
	}
}

// adoptFromPeer copies the registrations that a peer knows and this instance does not. Thus the majority that this instance
// needs is never smaller than that of the peers whose reports it counts. It returns the revision that came with the
// registrations, or 0 if the call failed.
func (s *Service) adoptFromPeer(ctx context.Context, peer Address, after int64) int64 {
	set, err := s.opts.Transport.Registrations(ctx, peer, after)
	if err != nil {
		s.opts.Log.Debug("registrations could not be read from peer", "peer", peer.String(), "error", err.Error())
		return 0
	}
	s.applySet(set)
	return set.NewestRevision
}
