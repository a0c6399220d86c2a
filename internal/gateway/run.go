package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/admission"
	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/migration"
	"github.com/cicadawall/cicadawall/internal/routing"
)

const (
	// maxSends bounds the servers to which one request is sent, refusals included; each refusal costs a round trip.
	maxSends = 4
	// maxUnsent bounds the servers that one request finds unreachable. They cost no arrival and little time.
	maxUnsent = 8
	// shortestAttempt is the time that must be left for another attempt; with less, no server can answer.
	shortestAttempt = 30 * time.Millisecond
	// maxWholeBytes bounds an answer that is read as a whole before it is delivered; longer ones are cut.
	maxWholeBytes = 8 << 20
	// highestPriority is the most urgent priority of the admission queue.
	highestPriority = 9
	// staleWithin is the time within which a kept connection fails that the server had closed before: a round trip and a margin
	// for a slow machine.
	staleWithin = 50 * time.Millisecond
	// attemptPatience is the part of a route's target after which an attempt without an answer is given up for another
	// server, if the request may be repeated.
	attemptPatience = 1.0
	// gapPatience is the part of a route's longest pause after which a stream without events goes on at another server.
	gapPatience = 2.5
)

// run is one request on its way. A worker executes it; no other goroutine touches it until done is closed.
type run struct {
	gateway       *Gateway
	request       *Request
	caller        Caller
	configuration *Configuration
	route         *Route
	service       *Service
	organisation  string
	priority      int
	limit         time.Time
	ctx           context.Context
	done          chan struct{}
	rng           *rand.Rand

	// sends counts the attempts that reached a server, runs those that may have run, unsent the others.
	sends  int
	runs   int
	unsent int
	tried  []string
	// uncertain is set once a server may have run the request without saying so.
	uncertain bool
	// failure is the last failure that a server stated, with its body.
	failure     *Reply
	failureBody []byte
	// fresh asks for a new connection after a kept one turned out to be dead.
	fresh bool
	// paid is set if the budget for the next attempt was already spent.
	paid bool

	model string
	// began is set once the head of an answer went to the caller.
	began bool
	// last is the last event that the caller has.
	last string
	// attemptAt is the start of the attempt, answerAt that of its answer.
	attemptAt time.Time
	answerAt  time.Time
	// first is the time to the first event, pause the longest time between two.
	first   time.Duration
	pause   time.Duration
	eventAt time.Time
}

// item describes the run to the admission queue.
func (r *run) item() admission.Item {
	return admission.Item{
		Organisation: r.organisation,
		Class:        r.route.Name,
		Priority:     max(0, highestPriority-r.priority),
		Tokens:       backend.Tokens(r.request.Prompt) + r.request.OutputTokens,
		Deadline:     r.limit,
		Job:          r,
		Refuse: func(refusal *fault.Error) {
			r.refuse(refusal)
			close(r.done)
		},
	}
}

// Run implements worker.Job.
func (r *run) Run(ctx context.Context) {
	defer close(r.done)
	limited, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	defer context.AfterFunc(ctx, func() { cancel(errStopping) })()
	r.ctx = limited
	if !r.limit.IsZero() {
		withDeadline, release := context.WithDeadline(limited, r.limit)
		defer release()
		r.ctx = withDeadline
	}
	r.gateway.Budget.CountRequest(r.service.Name, r.request.Arrived)
	r.chooseModel()
	for r.attempt() {
	}
}

// attempt makes one attempt and reports whether another one should follow.
func (r *run) attempt() bool {
	server, ok := r.begin()
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	stopPatience := r.limitAttempt(cancel)
	r.attemptAt, r.answerAt = time.Now(), time.Time{}
	reply, err := r.gateway.Backends.Send(ctx, r.encode(server))
	if err != nil {
		stopPatience()
		return r.sendFailed(server, err)
	}
	defer reply.Body.Close()
	switch reply.Verdict {
	case VerdictNotRun, VerdictMoved:
		stopPatience()
		return r.refused(server, reply)
	case VerdictFailure:
		defer stopPatience()
		return r.failed(server, reply)
	case VerdictSuccess:
	}
	r.answerAt = time.Now()
	if reply.Events {
		stopPatience()
		return r.relay(server, reply, cancel)
	}
	defer stopPatience()
	return r.deliver(server, reply)
}

