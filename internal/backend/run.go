package backend

import "time"

// Attempt is one attempt at a backend server. Its methods lock the directory and may be called after the server was removed
// from it.
type Attempt struct {
	Entry Entry

	directory     *Directory
	row           *row
	model         string
	prompt        []PromptPart
	started       time.Time
	pendingTokens int
	pendingWork   int64
	// expectedPrefill is the expected time until the prompt is prefilled; zero if it is not estimated.
	expectedPrefill time.Duration
	streaming       bool
	ended           bool
}

// Begin starts an attempt at the server and adds it to the load. It returns false if the server is no longer in the table.
func (d *Directory) Begin(id string, q Query, now time.Time) (*Attempt, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.rows[id]
	if !ok {
		return nil, false
	}
	pending := max(0, PromptTokens(q.Prompt)-max(q.CachedTokens, r.cachedPrompts.cachedTokens(q.Model, q.Prompt, now)))
	work := int64(float64(pending) * q.WorkWeight)
	r.inFlight++
	r.pendingTokens += pending
	r.pendingWork += work
	return &Attempt{Entry: r.entry, directory: d, row: r, model: q.Model, prompt: q.Prompt, started: now, pendingTokens: pending,
		pendingWork: work, expectedPrefill: q.ExpectedPrefill}, true
}

// RecordPrefill records that the server has prefilled the prompt. It is called when the first token arrives.
func (a *Attempt) RecordPrefill(now time.Time) {
	a.directory.mu.Lock()
	defer a.directory.mu.Unlock()
	a.releasePending()
	if !a.ended && !a.streaming {
		a.streaming = true
		a.row.streaming++
		a.row.speed.record(now.Sub(a.started), a.expectedPrefill)
	}
	if len(a.prompt) > 0 {
		a.row.cachedPrompts.recordPrompt(a.model, a.prompt, now)
	}
}

// Result is the outcome of an attempt as evidence about the health of the server.
type Result int

// Results of attempts.
const (
	// ResultNeutral is no evidence about the server, for example because the caller disconnected.
	ResultNeutral Result = iota
	// ResultSuccess is a complete response.
	ResultSuccess
	// ResultFailure is a failure, a damaged response or no response.
	ResultFailure
	// ResultUnreachable means that no connection could be established.
	ResultUnreachable
	// ResultMisdirected means that another server answered at the address.
	ResultMisdirected
)

// End ends the attempt and records its result. Further calls have no effect.
func (a *Attempt) End(result Result, now time.Time) {
	a.directory.mu.Lock()
	defer a.directory.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.row.inFlight--
	a.releasePending()
	if a.streaming {
		a.row.streaming--
	}
	switch result {
	case ResultSuccess:
		a.row.health.recordOutcome(false, now)
		a.row.health.recordResponseTime(now.Sub(a.started))
	case ResultFailure:
		a.row.health.recordOutcome(true, now)
	case ResultUnreachable:
		a.row.health.recordConnectFailure(now)
	case ResultMisdirected:
		a.row.addressReused = true
	case ResultNeutral:
	}
}

// releasePending removes the attempt's prompt from the pending work of the server.
func (a *Attempt) releasePending() {
	a.row.pendingTokens -= a.pendingTokens
	a.row.pendingWork -= a.pendingWork
	a.pendingTokens, a.pendingWork = 0, 0
}
