// Package membership keeps the table of registered instances: it registers this instance, follows the registration log,
// ends registrations of instances that the platform's list no longer shows, and exchanges digests with peers.
package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/table"
	"github.com/cicadawall/cicadawall/internal/worker"
)

// Prefix is the key prefix of the registration log in the table service.
const Prefix = "instance/"

// rangeLimit is the number of rows of one range read.
const rangeLimit = 500

// Names of the periodic duties.
const (
	DutyRegistrations = "registrations"
	DutyList          = "instance-list"
	DutyDigests       = "digests"
)

// readsPerSecond is the part of the table service's read capacity planned for registration polls of all instances.
const readsPerSecond = 205

// dutyTimeout bounds one run of a duty that calls the platform.
const dutyTimeout = 5 * time.Second

// Address is the IP address and port of a peer API.
type Address struct {
	IP   string
	Port int
}

// String returns ip:port.
func (a Address) String() string { return fmt.Sprintf("%s:%d", a.IP, a.Port) }

// AddressOf returns the peer address of a registration.
func AddressOf(registration api.Registration) Address {
	return Address{IP: registration.Ip, Port: registration.PeerPort}
}

// Transport calls a peer. Its errors are final for the call; the caller tries another peer in a later round.
type Transport interface {
	// Digest pulls the peer's digest.
	Digest(ctx context.Context, peer Address) (api.Digest, error)
	// Registrations reads the registrations that the peer knows after a sequence.
	Registrations(ctx context.Context, peer Address, after int64) (api.RegistrationSet, error)
	// Revision reads the document of the revision in force at the peer, which must be at least the one given.
	Revision(ctx context.Context, peer Address, revision int64) (api.RevisionDocument, error)
}

// Options are the parts that a service works with.
type Options struct {
	Registration api.Registration
	Peers        *table.Peers
	Config       *table.Config
	Table        platform.Table
	Instances    platform.Instances
	Transport    Transport
	Log          *slog.Logger
	// Random is used by this service only.
	Random *rand.Rand
	// Confirm reads the newest configuration from the store. Registrations are ended only after it succeeded, so that an
	// instance never counts fewer members than it did when it last confirmed its revision.
	Confirm func(ctx context.Context) error
	// Newer is called when a peer reports a revision newer than the one in force here.
	Newer func(revision int64, peer Address)
	// DigestInterval is the time between pull rounds; ListInterval that between reads of the platform's list.
	DigestInterval, ListInterval time.Duration
}

// Service is the membership of one instance.
type Service struct {
	opts    Options
	random  *random
	turns   *turns
	absence *absence
	leaving atomic.Bool
}

// New returns a service; Register starts its membership.
func New(opts Options) *Service {
	return &Service{opts: opts, random: newRandom(opts.Random), turns: newTurns(), absence: newAbsence()}
}

// Duties returns the periodic duties of the service.
func (s *Service) Duties() []worker.Duty {
	return []worker.Duty{
		{Name: DutyRegistrations, Interval: s.registrationInterval, Timeout: dutyTimeout, Run: s.Poll},
		{Name: DutyList, Interval: worker.Every(s.opts.ListInterval), Timeout: 2 * dutyTimeout, Run: s.PollList},
		{Name: DutyDigests, Interval: worker.Every(s.opts.DigestInterval), Timeout: dutyTimeout, Run: s.Pull},
	}
}

// registrationInterval spreads the polls of all instances over the planned reads.
func (s *Service) registrationInterval() time.Duration {
	return PollInterval(s.opts.Peers.Count(), time.Second)
}

// PollInterval returns the interval at which each of n instances may read the store within the planned rate.
func PollInterval(n int, shortest time.Duration) time.Duration {
	return max(shortest, time.Duration(n)*time.Second/readsPerSecond)
}

// Digest returns the digest that peers pull.
func (s *Service) Digest(now time.Time) api.Digest {
	return Build(s.opts.Registration.Incarnation, s.opts.Peers, s.opts.Config.State().ConfirmedAt, now)
}

// Registrations returns the registrations known after a sequence and the highest revision known. The revision is read
// last, so that it is at least the one that was recorded before the registrations took effect here.
func (s *Service) Registrations(after int64) api.RegistrationSet {
	set := s.opts.Peers.RegistrationsSince(after)
	set.NewestRevision = s.opts.Config.State().NewestRevision
	return set
}

// take records the revision that a set names and then its registrations. Without the revision a set that ends
// registrations could leave this instance a majority that never heard of an accepted revision.
func (s *Service) take(set api.RegistrationSet) {
	s.opts.Config.ObserveRevision(set.NewestRevision)
	s.opts.Peers.AdoptRegistrations(set)
}

// Poll reads new rows of the registration log, and registers this instance if it is neither registered nor leaving. It must not run
// beside itself or Register.
func (s *Service) Poll(ctx context.Context) error {
	if s.opts.Peers.LastSequence() == 0 {
		s.loadCheckpoint(ctx)
	}
	if err := s.Follow(ctx); err != nil {
		return err
	}
	if _, registered := s.opts.Peers.Self(); registered || s.leaving.Load() || s.claimOwnRow() {
		return nil
	}
	return s.Register(ctx)
}

// Follow reads the registration log to its end.
func (s *Service) Follow(ctx context.Context) error {
	for {
		after := s.opts.Peers.LastSequence()
		rows, err := s.opts.Table.Range(ctx, Prefix, Key(after), rangeLimit)
		if err != nil {
			return errors.Wrap(err, "read registrations")
		}
		entries, ends, err := decodeRows(rows)
		if err != nil {
			return err
		}
		if ends && s.opts.Confirm != nil {
			if err := s.opts.Confirm(ctx); err != nil {
				return errors.Wrap(err, "confirm the configuration before ending registrations")
			}
		}
		s.opts.Peers.Apply(entries)
		if len(rows) < rangeLimit || s.opts.Peers.LastSequence() == after {
			return nil
		}
	}
}

func decodeRows(rows []api.Row) (entries []table.RegistrationRow, ends bool, err error) {
	for _, row := range rows {
		sequence, err := ParseKey(row.Key)
		if err != nil {
			return nil, false, err
		}
		entry := table.RegistrationRow{Sequence: sequence}
		if err := json.Unmarshal(row.Value, &entry.Registration); err != nil {
			return nil, false, errors.Wrapf(err, "decode row %s", row.Key)
		}
		ends = ends || entry.Registration.EndsRegistration
		entries = append(entries, entry)
	}
	return entries, ends, nil
}

// Key returns the key of the registration row with the sequence.
func Key(sequence int64) string { return fmt.Sprintf("%s%020d", Prefix, sequence) }

// ParseKey returns the sequence of a registration row's key.
func ParseKey(key string) (int64, error) {
	var sequence int64
	if _, err := fmt.Sscanf(key, Prefix+"%d", &sequence); err != nil {
		return 0, errors.Wrapf(err, "key %q is not a registration", key)
	}
	return sequence, nil
}

func notRegistered(cause error) error {
	return fault.NotRun(fault.StepMembership, fault.CodeInternal, "the registration log could not be written").WithCause(cause)
}
