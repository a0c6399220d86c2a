package membership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/table"
)

const (
	// absenceLimit is the time for which an instance must be absent from the platform's list, and silent, before its
	// registration is ended.
	absenceLimit = 30 * time.Second
	// removalSpread spreads the removals of one dead instance by all others, so that most find it removed already.
	removalSpread = 10 * time.Second
)

// absence remembers since when registered instances are absent from the list, and when this instance ends them.
type absence struct {
	since map[int64]time.Time
	limit map[int64]time.Duration
}

func newAbsence() *absence {
	return &absence{since: map[int64]time.Time{}, limit: map[int64]time.Duration{}}
}

func (a *absence) clear(sequence int64) {
	delete(a.since, sequence)
	delete(a.limit, sequence)
}

// PollList reads the platform's list and ends the registrations of instances that were absent for too long. A list that
// cannot be read, or that shows none of the registered instances, changes nothing.
func (s *Service) PollList(ctx context.Context) error {
	entries, err := s.opts.Instances.List(ctx)
	if err != nil {
		return errors.Wrap(err, "read the instance list")
	}
	listed := map[Address]bool{}
	for _, entry := range entries {
		if entry.Kind == api.KindEntry {
			listed[Address{IP: entry.Ip, Port: entry.Port}] = true
		}
	}
	now := time.Now()
	for _, peer := range s.expired(listed, now) {
		if err := s.end(ctx, peer); err != nil {
			return err
		}
		s.absence.clear(peer.Sequence)
	}
	return nil
}

func (s *Service) expired(listed map[Address]bool, now time.Time) []table.Peer {
	live := s.opts.Peers.RegisteredInstances()
	shown := false
	for _, peer := range live {
		shown = shown || listed[AddressOf(peer.Registration)]
	}
	if !shown {
		return nil
	}
	self, _ := s.opts.Peers.Self()
	newest := newestAt(live)
	var expired []table.Peer
	for _, peer := range live {
		address := AddressOf(peer.Registration)
		present := listed[address] && newest[address] == peer.Sequence
		heard := !peer.Heard.IsZero() && now.Sub(peer.Heard) < absenceLimit
		if present || heard || peer.Sequence == self {
			s.absence.clear(peer.Sequence)
			continue
		}
		if s.overdue(peer.Sequence, now) {
			expired = append(expired, peer)
		}
	}
	return expired
}

// newestAt returns the latest registration at each address. An earlier one at the same address belongs to a process that
// was replaced.
func newestAt(live []table.Peer) map[Address]int64 {
	newest := map[Address]int64{}
	for _, peer := range live {
		address := AddressOf(peer.Registration)
		newest[address] = max(newest[address], peer.Sequence)
	}
	return newest
}

func (s *Service) overdue(sequence int64, now time.Time) bool {
	since, known := s.absence.since[sequence]
	if !known {
		s.absence.since[sequence] = now
		s.absence.limit[sequence] = absenceLimit + s.random.duration(removalSpread)
		return false
	}
	return now.Sub(since) >= s.absence.limit[sequence]
}
