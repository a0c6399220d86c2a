// Package backend holds the table of backend servers that register themselves in the platform's store: what they say of
// themselves, what this instance sent them, and how they answered.
package backend

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/rendezvous"
	"github.com/cicadawall/cicadawall/internal/routing"
)

// lapseHold is how long a server is kept whose entry is missing after the store was away. Entries of live servers are back
// within about 2 s.
const lapseHold = 2200 * time.Millisecond

// Entry is what a backend server says of itself.
type Entry struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	// Software is the version of the server's software.
	Software string
	// Slots is the number of requests that run at the same time.
	Slots   int
	Leaving bool
	// Cold is how long the server stays slow after its start.
	Cold time.Duration
	// StartedMilli is the server's start in Unix milliseconds, zero if it does not say. Another start under the same
	// identifier is another server.
	StartedMilli int64
}

// sameProcess reports whether both entries come from one start of one server.
func (e Entry) sameProcess(other Entry) bool {
	return e.ID == other.ID && e.Address == other.Address && e.Service == other.Service && e.StartedMilli == other.StartedMilli
}

// row is the state of one server. Runs keep a pointer to it, so that they can end after the server left the table.
type row struct {
	entry Entry
	// coldUntil is the end of the slow phase.
	coldUntil time.Time
	// removeAt is when the row leaves the table if its entry does not come back; zero while the entry is there.
	removeAt time.Time
	// moved is set once another server answered at the address.
	moved    bool
	inFlight int
	pending  int
	health   health
	prompts  promptCache
}

// Directory is the table of backend servers. It is safe for concurrent use.
type Directory struct {
	mu       *lockorder.Mutex
	rows     map[string]*row
	services map[string][]*row
	known    bool
	peers    peerLoads
}

// NewDirectory returns an empty table.
func NewDirectory() *Directory {
	return &Directory{mu: lockorder.New(lockorder.RankBackendServers), rows: map[string]*row{}, services: map[string][]*row{}}
}

// Known reports whether a list of servers was read since the start.
func (d *Directory) Known() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// Replace takes a complete list. Servers that are missing from it are kept for the hold, which covers entries that lapsed
// while the store was away; a hold of zero drops them at once. It returns the addresses of the dropped servers.
func (d *Directory) Replace(entries []Entry, hold time.Duration, now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = true
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
		dropped = d.drop(r, hold, now, dropped)
	}
	d.index()
	return dropped
}

// Put takes one new or changed entry.
func (d *Directory) Put(entry Entry, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(entry, now)
	d.index()
}

func (d *Directory) put(entry Entry, now time.Time) {
	r, ok := d.rows[entry.ID]
	if !ok || !r.entry.sameProcess(entry) {
		r = &row{}
		d.rows[entry.ID] = r
	}
	r.entry = entry
	r.removeAt = time.Time{}
	r.coldUntil = now.Add(entry.Cold)
}

// Hold returns how long servers are kept whose entries are missing. Returned is when the store answered again after it had been
// away, zero if it never was; removed is the number of entries that vanished together. If that is most of them, the store
// rather than the servers was away.
func (d *Directory) Hold(returned time.Time, removed int, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if removed > 1 && 2*removed > len(d.rows) {
		return lapseHold
	}
	if returned.IsZero() {
		return 0
	}
	return max(0, returned.Add(lapseHold).Sub(now))
}

// Remove takes the removal of an entry; see Replace for the hold.
func (d *Directory) Remove(id string, hold time.Duration, now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.rows[id]
	if !ok {
		return nil
	}
	dropped := d.drop(r, hold, now, nil)
	d.index()
	return dropped
}

func (d *Directory) drop(r *row, hold time.Duration, now time.Time, dropped []string) []string {
	if r.removeAt.IsZero() {
		r.removeAt = now.Add(hold)
	}
	if now.Before(r.removeAt) {
		return dropped
	}
	delete(d.rows, r.entry.ID)
	return append(dropped, r.entry.Address)
}

// Expire drops the rows whose hold has ended and returns their addresses.
func (d *Directory) Expire(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var dropped []string
	for _, r := range d.rows {
		if !r.removeAt.IsZero() {
			dropped = d.drop(r, 0, now, dropped)
		}
	}
	if dropped != nil {
		d.index()
	}
	return dropped
}

// index rebuilds the lists by service.
func (d *Directory) index() {
	clear(d.services)
	for _, r := range d.rows {
		d.services[r.entry.Service] = append(d.services[r.entry.Service], r)
	}
}

// Entries returns a copy of all entries.
func (d *Directory) Entries() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := make([]Entry, 0, len(d.rows))
	for _, r := range d.rows {
		entries = append(entries, r.entry)
	}
	return entries
}

// Query describes the attempt for which candidates are wanted.
type Query struct {
	Service string
	// Model and Prompt name what the request reads; both are empty for a plain service.
	Model  string
	Prompt []Part
	// MaxInFlight bounds this instance's requests on one server; zero means no bound.
	MaxInFlight int
}

// Candidates returns the servers of the service as the routing policy sees them.
func (d *Directory) Candidates(q Query, now time.Time) []routing.Candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	rows := d.services[q.Service]
	candidates := make([]routing.Candidate, 0, len(rows))
	others, scale := d.peers.sum(now)
	for _, r := range rows {
		if !r.removeAt.IsZero() && !now.Before(r.removeAt) {
			continue
		}
		candidate := r.candidate(q, now)
		other := others[r.entry.ID]
		candidate.PeerInFlight = int(scale * float64(other.Running))
		candidate.PendingTokens += int(scale * float64(other.PendingTokens))
		candidates = append(candidates, candidate)
	}
	return candidates
}

func (r *row) candidate(q Query, now time.Time) routing.Candidate {
	return routing.Candidate{
		ID:            r.entry.ID,
		Zone:          r.entry.AvailabilityZone,
		Leaving:       r.entry.Leaving || r.moved,
		EjectedUntil:  r.health.ejected,
		InFlight:      r.inFlight,
		Software:      r.entry.Software,
		Slots:         r.entry.Slots,
		MaxInFlight:   q.MaxInFlight,
		CachedTokens:  r.prompts.cached(q.Model, q.Prompt, now),
		PendingTokens: r.pending,
		ResponseTime:  r.health.answer,
		FailureRate:   r.health.rate(now),
		Cold:          now.Before(r.coldUntil),
	}
}

// MarkHome assumes that the home server of a shared prompt holds it. Every instance computes the same home, so that one
// server reads a shared prompt for all of them without a message.
func MarkHome(candidates []routing.Candidate, model string, prompt []Part) {
	shared := sharedPart(prompt)
	if shared == nil {
		return
	}
	home, highest := -1, uint64(0)
	for i := range candidates {
		if candidates[i].Leaving || candidates[i].OutsidePartition {
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

// Merge adds the servers of a peer's list and takes over that servers are leaving. While the store does not answer this
// instance, a peer that it answers knows more.
func (d *Directory) Merge(entries []Entry, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = true
	present := make(map[string]bool, len(entries))
	for _, entry := range entries {
		present[entry.ID] = true
		r, ok := d.rows[entry.ID]
		if ok && r.entry.sameProcess(entry) {
			r.entry.Leaving = r.entry.Leaving || entry.Leaving
			continue
		}
		d.put(entry, now)
	}
	for id, r := range d.rows {
		if !present[id] {
			r.entry.Leaving = true
		}
	}
	d.index()
}
