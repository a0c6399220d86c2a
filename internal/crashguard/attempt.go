package crashguard

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
)

// Attempt is an attempt of a request with a prompt at a server, until its first event.
type Attempt struct {
	table   *Table
	service string
	server  string
	request string
	parts   []string
	trial   bool
	cancel  func()
}

// Begin starts to watch an attempt at a server process. If a hold begins to cover the request before its first event, cancel is called, so
// that a request that waits in the queue of a server does not crash it. A trial is not cancelled.
func (t *Table) Begin(service, server, request string, prompt []backend.PromptPart, trial bool, cancel func()) *Attempt {
	attempt := &Attempt{
		table: t, service: service, server: server, request: request, parts: SharedParts(prompt), trial: trial, cancel: cancel,
	}
	if len(attempt.parts) > 0 {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.waiting[attempt] = struct{}{}
	}
	return attempt
}

// Answered records that the first event of the answer arrived.
func (a *Attempt) Answered(now time.Time) {
	a.End()
	if len(a.parts) > 0 {
		a.table.recordAnswer(a.service, a.parts, now)
	}
}

// Crashed records that the server broke off the answer after it had begun and before its first event.
func (a *Attempt) Crashed(now time.Time) {
	a.End()
	if len(a.parts) > 0 {
		a.table.Merge([]Crash{{Service: a.service, Server: a.server, Request: a.request, Parts: a.parts, At: now}}, now)
	}
}

// End stops to watch the attempt. Further calls have no effect.
func (a *Attempt) End() {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	delete(a.table.waiting, a)
}

// heldAttempts returns the waiting attempts that a hold covers. The caller holds the lock.
func (t *Table) heldAttempts(now time.Time) []*Attempt {
	var held []*Attempt
	for _, hold := range t.holds {
		if !now.Before(hold.Until) {
			continue
		}
		for attempt := range t.waiting {
			if !attempt.trial && hold.covers(attempt.service, attempt.parts) {
				held = append(held, attempt)
			}
		}
	}
	return held
}
