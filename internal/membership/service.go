// Package membership maintains the table of registered instances: it registers this instance, reads the registration log,
// ends registrations of instances that the platform's list no longer shows, and pulls digests from peers.
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

// KeyPrefix is the key prefix of the registration log in the table service.
const KeyPrefix = "instance/"

// rangePageRows is the largest number of rows that one range read returns.
const rangePageRows = 500

// Names of the periodic duties.
const (
	DutyRegistrations = "registrations"
	DutyList          = "instance-list"
	DutyDigests       = "digests"
)

// plannedReadsPerSecond is the part of the table service's read capacity that is planned for the registration polls of all
// instances together.
const plannedReadsPerSecond = 205

// dutyTimeout bounds one run of a duty that calls the platform.
const dutyTimeout = 5 * time.Second

// Address is the IP address and port at which an instance serves the peer API.
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

// Transport calls a peer. It does not retry: after an error this service calls another peer in a later round.
type Transport interface {
	// Digest pulls the peer's digest.
	Digest(ctx context.Context, peer Address) (api.Digest, error)
	// Registrations reads the registrations after a sequence that the peer knows.
	Registrations(ctx context.Context, peer Address, after int64) (api.RegistrationSet, error)
	// Revision reads the document of the revision in force at the peer, which must not be older than the given revision.
	Revision(ctx context.Context, peer Address, revision int64) (api.RevisionDocument, error)
}

// Options are the dependencies and settings of a Service.
type Options struct {
	Registration api.Registration
	Peers        *table.Peers
	Config       *table.Config
	Table        platform.Table
	Instances    platform.Instances
	Transport    Transport
	Log          *slog.Logger
	// Random is not shared with other components; the service serialises access to it.
	Random *rand.Rand
	// ConfirmConfig reads the newest configuration from the store. Rows that end registrations are applied only after it
	// succeeded, so that an instance never counts fewer members than it did when it last confirmed its revision. It may be nil.
	ConfirmConfig func(ctx context.Context) error
	// OnNewerRevision is called when a peer reports a revision newer than the one in force here. It may be nil.
	OnNewerRevision func(revision int64, peer Address)
	// DigestInterval is the time between two pull rounds, ListInterval the time between two reads of the platform's list.
	DigestInterval, ListInterval time.Duration
}

// Service maintains the membership of one instance.
type Service struct {
	opts     Options
	random   *random
	rotation *pullRotation
	absences *absenceTracker
	leaving  atomic.Bool
}

// New returns a service whose instance is not registered yet.
func New(opts Options) *Service {
	return &Service{opts: opts, random: newRandom(opts.Random), rotation: newPullRotation(), absences: newAbsenceTracker()}
}

// Duties returns the periodic duties of the service.
func (s *Service) Duties() []worker.Duty {
	return []worker.Duty{
		{Name: DutyRegistrations, Interval: s.registrationInterval, Timeout: dutyTimeout, Run: s.PollRegistrations},
		{Name: DutyList, Interval: worker.Every(s.opts.ListInterval), Timeout: 2 * dutyTimeout, Run: s.PollList},
		{Name: DutyDigests, Interval: worker.Every(s.opts.DigestInterval), Timeout: dutyTimeout, Run: s.PullDigests},
	}
}

// registrationInterval returns the interval at which the polls of all instances together stay within the planned read rate.
func (s *Service) registrationInterval() time.Duration {
	return PollInterval(s.opts.Peers.Count(), time.Second)
}

// PollInterval returns the interval, at least minInterval, at which each of the instances may read the store so that all of
// them together stay within the planned read rate.
func PollInterval(instances int, minInterval time.Duration) time.Duration {
	return max(minInterval, time.Duration(instances)*time.Second/plannedReadsPerSecond)
}

// Digest returns the digest that peers pull.
func (s *Service) Digest(now time.Time) api.Digest {
	return BuildDigest(s.opts.Registration.Incarnation, s.opts.Peers, s.opts.Config.State().ConfirmedAt, now)
}

// Registrations returns the registrations known after a sequence and the highest revision known. The revision is read last,
// so that it is not older than the revision that was recorded before the registrations took effect here.
func (s *Service) Registrations(after int64) api.RegistrationSet {
	set := s.opts.Peers.RegistrationsSince(after)
	set.NewestRevision = s.opts.Config.State().NewestRevision
	return set
}

// applySet records the revision that a set names and then its registrations. Without the revision, a set that ends
// registrations could leave this instance with a majority of members that do not know of an accepted revision.
func (s *Service) applySet(set api.RegistrationSet) {
	s.opts.Config.ObserveRevision(set.NewestRevision)
	s.opts.Peers.AdoptRegistrations(set)
}

// PollRegistrations reads new rows of the registration log, and registers this instance if it is neither registered nor
// leaving. It must not run concurrently with itself or with Register.
func (s *Service) PollRegistrations(ctx context.Context) error {
	if s.opts.Peers.LastSequence() == 0 {
		s.loadCheckpoint(ctx)
	}
	if err := s.CatchUp(ctx); err != nil {
		return err
	}
	if _, registered := s.opts.Peers.Self(); registered || s.leaving.Load() || s.claimExistingRow() {
		return nil
	}
	return s.Register(ctx)
}

// CatchUp reads the registration log to its end and applies the new rows.
func (s *Service) CatchUp(ctx context.Context) error {
	for {
		after := s.opts.Peers.LastSequence()
		rows, err := s.opts.Table.Range(ctx, KeyPrefix, Key(after), rangePageRows)
		if err != nil {
			return errors.Wrap(err, "read registrations")
		}
		entries, ends, err := decodeRows(rows)
		if err != nil {
			return err
		}
		if ends && s.opts.ConfirmConfig != nil {
			if err := s.opts.ConfirmConfig(ctx); err != nil {
				return errors.Wrap(err, "confirm the configuration before ending registrations")
			}
		}
		s.opts.Peers.Apply(entries)
		if len(rows) < rangePageRows || s.opts.Peers.LastSequence() == after {
			return nil
		}
	}
}

func decodeRows(rows []api.Row) (entries []table.RegistrationRow, endsAny bool, err error) {
	for _, row := range rows {
		sequence, err := ParseKey(row.Key)
		if err != nil {
			return nil, false, err
		}
		entry := table.RegistrationRow{Sequence: sequence}
		if err := json.Unmarshal(row.Value, &entry.Registration); err != nil {
			return nil, false, errors.Wrapf(err, "decode row %s", row.Key)
		}
		endsAny = endsAny || entry.Registration.EndsRegistration
		entries = append(entries, entry)
	}
	return entries, endsAny, nil
}

// Key returns the key of the log row with the sequence.
func Key(sequence int64) string { return fmt.Sprintf("%s%020d", KeyPrefix, sequence) }

// ParseKey returns the sequence that the key of a log row contains.
func ParseKey(key string) (int64, error) {
	var sequence int64
	if _, err := fmt.Sscanf(key, KeyPrefix+"%d", &sequence); err != nil {
		return 0, errors.Wrapf(err, "key %q is not the key of a registration row", key)
	}
	return sequence, nil
}

func registrationError(cause error) error {
	return fault.NotRun(fault.StepMembership, fault.CodeInternal, "the registration log could not be read or updated").WithCause(cause)
}
