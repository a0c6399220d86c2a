// Package table holds the tables that several packages share: configuration, peers and backend servers. Each table has its
// own lock and, while it holds the lock, calls no other component.
package table

import (
	"fmt"
	"time"

	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/suspend"
)

// permitValidity is the time within which a permit must be used. It bounds the age of the check if the process is paused
// between the check and the send.
const permitValidity = time.Second

// suspensionTolerance is the difference between two measurements of the time of suspension that is taken for inaccuracy.
const suspensionTolerance = 10 * time.Millisecond

// Eligibility decides, by this instance's registration and the reports of its peers, whether this instance may serve by the
// revision in force.
type Eligibility interface {
	// AcceptsConfirmation reports whether a store read that started at the given time can confirm the revision in force:
	// this instance is registered, and the read started after its registration.
	AcceptsConfirmation(start time.Time) bool
	// MajoritySupports reports whether a majority of the registered instances sent recent reports and none of these reports
	// names a revision newer than the one given.
	MajoritySupports(revision int64, now time.Time) bool
}

// Config is the table of the configuration in force at this instance. Its revision never decreases.
type Config struct {
	freshnessBound time.Duration
	eligibility    Eligibility
	// suspended returns how long the machine was suspended in total; the clock of confirmations and reports does not count that time.
	suspended func() time.Duration

	mu          *lockorder.RWMutex
	snapshot    *declaration.Snapshot
	confirmedAt time.Time
	// suspendedBefore is the total time of suspension at the last confirmation, suspendedSeen the largest one seen.
	suspendedBefore time.Duration
	suspendedSeen   time.Duration
	newestRevision  int64
	holds           map[declaration.VersionID]string
}

// ConfigState is a copy of the table at one moment.
type ConfigState struct {
	Snapshot *declaration.Snapshot
	// ConfirmedAt is the start time of the last store read that confirmed the revision; zero if there was none.
	ConfirmedAt time.Time
	// NewestRevision is the highest revision that any peer or the store reported.
	NewestRevision int64

	suspendedBefore time.Duration
}

// NewConfig returns a table without a configuration. A confirmation is fresh for freshnessBound; after that the support of a
// majority is needed. If eligibility is nil, every confirmation counts and no majority is consulted.
func NewConfig(freshnessBound time.Duration, eligibility Eligibility) *Config {
	suspended := suspend.Total()
	return &Config{
		freshnessBound:  freshnessBound,
		eligibility:     eligibility,
		suspended:       suspend.Total,
		suspendedBefore: suspended,
		suspendedSeen:   suspended,
		mu:              lockorder.NewRW(lockorder.RankConfiguration),
		holds:           map[declaration.VersionID]string{},
	}
}

// State returns a copy of the table.
func (c *Config) State() ConfigState {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return ConfigState{
		Snapshot: c.snapshot, ConfirmedAt: c.confirmedAt, NewestRevision: c.newestRevision, suspendedBefore: c.suspendedBefore,
	}
}

// Snapshot returns the configuration in force, or nil before the first one.
func (c *Config) Snapshot() *declaration.Snapshot {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.snapshot
}

// Revision returns the revision in force, or 0 before the first one.
func (c *Config) Revision() int64 {
	snapshot := c.Snapshot()
	if snapshot == nil {
		return 0
	}
	return snapshot.Revision
}

// Install puts a snapshot in force if its revision is higher than the revision in force. It reports whether it did.
func (c *Config) Install(snapshot *declaration.Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != nil && snapshot.Revision <= c.snapshot.Revision {
		return false
	}
	c.snapshot = snapshot
	c.newestRevision = max(c.newestRevision, snapshot.Revision)
	return true
}

// Confirm records that a store read which started at the given time found no revision newer than the one given.
func (c *Config) Confirm(revision int64, start time.Time) {
	suspended := c.suspended()
	c.mu.Lock()
	defer c.mu.Unlock()
	if suspended-c.suspendedSeen > suspensionTolerance {
		// The read may have started before the suspension, which its start time does not show.
		c.suspendedSeen = suspended
		return
	}
	if c.snapshot != nil && c.snapshot.Revision == revision && start.After(c.confirmedAt) {
		c.confirmedAt = start
		c.suspendedBefore = c.suspendedSeen
	}
}

