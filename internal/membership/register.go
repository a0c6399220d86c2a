package membership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/table"
)

const (
	// firstRetry and longestRetry bound the jittered wait before another attempt to write the log.
	firstRetry   = 20 * time.Millisecond
	longestRetry = time.Second
)

// Register appends this instance to the registration log and waits, until the context ends, for a certain result.
func (s *Service) Register(ctx context.Context) error {
	if s.opts.Peers.LastSequence() == 0 {
		s.loadCheckpoint(ctx)
	}
	if err := s.Follow(ctx); err != nil {
		return notRegistered(err)
	}
	sequence, err := s.appendRow(ctx, s.opts.Registration)
	if err != nil {
		return notRegistered(err)
	}
	s.opts.Peers.SetSelf(sequence, time.Now())
	if err := s.Follow(ctx); err != nil {
		return err
	}
	s.saveCheckpoint(ctx)
	return nil
}

// Deregister ends this instance's registration for good. An instance that is not registered has nothing to end.
func (s *Service) Deregister(ctx context.Context) error {
	s.leaving.Store(true)
	self, registered := s.opts.Peers.Self()
	if !registered {
		return nil
	}
	s.opts.Peers.StopReporting()
	if _, err := s.appendRow(ctx, ending(s.opts.Registration, self)); err != nil {
		return notRegistered(err)
	}
	return nil
}

// ending returns the row that ends a registration.
func ending(registration api.Registration, sequence int64) api.Registration {
	registration.EndsRegistration = true
	registration.EndsSequence = sequence
	return registration
}

// appendRow inserts the registration at the end of the log. An insert whose reply was lost is read back before anything
// else is written.
func (s *Service) appendRow(ctx context.Context, registration api.Registration) (int64, error) {
	value, err := json.Marshal(registration)
	if err != nil {
		return 0, errors.Wrap(err, "encode registration")
	}
	for wait := firstRetry; ; wait = min(2*wait, longestRetry) {
		sequence := s.opts.Peers.LastSequence() + 1
		done, err := s.insert(ctx, sequence, value, registration)
		if done || err != nil {
			return sequence, err
		}
		if err := s.pause(ctx, wait); err != nil {
			return 0, err
		}
		if err := s.Follow(ctx); err != nil {
			return 0, err
		}
		if registration.EndsRegistration && s.ended(registration.EndsSequence) {
			return s.opts.Peers.LastSequence(), nil
		}
	}
}

// insert writes one row. It returns false without an error if another instance took the sequence.
func (s *Service) insert(ctx context.Context, sequence int64, value []byte, registration api.Registration) (bool, error) {
	_, err := s.opts.Table.Put(ctx, Key(sequence), value, platform.IfAbsent())
	if err == nil {
		return true, nil
	}
	if !errors.Is(err, platform.ErrAmbiguous) && !errors.Is(err, platform.ErrConditionFailed) {
		return false, errors.Wrapf(err, "insert %s", Key(sequence))
	}
	return s.readBack(ctx, sequence, registration)
}

// readBack reports whether the row holds the registration; it retries until the row can be read.
func (s *Service) readBack(ctx context.Context, sequence int64, registration api.Registration) (bool, error) {
	for wait := firstRetry; ; wait = min(2*wait, longestRetry) {
		row, err := s.opts.Table.Get(ctx, Key(sequence))
		if errors.Is(err, platform.ErrNotFound) {
			return false, nil
		}
		if err == nil {
			var found api.Registration
			if err := json.Unmarshal(row.Value, &found); err != nil {
				return false, errors.Wrapf(err, "decode row %s", row.Key)
			}
			return found == registration, nil
		}
		if err := s.pause(ctx, wait); err != nil {
			return false, errors.Wrapf(err, "read back %s", Key(sequence))
		}
	}
}

// pause waits between half and the whole of the time.
func (s *Service) pause(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait/2 + s.random.duration(wait/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "no result in time")
	}
}

func (s *Service) ended(sequence int64) bool {
	for _, peer := range s.opts.Peers.RegisteredInstances() {
		if peer.Sequence == sequence {
			return false
		}
	}
	return true
}

// end ends the registration of another instance.
func (s *Service) end(ctx context.Context, peer table.Peer) error {
	_, err := s.appendRow(ctx, ending(peer.Registration, peer.Sequence))
	return errors.Wrapf(err, "end registration %d of %s", peer.Sequence, peer.Registration.Name)
}

// claimOwnRow finds the own row when an insert took effect but its result did not arrive in time.
func (s *Service) claimOwnRow() bool {
	for _, peer := range s.opts.Peers.RegisteredInstances() {
		if peer.Registration.Incarnation == s.opts.Registration.Incarnation {
			s.opts.Peers.SetSelf(peer.Sequence, time.Now())
			return true
		}
	}
	return false
}
