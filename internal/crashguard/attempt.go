package crashguard

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
)

// SurvivalTime is how long an answer must go on after its first event to show that its prompt does not crash servers: several events of a
// stream. A server that ends later most likely ends for another reason, and the streams that it was working on are no evidence.
const SurvivalTime = 250 * time.Millisecond

// Attempt is an attempt of a request with a prompt at a server, until its answer has survived for SurvivalTime.
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

// Begun records that the first event of the answer arrived. From then on the attempt is not cancelled, because its caller has a part of
// the answer.
func (a *Attempt) Begun() { a.End() }

// Survived records that the answer that the server began at a time is complete or went on for SurvivalTime after its first event. It is evidence
// for the parts as of its beginning: what turned harmful since does not affect it.
func (a *Attempt) Survived(begun, now time.Time) {
	a.End()
	if len(a.parts) > 0 {
		a.table.recordAnswer(a.service, a.parts, begun, now)
	}
}

// Crashed records that the server ended before the answer had survived. BeforeAnswer says that it had not begun to answer.
func (a *Attempt) Crashed(beforeAnswer bool, now time.Time) {
	a.End()
	if len(a.parts) > 0 {
		a.table.Merge([]Crash{{
			Service: a.service, Server: a.server, Request: a.request, Parts: a.parts, NeverAnswered: a.table.neverAnswered(a.service, a.parts),
			At: now, BeforeAnswer: beforeAnswer,
		}}, now)
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
