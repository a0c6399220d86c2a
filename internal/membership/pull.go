package membership

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

const (
	// pullsPerRound is the number of peers asked in one round.
	pullsPerRound = 2
	// pullTimeout bounds the calls to one peer, dead or wrong addresses included.
	pullTimeout = time.Second
)

// Pull asks two peers for their digests and takes in what they know.
func (s *Service) Pull(ctx context.Context) error {
	targets, err := s.targets(ctx)
	if err != nil {
		return err
	}
	var calls sync.WaitGroup
	for _, target := range targets {
		calls.Go(func() { s.pullOne(ctx, target) })
	}
	calls.Wait()
	return nil
}

// targets picks peers among the registered instances, or from the platform's list while none is known.
func (s *Service) targets(ctx context.Context) ([]Address, error) {
	own := AddressOf(s.opts.Registration)
	var known []Address
	for _, peer := range s.opts.Peers.RegisteredInstances() {
		if address := AddressOf(peer.Registration); address != own {
			known = append(known, address)
		}
	}
	if len(known) == 0 {
		entries, err := s.opts.Instances.List(ctx)
		if err != nil {
			return nil, errors.Wrap(err, "find peers in the instance list")
		}
		for _, entry := range entries {
			if address := (Address{IP: entry.Ip, Port: entry.Port}); entry.Kind == api.KindEntry && address != own {
				known = append(known, address)
			}
		}
	}
	return s.turns.next(s.random.pick(known, len(known))), nil
}

func (s *Service) pullOne(ctx context.Context, peer Address) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	start := time.Now()
	digest, err := s.opts.Transport.Digest(ctx, peer)
	if err != nil {
		s.opts.Log.Debug("digest pull failed", "peer", peer.String(), "error", err.Error())
		return
	}
	var named int64
	if after := s.opts.Peers.LastSequence(); digest.LastSequence > after {
		named = s.adopt(ctx, peer, after)
	}
	newest := max(named, Merge(digest, start, s.opts.Peers))
	if newest > s.opts.Config.Revision() && s.opts.Newer != nil {
		s.opts.Newer(newest, peer)
	}
}

// adopt takes the registrations that a peer knows beyond this instance's. It keeps the own majority at least as large as
// that of the peers that it counts. It returns the revision that came with the registrations.
func (s *Service) adopt(ctx context.Context, peer Address, after int64) int64 {
	set, err := s.opts.Transport.Registrations(ctx, peer, after)
	if err != nil {
		s.opts.Log.Debug("registrations of peer not read", "peer", peer.String(), "error", err.Error())
		return 0
	}
	s.take(set)
	return set.NewestRevision
}
