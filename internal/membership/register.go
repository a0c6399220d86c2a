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
	// initialBackoff and maxBackoff bound the jittered exponential backoff between attempts to write the registration log.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// Register appends this instance to the registration log. It retries, until the context ends, while other instances use the
// sequence or it is unknown whether the row was written.
func (s *Service) Register(ctx context.Context) error {
	if s.opts.Peers.LastSequence() == 0 {
		s.loadCheckpoint(ctx)
	}
	if err := s.CatchUp(ctx); err != nil {
		return registrationError(err)
	}
	sequence, err := s.appendRow(ctx, s.opts.Registration)
	if err != nil {
		return registrationError(err)
	}
	s.opts.Peers.SetSelf(sequence, time.Now())
	if err := s.CatchUp(ctx); err != nil {
		return err
	}
	s.saveCheckpoint(ctx)
	return nil
}

// Deregister ends this instance's registration; the instance does not register again. If it is not registered, no row is
// written.
func (s *Service) Deregister(ctx context.Context) error {
	s.leaving.Store(true)
	self, registered := s.opts.Peers.Self()
	if !registered {
		return nil
	}
	s.opts.Peers.StopReporting()
	if _, err := s.appendRow(ctx, endingRow(s.opts.Registration, self)); err != nil {
		return registrationError(err)
	}
	return nil
}

// endingRow returns the log row that ends the registration with the sequence.
func endingRow(registration api.Registration, sequence int64) api.Registration {
	registration.EndsRegistration = true
	registration.EndsSequence = sequence
	return registration
}

// appendRow inserts the registration at the end of the log and returns its sequence. After an insert whose reply was lost it
// reads the row back before it writes another, so that the registration is not inserted twice.
func (s *Service) appendRow(ctx context.Context, registration api.Registration) (int64, error) {
	value, err := json.Marshal(registration)
	if err != nil {
		return 0, errors.Wrap(err, "encode registration")
	}
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		sequence := s.opts.Peers.LastSequence() + 1
		inserted, err := s.insert(ctx, sequence, value, registration)
		if inserted || err != nil {
			return sequence, err
		}
		if err := s.sleepJittered(ctx, backoff); err != nil {
			return 0, err
		}
		if err := s.CatchUp(ctx); err != nil {
			return 0, err
		}
		if registration.EndsRegistration && s.hasEnded(registration.EndsSequence) {
			return s.opts.Peers.LastSequence(), nil
		}
	}
}

// insert writes one row. It returns false without an error if the row was not written, for example because another instance
// used the sequence.
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

// readBack reports whether the row with the sequence holds the registration. It retries until the store answers or the
// context ends.
func (s *Service) readBack(ctx context.Context, sequence int64, registration api.Registration) (bool, error) {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		row, err := s.opts.Table.Get(ctx, Key(sequence))
		if errors.Is(err, platform.ErrNotFound) {
			return false, nil
		}
		if err == nil {
			var stored api.Registration
			if err := json.Unmarshal(row.Value, &stored); err != nil {
				return false, errors.Wrapf(err, "decode row %s", row.Key)
			}
			return stored == registration, nil
		}
		if err := s.sleepJittered(ctx, backoff); err != nil {
			return false, errors.Wrapf(err, "read back %s", Key(sequence))
		}
	}
}

// sleepJittered waits for a random time between half the backoff and the full backoff.
func (s *Service) sleepJittered(ctx context.Context, backoff time.Duration) error {
	timer := time.NewTimer(backoff/2 + s.random.durationBelow(backoff/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait before the next attempt")
	}
}

func (s *Service) hasEnded(sequence int64) bool {
	for _, peer := range s.opts.Peers.RegisteredInstances() {
		if peer.Sequence == sequence {
			return false
		}
	}
	return true
}

// endRegistration ends the registration of another instance.
func (s *Service) endRegistration(ctx context.Context, peer table.Peer) error {
	_, err := s.appendRow(ctx, endingRow(peer.Registration, peer.Sequence))
	return errors.Wrapf(err, "end registration %d of %s", peer.Sequence, peer.Registration.Name)
}

// claimExistingRow looks for a row with this instance's incarnation and uses it as this instance's registration. Such a row
// exists if an insert took effect but its result did not arrive before the timeout.
func (s *Service) claimExistingRow() bool {
	for _, peer := range s.opts.Peers.RegisteredInstances() {
		if peer.Registration.Incarnation == s.opts.Registration.Incarnation {
			s.opts.Peers.SetSelf(peer.Sequence, time.Now())
			return true
		}
	}
	return false
}