// begin chooses a server and counts the attempt; it ends the request if there is none.
func (r *run) begin() (*backend.Run, bool) {
	now := time.Now()
	if r.sends+r.unsent > 0 && !r.mayRepeat(now) {
		r.finish()
		return nil, false
	}
	query := backend.Query{Service: r.service.Name, Model: r.model, Prompt: r.request.Prompt, MaxInFlight: r.maxInFlight()}
	candidates := r.gateway.Directory.Candidates(query, now)
	preference := r.gateway.Versions.Choose(r.service.Name, r.request.session(), len(r.request.Prompt) == 0, now)
	choice := r.choose(candidates, preference, now)
	if !choice.Found {
		r.finish()
		return nil, false
	}
	server, ok := r.gateway.Directory.Begin(choice.Server, query, now)
	if !ok {
		r.finish()
		return nil, false
	}
	r.sends++
	r.tried = append(r.tried, choice.Server)
	r.log("attempt", "server", choice.Server, "version", server.Entry.Software, "model", r.model, "number", r.sends+r.unsent,
		"configuration", r.configuration.Version, "candidates", len(candidates), "eligible", choice.Eligible,
		"score_ms", choice.Score.Milliseconds(), "after", r.last)
	return server, true
}

// choose applies the routing policy. If no server is left it takes one that was tried before, one that was unreachable, and at
// last another version.
func (r *run) choose(candidates []routing.Candidate, preference migration.Preference, now time.Time) routing.Choice {
	policy := routing.PlainPolicy()
	if r.route.Prompt {
		policy = routing.PromptPolicy()
	}
	want := routing.Request{
		Zone: r.gateway.AvailabilityZone, Exclude: r.tried, Software: preference.Use, NotSoftware: preference.Withdrawn,
		PromptTokens: backend.Tokens(r.request.Prompt),
	}
	if preference.Avoid != "" {
		want.NotSoftware = append(slices.Clone(want.NotSoftware), preference.Avoid)
	}
	if r.route.Prompt {
		from, to := r.gateway.models.span(r.service, r.model, now)
		policy.Partition(candidates, want, from, to, now)
		backend.MarkHome(candidates, r.model, r.request.Prompt)
	}
	choice, _ := policy.Choose(candidates, want, now, r.rng)
	if !choice.Found && len(r.tried) > 0 {
		want.Exclude = nil
		choice, _ = policy.Choose(candidates, want, now, r.rng)
	}
	if !choice.Found {
		for i := range candidates {
			candidates[i].EjectedUntil = time.Time{}
		}
		choice, _ = policy.Choose(candidates, want, now, r.rng)
	}
	if !choice.Found && (preference.Use != "" || preference.Avoid != "") {
		want.Software, want.NotSoftware = "", preference.Withdrawn
		choice, _ = policy.Choose(candidates, want, now, r.rng)
	}
	return choice
}

// maxInFlight is this instance's part of a server's connections, with room for an uneven load.
func (r *run) maxInFlight() int {
	if r.service.MaxConnections == 0 {
		return 0
	}
	return max(2, 2*r.service.MaxConnections/max(2, r.gateway.Instances()))
}

// mayRepeat reports whether time, attempts and the budget allow another attempt.
func (r *run) mayRepeat(now time.Time) bool {
	if r.ctx.Err() != nil || r.sends >= maxSends || r.unsent >= maxUnsent {
		return false
	}
	if r.runs >= max(1, r.route.MaxAttempts) {
		return false
	}
	if !r.limit.IsZero() && r.limit.Sub(now) < shortestAttempt {
		return false
	}
	if r.paid {
		r.paid = false
		return true
	}
	return r.gateway.Budget.Spend(r.service.Name, 1, now)
}

func (r *run) encode(server *backend.Run) Attempt {
	remaining := time.Duration(0)
	if !r.limit.IsZero() {
		remaining = max(time.Millisecond, time.Until(r.limit))
	}
	return Attempt{
		Request:      r.request,
		Server:       server.Entry,
		Organisation: r.organisation,
		Model:        r.model,
		Remaining:    remaining,
		Urgency:      min(highestPriority, r.priority),
		After:        r.last,
		Fresh:        r.fresh,
	}
}

// errStopping ends the requests that still run when the instance stops.
var errStopping = errors.New("the instance stops")

// errAttemptPatience ends an attempt that another server may answer sooner.
var errAttemptPatience = errors.New("no answer within the patience of an attempt")

