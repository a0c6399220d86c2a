package membership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/table"
)

const (
	// absenceLimit is the time for which an instance must be absent from the platform's list, and must have sent no report,
	// before its registration is ended.
	absenceLimit = 30 * time.Second
	// removalJitter is the largest random delay before an instance ends the registration of a dead one. All live instances
	// detect it at about the same time; with the delay most find the registration ended already.
	removalJitter = 10 * time.Second
)

// absenceTracker records, by registration sequence, since when a registered instance is absent from the platform's list and
// after which delay this instance ends its registration.
type absenceTracker struct {
	absentSince  map[int64]time.Time
	removalDelay map[int64]time.Duration
}

func newAbsenceTracker() *absenceTracker {
	return &absenceTracker{absentSince: map[int64]time.Time{}, removalDelay: map[int64]time.Duration{}}
}

func (a *absenceTracker) clear(sequence int64) {
	delete(a.absentSince, sequence)
	delete(a.removalDelay, sequence)
}

// PollList reads the platform's list and ends the registrations of instances that were absent for too long. If the list
// cannot be read, or shows none of the registered instances, no registration is ended.
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
	for _, peer := range s.expiredPeers(listed, now) {
		if err := s.endRegistration(ctx, peer); err != nil {
			return err
		}
		s.absences.clear(peer.Sequence)
	}
	return nil
}

func (s *Service) expiredPeers(listed map[Address]bool, now time.Time) []table.Peer {
	live := s.opts.Peers.RegisteredInstances()
	anyListed := false
	for _, peer := range live {
		anyListed = anyListed || listed[AddressOf(peer.Registration)]
	}
	if !anyListed {
		return nil
	}
	self, _ := s.opts.Peers.Self()
	newest := newestByAddress(live)
	var expired []table.Peer
	for _, peer := range live {
		address := AddressOf(peer.Registration)
		present := listed[address] && newest[address] == peer.Sequence
		recentlyHeard := !peer.HeardAt.IsZero() && now.Sub(peer.HeardAt) < absenceLimit
		if present || recentlyHeard || peer.Sequence == self {
			s.absences.clear(peer.Sequence)
			continue
		}
		if s.removalDue(peer.Sequence, now) {
			expired = append(expired, peer)
		}
	}
	return expired
}

// newestByAddress returns the sequence of the latest registration at each address. An earlier registration at the same
// address belongs to a process that was replaced.
func newestByAddress(live []table.Peer) map[Address]int64 {
	newest := map[Address]int64{}
	for _, peer := range live {
		address := AddressOf(peer.Registration)
		newest[address] = max(newest[address], peer.Sequence)
	}
	return newest
}

func (s *Service) removalDue(sequence int64, now time.Time) bool {
	since, known := s.absences.absentSince[sequence]
	if !known {
		s.absences.absentSince[sequence] = now
		s.absences.removalDelay[sequence] = absenceLimit + s.random.durationBelow(removalJitter)
		return false
	}
	return now.Sub(since) >= s.absences.removalDelay[sequence]
}
