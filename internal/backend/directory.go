// Package backend holds the table of backend servers that register themselves in the platform's store. For each server it keeps
// the registered entry, the load from this instance, and the outcome of recent attempts.
package backend

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/evacuation"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/rendezvous"
	"github.com/cicadawall/cicadawall/internal/routing"
)

// missingGracePeriod is how long a server is kept when its entry is missing after the store was unavailable. Live servers write
// their entries again within about 2 s.
const missingGracePeriod = 2200 * time.Millisecond

// Entry is the registration of a backend server in the store.
type Entry struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	// Software is the version of the software that the server runs.
	Software string
	// Slots is the number of requests that the server runs at the same time.
	Slots   int
	Leaving bool
	// ColdDuration is how long the server still answers slowly because it started recently.
	ColdDuration time.Duration
	// StartedUnixMillis is the time at which the server process started, or zero if the entry does not contain it. A restarted
	// process with the same identifier counts as a new server.
	StartedUnixMillis int64
}

// sameProcess reports whether both entries come from the same server process.
func (e Entry) sameProcess(other Entry) bool {
	return e.ID == other.ID && e.Address == other.Address && e.Service == other.Service &&
		e.StartedUnixMillis == other.StartedUnixMillis
}

// row is the state of one server. Attempts keep a pointer to it, so that they can end after the server was removed from the
// table.
type row struct {
	entry Entry
	// coldUntil is when the server is expected to reach its normal speed.
	coldUntil time.Time
	// peerColdUntil is the same as far as a peer knows.
	peerColdUntil time.Time
	// removeAt is when the row is removed from the table unless its entry is written again; zero while the entry exists.
	removeAt time.Time
	// addressReused is set once another server has answered at the address.
	addressReused bool
	// invalidSignal is set once the server has sent a signal that could not be understood.
	invalidSignal bool
	inFlight      int
	pendingTokens int
	// streaming counts the attempts whose answer has begun, pendingWork is pendingTokens in tokens of the largest model.
	streaming   int
	pendingWork int64
	// speed is evidence on the server's speed that has not been reported.
	speed         speedEvidence
	health        health
	cachedPrompts promptCache
}

// Directory is the table of backend servers. It is safe for concurrent use.
type Directory struct {
	mu            *lockorder.Mutex
	rows          map[string]*row
	rowsByService map[string][]*row
	// leaving holds the processes that said in an answer that they leave, and since when this is known.
	leaving map[Process]time.Time
	// backoffs holds the processes that asked to get no requests for some time.
	backoffs map[Process]backoff
	loaded   bool
}

// NewDirectory returns an empty table.
func NewDirectory() *Directory {
	return &Directory{mu: lockorder.New(lockorder.RankBackendServers), rows: map[string]*row{}, rowsByService: map[string][]*row{},
		leaving: map[Process]time.Time{}, backoffs: map[Process]backoff{}}
}

// Loaded reports whether a list of servers was read since this instance started.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// Replace replaces the table by a complete list of entries. Servers that are missing from the list are kept for the grace
// period, because their entries may have expired while the store was unavailable; with a grace period of zero they are
// removed at once. Replace returns the addresses of the removed servers.
func (d *Directory) Replace(entries []Entry, gracePeriod time.Duration, now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loaded = true
	present := make(map[string]bool, len(entries))
	for _, entry := range entries {
		present[entry.ID] = true
		d.put(entry, now)
	}
	var dropped []string
	for id, r := range d.rows {
		if present[id] {
			continue
		}
		dropped = d.removeAfter(r, gracePeriod, now, dropped)
	}
	d.rebuildIndex()
	return dropped
}

// KeepLeaving marks the entries of processes whose known entries say that they leave. The store shows older entries again when it comes back from an
// older copy, and a process that leaves does not come back.
func (d *Directory) KeepLeaving(entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, entry := range entries {
		if r, ok := d.rows[entry.ID]; ok && r.entry.sameProcess(entry) {
			entries[i].Leaving = entry.Leaving || r.entry.Leaving
		}
	}
}