// ObserveRevision records that a revision exists. Until it is installed, this instance takes no new work.
func (c *Config) ObserveRevision(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newestRevision = max(c.newestRevision, revision)
}

// HoldVersion stops new work on a version before a configuration revision withdraws or quarantines it.
func (c *Config) HoldVersion(id declaration.VersionID, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holds[id] = reason
}

// ReleaseVersion ends the hold on a version.
func (c *Config) ReleaseVersion(id declaration.VersionID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.holds, id)
}

// HoldReason returns the reason for which a hold stops new work on the version, and false if there is no hold.
func (c *Config) HoldReason(id declaration.VersionID) (string, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	reason, ok := c.holds[id]
	return reason, ok
}

// SnapshotIfEligible returns the snapshot in force if this instance may take new work at the given time.
func (c *Config) SnapshotIfEligible(now time.Time) (*declaration.Snapshot, *fault.Error) {
	state := c.State()
	if state.Snapshot == nil {
		return nil, staleError("no configuration is in force yet")
	}
	if state.NewestRevision > state.Snapshot.Revision {
		return nil, staleError(fmt.Sprintf("revision %d exists but revision %d is in force here", state.NewestRevision, state.Snapshot.Revision))
	}
	if !c.eligible(state, now) {
		return nil, staleError(fmt.Sprintf("revision %d was not confirmed within %s nor supported by a majority", state.Snapshot.Revision, c.freshnessBound))
	}
	// A newer revision is recorded before the registrations received with it are added. The majority may have been counted
	// with these registrations, so the newest revision is checked again after the count.
	if latest := c.State(); latest.NewestRevision > state.Snapshot.Revision {
		return nil, staleError(fmt.Sprintf("revision %d exists but revision %d was in force here", latest.NewestRevision, state.Snapshot.Revision))
	}
	return state.Snapshot, nil
}

// eligible reports whether the revision in force may be served by. Time in which the machine was suspended since the last confirmation
// is added to the age of that confirmation and of the reports of peers; after a suspension only a new confirmation makes either count.
func (c *Config) eligible(state ConfigState, now time.Time) bool {
	now = now.Add(c.suspended() - state.suspendedBefore)
	fresh := !state.ConfirmedAt.IsZero() && now.Sub(state.ConfirmedAt) <= c.freshnessBound
	if c.eligibility == nil {
		return fresh
	}
	return fresh && c.eligibility.AcceptsConfirmation(state.ConfirmedAt) || c.eligibility.MajoritySupports(state.Snapshot.Revision, now)
}

func staleError(message string) *fault.Error {
	return fault.NotRun(fault.StepPermit, fault.CodeConfigurationStale, message).
		WithAdvice("repeat the request; another instance can take it").
		WithRetryAfter(time.Second)
}

// Permit allows one attempt on a version until it expires.
type Permit struct {
	ID       declaration.VersionID
	Revision int64
	expires  time.Time
}

// Valid reports whether the permit may still be used.
func (p Permit) Valid(now time.Time) bool { return now.Before(p.expires) }

// Permit checks organisation, class and version against the configuration in force. Each attempt needs its own permit,
// obtained immediately before the request is sent.
func (c *Config) Permit(organisation, class string, id declaration.VersionID, now time.Time) (Permit, *fault.Error) {
	snapshot, refusal := c.SnapshotIfEligible(now)
	if refusal != nil {
		return Permit{}, refusal
	}
	if !snapshot.Allowed(organisation, class, id) {
		return Permit{}, fault.NotRun(fault.StepPermit, fault.CodeNotAllowed,
			fmt.Sprintf("organisation %q may not use %s for class %q", organisation, id, class))
	}
	if !snapshot.Usable(id) {
		return Permit{}, withdrawnError(id, "withdrawn")
	}
	if reason, ok := c.HoldReason(id); ok {
		return Permit{}, withdrawnError(id, "held: "+reason)
	}
	return Permit{ID: id, Revision: snapshot.Revision, expires: now.Add(permitValidity)}, nil
}

func withdrawnError(id declaration.VersionID, reason string) *fault.Error {
	return fault.NotRun(fault.StepPermit, fault.CodeVersionWithdrawn, fmt.Sprintf("%s takes no new work: %s", id, reason))
}
