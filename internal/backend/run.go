package backend

import "time"

// Run is one attempt at a server. Its methods lock the directory and may be called after the server left it.
type Run struct {
	Entry Entry

	directory *Directory
	row       *row
	model     string
	prompt    []Part
	started   time.Time
	pending   int
	ended     bool
}

// Begin counts an attempt at the server and returns false if it has left the table meanwhile.
func (d *Directory) Begin(id string, q Query, now time.Time) (*Run, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.rows[id]
	if !ok {
		return nil, false
	}
	pending := max(0, Tokens(q.Prompt)-r.prompts.cached(q.Model, q.Prompt, now))
	r.inFlight++
	r.pending += pending
	return &Run{Entry: r.entry, directory: d, row: r, model: q.Model, prompt: q.Prompt, started: now, pending: pending}, true
}

// Reading records that the server has read the prompt, which it has when its first token is there.
func (r *Run) Reading(now time.Time) {
	r.directory.mu.Lock()
	defer r.directory.mu.Unlock()
	r.row.pending -= r.pending
	r.pending = 0
	if len(r.prompt) > 0 {
		r.row.prompts.read(r.model, r.prompt, now)
	}
}

// Result is how an attempt ended as far as it says something about the server.
type Result int

// Results of attempts.
const (
	// ResultNeutral says nothing about the server, for example because the caller left.
	ResultNeutral Result = iota
	// ResultGood is an answer.
	ResultGood
	// ResultBad is a failure, a broken answer or none.
	ResultBad
	// ResultUnreachable means that no connection could be made.
	ResultUnreachable
	// ResultMoved means that another server answered at the address.
	ResultMoved
)

// End ends the attempt; only the first call counts.
func (r *Run) End(result Result, now time.Time) {
	r.directory.mu.Lock()
	defer r.directory.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.row.inFlight--
	r.row.pending -= r.pending
	switch result {
	case ResultGood:
		r.row.health.observe(false, now)
		r.row.health.answered(now.Sub(r.started))
	case ResultBad:
		r.row.health.observe(true, now)
	case ResultUnreachable:
		r.row.health.unreached(now)
	case ResultMoved:
		r.row.moved = true
	case ResultNeutral:
	}
}