// Put adds or updates one entry.
func (d *Directory) Put(entry Entry, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(entry, now)
	d.rebuildIndex()
}

func (d *Directory) put(entry Entry, now time.Time) {
	r, ok := d.rows[entry.ID]
	if !ok || !r.entry.sameProcess(entry) {
		r = &row{}
		d.rows[entry.ID] = r
	}
	r.entry = entry
	r.removeAt = time.Time{}
	r.coldUntil = now.Add(entry.ColdDuration)
}

// GracePeriod returns how long servers are kept whose entries are missing. reconnectedAt is when the store answered again
// after it was unavailable, or zero if it never was unavailable; removed is the number of entries that were removed
// together. If these are most of the entries, an outage of the store is more likely than one of the servers.
func (d *Directory) GracePeriod(reconnectedAt time.Time, removed int, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if removed > 1 && 2*removed > len(d.rows) {
		return missingGracePeriod
	}
	if reconnectedAt.IsZero() {
		return 0
	}
	return max(0, reconnectedAt.Add(missingGracePeriod).Sub(now))
}

// Remove handles the removal of an entry. It applies the grace period as Replace does.
func (d *Directory) Remove(id string, gracePeriod time.Duration, now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.rows[id]
	if !ok {
		return nil
	}
	dropped := d.removeAfter(r, gracePeriod, now, nil)
	d.rebuildIndex()
	return dropped
}

// removeAfter starts the grace period of the row unless it has started before, removes the row if the grace period has
// ended, and then appends its address to dropped.
func (d *Directory) removeAfter(r *row, gracePeriod time.Duration, now time.Time, dropped []string) []string {
	if r.removeAt.IsZero() {
		r.removeAt = now.Add(gracePeriod)
	}
	if now.Before(r.removeAt) {
		return dropped
	}
	delete(d.rows, r.entry.ID)
	return append(dropped, r.entry.Address)
}

// Expire removes the servers whose grace period has ended and returns their addresses.
func (d *Directory) Expire(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var dropped []string
	for _, r := range d.rows {
		if !r.removeAt.IsZero() {
			dropped = d.removeAfter(r, 0, now, dropped)
		}
	}
	if dropped != nil {
		d.rebuildIndex()
	}
	return dropped
}

// rebuildIndex rebuilds the lists of servers by service.
func (d *Directory) rebuildIndex() {
	clear(d.rowsByService)
	for _, r := range d.rows {
		d.rowsByService[r.entry.Service] = append(d.rowsByService[r.entry.Service], r)
	}
}

// Entries returns a copy of all entries.
func (d *Directory) Entries() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := make([]Entry, 0, len(d.rows))
	for _, r := range d.rows {
		entry := r.entry
		_, leaving := d.leaving[entry.process()]
		entry.Leaving = entry.Leaving || leaving
		entries = append(entries, entry)
	}
	return entries
}

// Query describes the attempt that needs a server.
type Query struct {
	Service string
	// Model and Prompt are those of a model request; both are empty for a plain service.
	Model  string
	Prompt []PromptPart
	// MaxInFlight is the limit of this instance's requests in flight on one server; zero means no limit.
	MaxInFlight int
	// CachedTokens is the number of prompt tokens that the chosen server probably holds beyond what this instance sent there.
	CachedTokens int
	// WorkWeight is the time that a prompt token of the model takes relative to one of the largest model.
	WorkWeight float64
	// ExpectedPrefill is the expected time until the prompt is prefilled at a server of mean speed; zero if it is not estimated.
	ExpectedPrefill time.Duration
	// Evacuations are the evacuated availability zones; nil if there are none.
	Evacuations *evacuation.View
	// Cold is set if requests to the cold servers of the service are bounded.
	Cold *ColdStart
}