// limitAttempt ends the attempt early if the request may run again elsewhere. It returns a function that lifts the limit.
func (r *run) limitAttempt(cancel context.CancelCauseFunc) func() {
	if !r.route.Repeatable() || r.route.Target == 0 || r.runs+1 >= r.route.MaxAttempts {
		return func() {}
	}
	patience := time.Duration(attemptPatience * float64(r.route.Target))
	timer := time.AfterFunc(patience, func() { cancel(errAttemptPatience) })
	return func() { timer.Stop() }
}

// sendFailed handles an attempt without an answer.
func (r *run) sendFailed(server *backend.Run, err error) bool {
	sent, stale := true, false
	var failed *SendError
	if errors.As(err, &failed) {
		sent, stale = failed.Sent, failed.Stale
	}
	// A server closes idle connections; a kept one that fails at once says nothing about it.
	stale = stale && time.Since(r.attemptAt) < staleWithin
	left := r.ctx.Err() != nil
	result := backend.ResultBad
	switch {
	case left || stale:
		result = backend.ResultNeutral
	case !sent:
		result = backend.ResultUnreachable
		r.sends--
		r.unsent++
		// Nothing arrived at a server, so the budget is still to be spent.
		r.paid = true
	}
	server.End(result, time.Now())
	r.log("attempt failed", "server", server.Entry.ID, "sent", sent, "kept_connection", stale, "error", err.Error())
	if sent {
		r.runs++
		r.uncertain = true
		if !left && !stale {
			r.observe(server, "", true, 0)
		}
	}
	r.fresh = stale
	return r.again(!sent)
}

// refused handles an answer that says the request was not run.
func (r *run) refused(server *backend.Run, reply *Reply) bool {
	result := backend.ResultBad
	if reply.Verdict == VerdictMoved {
		result = backend.ResultMoved
	}
	server.End(result, time.Now())
	r.log("attempt refused", "server", server.Entry.ID, "moved", reply.Verdict == VerdictMoved)
	return r.again(true)
}

// failed handles a failure of a server that ran the request.
func (r *run) failed(server *backend.Run, reply *Reply) bool {
	r.runs++
	body, err := reply.Body.All(maxWholeBytes)
	server.End(backend.ResultBad, time.Now())
	r.observe(server, "", true, 0)
	r.log("server failed", "server", server.Entry.ID, "whole", err == nil)
	if err != nil {
		r.uncertain = true
		return r.again(false)
	}
	r.failure, r.failureBody = reply, body
	return r.again(false)
}

// deliver passes a whole answer on.
func (r *run) deliver(server *backend.Run, reply *Reply) bool {
	r.runs++
	body, err := reply.Body.All(maxWholeBytes)
	if err != nil {
		server.End(backend.ResultBad, time.Now())
		if r.ctx.Err() == nil {
			r.observe(server, "", true, 0)
		}
		r.uncertain = true
		r.log("answer cut", "server", server.Entry.ID, "error", err.Error())
		return r.again(false)
	}
	server.End(backend.ResultGood, time.Now())
	r.observe(server, "", false, r.answerAt.Sub(r.attemptAt))
	r.answered(r.caller.Answer(reply, body))
	return false
}

// again reports whether another attempt may follow, and ends the request if not.
func (r *run) again(notRun bool) bool {
	if notRun && !r.uncertain || r.route.Repeatable() {
		return true
	}
	r.finish()
	return false
}

// observe counts an answer, or a part of one, for the server's version. Requests of a route that run on one model take similar
// times.
func (r *run) observe(server *backend.Run, part string, bad bool, took time.Duration) {
	r.gateway.Versions.Observe(r.service.Name, server.Entry.Software, r.route.Name+"/"+r.model+part, bad, took)
}

// log writes one decision on the request.
func (r *run) log(message string, attributes ...any) {
	r.gateway.Log.LogAttrs(context.Background(), slog.LevelInfo, message, r.attributes(attributes)...)
}

func (r *run) attributes(extra []any) []slog.Attr {
	attributes := make([]slog.Attr, 0, 5+len(extra)/2)
	attributes = append(attributes, slog.String("request_id", r.request.ID), slog.String("class", r.route.Name),
		slog.Int64("age_ms", time.Since(r.request.Arrived).Milliseconds()))
	for i := 0; i+1 < len(extra); i += 2 {
		attributes = append(attributes, slog.Any(extra[i].(string), extra[i+1]))
	}
	return attributes
}
