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
	ended         bool
}

// Begin starts an attempt at the server and adds it to the load. It returns false if the server is no longer in the table.
func (d *Directory) Begin(id string, q Query, now time.Time) (*Attempt, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.rows[id]
	if !ok {
		return nil, false
	}
	pending := max(0, PromptTokens(q.Prompt)-r.cachedPrompts.cachedTokens(q.Model, q.Prompt, now))
	r.inFlight++
	r.pendingTokens += pending
	return &Attempt{Entry: r.entry, directory: d, row: r, model: q.Model, prompt: q.Prompt, started: now, pendingTokens: pending}, true
}

// RecordPrefill records that the server has prefilled the prompt. It is called when the first token arrives.
func (a *Attempt) RecordPrefill(now time.Time) {
	a.directory.mu.Lock()
	defer a.directory.mu.Unlock()
	a.row.pendingTokens -= a.pendingTokens
	a.pendingTokens = 0
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
	a.row.pendingTokens -= a.pendingTokens
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