// Candidates returns the servers of the service in the form that the routing policy evaluates.
func (d *Directory) Candidates(q Query, now time.Time) []routing.Candidate {
	if q.Cold != nil {
		q.Cold.recentEnds = q.Evacuations.EndsAfter(now.Add(-q.Cold.Duration))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	rows := d.rowsByService[q.Service]
	candidates := make([]routing.Candidate, 0, len(rows))
	for _, r := range rows {
		if !r.removeAt.IsZero() && !now.Before(r.removeAt) {
			continue
		}
		candidate := r.candidate(&q, now)
		process := r.entry.process()
		_, leaving := d.leaving[process]
		candidate.Leaving = candidate.Leaving || leaving
		candidate.BackoffUntil = d.backoffs[process].end(now)
		candidates = append(candidates, candidate)
	}
	return candidates
}

// Slots returns the number of requests that the servers of a service run at a time, without those that leave.
func (d *Directory) Slots(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	slots := 0
	for _, r := range d.rowsByService[service] {
		if !r.entry.Leaving {
			slots += r.entry.Slots
		}
	}
	return slots
}

func (r *row) candidate(q *Query, now time.Time) routing.Candidate {
	return routing.Candidate{
		ID:            r.entry.ID,
		Zone:          r.entry.AvailabilityZone,
		Leaving:       r.entry.Leaving || r.addressReused,
		Evacuated:     q.Evacuations.Evacuated(r.entry.AvailabilityZone),
		EjectedUntil:  r.health.ejectedUntil,
		InFlight:      r.inFlight,
		Software:      r.entry.Software,
		Slots:         r.entry.Slots,
		MaxInFlight:   q.MaxInFlight,
		CachedTokens:  r.cachedPrompts.cachedTokens(q.Model, q.Prompt, now),
		PendingTokens: r.pendingTokens,
		Streaming:     r.streaming,
		PendingWork:   r.pendingWork,
		ResponseTime:  r.health.responseTime,
		FailureRate:   r.health.decayedFailureRate(now),
		Cold:          now.Before(r.coldUntil),
		ColdFor:       r.coldFor(q, now),
	}
}

// MarkHomeServer assumes that the shared part of the prompt is in the KV cache of its home server, which rendezvous hashing
// chooses. Every instance computes the same home server, so that only one server prefills a shared prompt, without any messages
// between instances.
func MarkHomeServer(candidates []routing.Candidate, model string, prompt []PromptPart) {
	shared := lastSharedPart(prompt)
	if shared == nil {
		return
	}
	home, highest := -1, uint64(0)
	for i := range candidates {
		if candidates[i].Leaving || candidates[i].Evacuated || candidates[i].OutsidePartition {
			continue
		}
		weight := rendezvous.Weight(shared.ID+model, candidates[i].ID)
		if home < 0 || weight > highest {
			home, highest = i, weight
		}
	}
	if home >= 0 {
		candidates[home].CachedTokens = max(candidates[home].CachedTokens, tokensThrough(prompt, shared))
	}
}

// MergePeerList adds the servers of a peer's list, and marks servers as leaving that are leaving in the list or missing from
// it. It is used while the store does not answer this instance but answers the peer, whose list is then more recent.
func (d *Directory) MergePeerList(entries []Entry, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loaded = true
	present := make(map[string]bool, len(entries))
	for _, entry := range entries {
		present[entry.ID] = true
		r, ok := d.rows[entry.ID]
		if !ok || !r.entry.sameProcess(entry) {
			peerEntry := entry
			peerEntry.ColdDuration = 0
			d.put(peerEntry, now)
			r = d.rows[entry.ID]
		}
		r.entry.Leaving = r.entry.Leaving || entry.Leaving
		r.extendCold(now.Add(entry.ColdDuration))
	}
	for id, r := range d.rows {
		if !present[id] {
			r.entry.Leaving = true
		}
	}
	d.rebuildIndex()
}
