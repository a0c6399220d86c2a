// Package table holds the shared tables that several modules read: configuration, peers and backend servers. Each table
// has its lock inside and calls nothing out while it holds it.
package table

import (
	"fmt"
	"time"

	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// permitValidity is the time within which a permit must be used. It bounds how old the check is when a process that was
// paused sends.
const permitValidity = time.Second

// Standing tells what this instance's registration and the reports of others allow it to do.
type Standing interface {
	// Confirms reports whether a store read that started at the time can confirm the revision in force here: this instance
	// is registered, and the read started after its registration.
	Confirms(start time.Time) bool
	// Supports reports whether a majority of the registered instances was heard lately and none of them reports a revision
	// newer than the one given.
	Supports(revision int64, now time.Time) bool
}

// Config is the table of the configuration in force at this instance. Its revision only rises.
type Config struct {
	bound    time.Duration
	standing Standing

	mu        *lockorder.RWMutex
	snapshot  *declaration.Snapshot
	confirmed time.Time
	newest    int64
	held      map[declaration.VersionID]string
}

// ConfigState is a copy of the table at one moment.
type ConfigState struct {
	Snapshot *declaration.Snapshot
	// Confirmed is the start time of the last store read that confirmed the revision; zero if there was none.
	Confirmed time.Time
	// Newest is the highest revision that any peer or the store reported.
	Newest int64
}

// NewConfig returns a table without a configuration. A confirmation is fresh for the bound; after it the majority decides.
// Without a standing every confirmation counts and there is no majority.
func NewConfig(bound time.Duration, standing Standing) *Config {
	return &Config{
		bound:    bound,
		standing: standing,
		mu:       lockorder.NewRW(lockorder.RankConfiguration),
		held:     map[declaration.VersionID]string{},
	}
}

// State returns a copy of the table.
func (c *Config) State() ConfigState {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return ConfigState{Snapshot: c.snapshot, Confirmed: c.confirmed, Newest: c.newest}
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

// Install puts a snapshot in force if its revision is higher than the present one.
func (c *Config) Install(snapshot *declaration.Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != nil && snapshot.Revision <= c.snapshot.Revision {
		return false
	}
	c.snapshot = snapshot
	c.newest = max(c.newest, snapshot.Revision)
	return true
}

// Confirm records that a store read started at the given time found no revision newer than the one given.
func (c *Config) Confirm(revision int64, start time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != nil && c.snapshot.Revision == revision && start.After(c.confirmed) {
		c.confirmed = start
	}
}

// Heard records that a revision exists. Until it is installed this instance takes no new work.
func (c *Config) Heard(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newest = max(c.newest, revision)
}

// Hold stops new work on a version before a configuration revision says so.
func (c *Config) Hold(id declaration.VersionID, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[id] = reason
}

// Release ends a hold.
func (c *Config) Release(id declaration.VersionID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, id)
}

// Held reports whether new work on the version is stopped by a hold, and why.
func (c *Config) Held(id declaration.VersionID) (string, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	reason, ok := c.held[id]
	return reason, ok
}

// Current returns the snapshot if this instance may take new work at the given time.
func (c *Config) Current(now time.Time) (*declaration.Snapshot, *fault.Error) {
	state := c.State()
	if state.Snapshot == nil {
		return nil, stale("no configuration is in force yet")
	}
	if state.Newest > state.Snapshot.Revision {
		return nil, stale(fmt.Sprintf("revision %d exists but revision %d is in force here", state.Newest, state.Snapshot.Revision))
	}
	if !c.entitled(state, now) {
		return nil, stale(fmt.Sprintf("revision %d was not confirmed within %s", state.Snapshot.Revision, c.bound))
	}
	// A revision is recorded before the registrations that came with it take effect. The majority may have counted those
	// registrations, so the revision is checked after it.
	if after := c.State(); after.Newest > state.Snapshot.Revision {
		return nil, stale(fmt.Sprintf("revision %d exists but revision %d was in force here", after.Newest, state.Snapshot.Revision))
	}
	return state.Snapshot, nil
}

func (c *Config) entitled(state ConfigState, now time.Time) bool {
	fresh := !state.Confirmed.IsZero() && now.Sub(state.Confirmed) <= c.bound
	if c.standing == nil {
		return fresh
	}
	return fresh && c.standing.Confirms(state.Confirmed) || c.standing.Supports(state.Snapshot.Revision, now)
}

func stale(message string) *fault.Error {
	return fault.NotRun(fault.StepPermit, fault.CodeConfigurationStale, message).
		WithAdvice("repeat the request; another instance can take it").
		WithRetryAfter(time.Second)
}

// Permit allows one attempt on a version within a short time.
type Permit struct {
	ID       declaration.VersionID
	Revision int64
	expires  time.Time
}

// Valid reports whether the permit may still be used.
func (p Permit) Valid(now time.Time) bool { return now.Before(p.expires) }

// Permit checks organisation, class and version against the configuration in force. Each attempt needs a permit of its
// own, taken immediately before the send.
func (c *Config) Permit(organisation, class string, id declaration.VersionID, now time.Time) (Permit, *fault.Error) {
	snapshot, refused := c.Current(now)
	if refused != nil {
		return Permit{}, refused
	}
	if !snapshot.Allowed(organisation, class, id) {
		return Permit{}, fault.NotRun(fault.StepPermit, fault.CodeNotAllowed,
			fmt.Sprintf("organisation %q may not use %s for class %q", organisation, id, class))
	}
	if !snapshot.Usable(id) {
		return Permit{}, withdrawn(id, "withdrawn")
	}
	if reason, ok := c.Held(id); ok {
		return Permit{}, withdrawn(id, "held: "+reason)
	}
	return Permit{ID: id, Revision: snapshot.Revision, expires: now.Add(permitValidity)}, nil
}

func withdrawn(id declaration.VersionID, why string) *fault.Error {
	return fault.NotRun(fault.StepPermit, fault.CodeVersionWithdrawn, fmt.Sprintf("%s takes no new work: %s", id, why))
}
