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
	"github.com/cicadawall/cicadawall/internal/crashguard"
	"github.com/cicadawall/cicadawall/internal/fault"
)

const (
	// maxSentAttempts bounds the attempts of one request that are sent to a server, including those that the server refuses:
	// each refusal costs a round trip.
	maxSentAttempts = 4
	// maxUnsentAttempts bounds the attempts of one request at unreachable servers. They add no load to a server and take little
	// time.
	maxUnsentAttempts = 8
	// minAttemptTime is the time before the deadline below which no further attempt starts, because no server could answer.
	minAttemptTime = 30 * time.Millisecond
	// maxBufferedAnswerBytes bounds an answer that is buffered before it is delivered; a longer answer counts as incomplete.
	maxBufferedAnswerBytes = 8 << 20
	// maxPriority is the most urgent priority of the admission queue and the least urgent one of a server's queue.
	maxPriority = 9
	// staleConnectionTimeout is the time within which an attempt fails on a reused connection that the server had already closed:
	// a round trip and a margin for a slow machine.
	staleConnectionTimeout = 50 * time.Millisecond
	// gapTimeoutRatio times the route's target gap is the time without events after which a stream resumes at another server.
	gapTimeoutRatio = 2.5
)

// requestJob is the state of one request that is being served. A worker executes it; no other goroutine accesses it until done
// is closed.
type requestJob struct {
	gateway       *Gateway
	request       *Request
	caller        Caller
	configuration *Configuration
	route         *Route
	service       *Service
	organisation  string
	priority      int
	deadline      time.Time
	ctx           context.Context
	done          chan struct{}
	rng           *rand.Rand

	// sentAttempts counts the attempts that were sent to a server, executions those that the server may have run, and
	// unsentAttempts those that failed before anything was sent.
	sentAttempts   int
	executions     int
	unsentAttempts int
	triedServers   []string
	// refusedBy are the servers that refused the request without running it.
	refusedBy []string
	// outcomeUnknown is set once a server may have run the request although no complete answer arrived. Answers that were dropped for a
	// larger model do not set it, so that the request may run once more.
	outcomeUnknown bool
	// serverFailure is the last failure that a server returned, serverFailureBody its body.
	serverFailure     *Reply
	serverFailureBody []byte
	// newConnection makes the next attempt open a new connection because a reused one had been closed by the server.
	newConnection bool
	// backoff is the time until the first server wants requests again, if no server was eligible because all asked for a backoff.
	backoff time.Duration
	// coldWait is the time until a server may get a request, if all servers that accept requests are cold and may get none now.
	coldWait time.Duration
	// crashes counts the attempts whose server may have ended because it began to answer the request.
	crashes int
	// hold says whether the request may be sent to a server, as of the last check.
	hold crashguard.Verdict
	// watched is the current attempt as it is watched for crashes. survived is set once an answer has shown that the request crashes no
	// server.
	watched  *crashguard.Attempt
	survived bool
	// stopReason says why no further attempt was made; empty if none was wanted.
	stopReason string
	// repeatGranted is set while a repeat that the retry budget has granted has not reached a server.
	repeatGranted bool
	// abandoned is set once an attempt was given up without an answer. Its server may read it later.
	abandoned bool

	model string
	// droppedModel is the model whose answer was dropped for a larger one; empty if none was. largerRefusals counts the refusals of the
	// larger model since.
	droppedModel   string
	largerRefusals int
	// headSent is set once the head of an answer has been sent to the caller.
	headSent bool
	// lastEventID identifies the last event that was delivered to the caller.
	lastEventID string
	// attemptStart is the start of the current attempt, answerStart that of its answer.
	attemptStart time.Time
	answerStart  time.Time
	// timeToFirstEvent is measured from the arrival of the request; longestPause is the longest time between two events.
	timeToFirstEvent time.Duration
	longestPause     time.Duration
	lastEventAt      time.Time
	// trace, if set, records the decisions on a request that is only explained. They then change no state.
	trace *decisionTrace
}

// queueItem returns the request's entry for the admission queue.
func (r *requestJob) queueItem() admission.Item {
	return admission.Item{
		Organisation: r.organisation,
		Class:        r.route.Name,
		Priority:     max(0, maxPriority-r.priority),
		Tokens:       backend.PromptTokens(r.request.Prompt) + r.request.OutputTokens,
		Deadline:     r.deadline,
		Job:          r,
		Refuse: func(refusal *fault.Error) {
			r.refuse(refusal)
			close(r.done)
		},
	}
}

// Run implements worker.Job.
func (r *requestJob) Run(ctx context.Context) {
	defer close(r.done)
	cancellable, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	defer context.AfterFunc(ctx, func() { cancel(errStopping) })()
	r.ctx = cancellable
	if !r.deadline.IsZero() {
		withDeadline, release := context.WithDeadline(cancellable, r.deadline)
		defer release()
		r.ctx = withDeadline
	}
	r.gateway.RetryBudget.CountRequest(r.service.Name, r.request.Arrived)
	defer r.releaseRepeat()
	r.chooseModel()
	for r.attempt() {
	}
}

// attempt makes one attempt and reports whether another one should follow.
func (r *requestJob) attempt() bool {
	server, ok := r.startAttempt()
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	stopTimer := r.startAttemptTimer(cancel)
	r.watched = r.watchForCrash(server, cancel)
	defer r.watched.End()
	r.attemptStart, r.answerStart = time.Now(), time.Time{}
	reply, err := r.gateway.Backends.Send(ctx, r.newAttempt(server))
	if err != nil {
		stopTimer()
		return r.handleSendError(ctx, server, err)
	}
	defer reply.Body.Close()
	r.recordArrival()
	r.recordSignals(server, reply)
	switch reply.Verdict {
	case VerdictNotRun, VerdictMisdirected:
		stopTimer()
		return r.handleRefusal(server, reply)
	case VerdictFailure:
		defer stopTimer()
		return r.handleServerFailure(server, reply)
	case VerdictSuccess:
	}
	r.answerStart = time.Now()
	if reply.IsEventStream {
		stopTimer()
		return r.relayStream(ctx, server, reply, cancel)
	}
	defer stopTimer()
	if r.headSent {
		return r.handleAnswerWithoutEvents(server)
	}
	return r.deliverAnswer(server, reply)
}

// startAttempt chooses a server and counts the attempt. It ends the request if no further attempt is allowed or no server is
// eligible.
func (r *requestJob) startAttempt() (*backend.Attempt, bool) {
	now := time.Now()
	next := r.decide(now)
	choice := next.choice
	switch {
	case next.stopping:
		r.refuse(DrainingRefusal())
		return nil, false
	case !choice.Found:
		r.finishUnanswered()
		return nil, false
	}
	server, ok := r.gateway.Directory.Begin(choice.Server, next.query, now)
	if !ok {
		r.finishUnanswered()
		return nil, false
	}
	r.sentAttempts++
	r.triedServers = append(r.triedServers, choice.Server)
	r.log("attempt started", "server", choice.Server, "version", server.Entry.Software, "model", r.model,
		"number", r.sentAttempts+r.unsentAttempts, "configuration", r.configuration.Version,
		"candidates", len(next.candidates), "eligible", choice.Eligible, "score_ms", choice.Score.Milliseconds(), "after", r.lastEventID)
	if next.view != nil {
		load := next.view.Servers[choice.Server]
		r.log("load of the chosen backend server", "server", choice.Server, "view_age_ms", next.view.Age(now).Milliseconds(),
			"running", load.Running, "streaming", load.Streaming, "pending_tokens", load.PendingWork, "slowdown", load.Slowdown,
			"cached_tokens", choice.CachedTokens, "prefill_ms", choice.ExpectedPrefill.Milliseconds())
	}
	return server, true
}

// endsAfterStop reports whether the instance stops before a server could answer, which for a stream means before its first event.
func (r *requestJob) endsAfterStop(now time.Time) bool {
	left, stopping := r.gateway.timeToStop(now)
	return stopping && left < max(minAttemptTime, r.route.TargetLatency)
}

func (r *requestJob) newAttempt(server *backend.Attempt) Attempt {
	remaining := time.Duration(0)
	if !r.deadline.IsZero() {
		remaining = max(time.Millisecond, time.Until(r.deadline))
	}
	return Attempt{
		Request:      r.request,
		Server:       server.Entry,
		Organisation: r.organisation,
		Model:        r.model,
		Remaining:    remaining,
		Urgency:      min(maxPriority, r.priority),
		LastEventID:  r.lastEventID,
		// A server may repeat its refusal on the connection that carried it.
		NewConnection: r.newConnection || slices.Contains(r.refusedBy, server.Entry.ID),
	}
}

// errStopping is the cause with which requests still in flight are cancelled when the instance stops.
var errStopping = errors.New("the instance is shutting down")

// handleSendError records an attempt without an answer and reports whether another attempt may follow.
func (r *requestJob) handleSendError(ctx context.Context, server *backend.Attempt, err error) bool {
	sent, staleConnection := true, false
	var failed *SendError
	if errors.As(err, &failed) {
		sent, staleConnection = failed.Sent, failed.ReusedConnection && !failed.Malformed
	}
	// A server closes idle connections, so a reused connection that fails at once is no evidence against the server, unless bytes came on it that are
	// no answer.
	staleConnection = staleConnection && time.Since(r.attemptStart) < staleConnectionTimeout
	requestEnded := r.requestEnded(ctx)
	result := backend.ResultFailure
	switch {
	case requestEnded || staleConnection:
		result = backend.ResultNeutral
	case !sent:
		result = backend.ResultUnreachable
		r.sentAttempts--
		r.unsentAttempts++
	}
	server.End(result, time.Now())
	r.log("attempt ended without a response from the backend server", "server", server.Entry.ID, "sent", sent,
		"kept_connection", staleConnection, "shared_parts", crashguard.SharedParts(r.request.Prompt), "error", err.Error())
	if sent {
		r.abandoned = r.abandoned || ctx.Err() != nil
		r.recordArrival()
		r.executions++
		r.outcomeUnknown = true
		if r.route.HasPrompt && !staleConnection {
			r.gateway.models.observeFirstEvent(r.service, r.model, time.Since(r.attemptStart), time.Now())
		}
		if !requestEnded && !staleConnection {
			r.observeVersion(server, "", true, 0)
		}
		// A server that accepts no more connections resets new ones at once.
		if !requestEnded && failed != nil && failed.ServerClosed && time.Since(r.attemptStart) >= staleConnectionTimeout {
			r.recordEarlyCrash()
		}
	}
	r.newConnection = staleConnection
	return r.retryOrFinish(!sent)
}

// handleRefusal records an answer that says that the request was not run, and reports whether another attempt may follow.
func (r *requestJob) handleRefusal(server *backend.Attempt, reply *Reply) bool {
	r.refusedBy = append(r.refusedBy, server.Entry.ID)
	result := backend.ResultFailure
	switch {
	case reply.Verdict == VerdictMisdirected:
		result = backend.ResultMisdirected
	case reply.Backoff > 0 || reply.ServerLeaving:
		// A server that leaves or asks for a backoff is not faulty.
		result = backend.ResultNeutral
	default:
		r.observeRefusal(time.Now())
	}
	server.End(result, time.Now())
	r.log("backend server refused the attempt without running it", "server", server.Entry.ID, "moved", reply.Verdict == VerdictMisdirected)
	r.returnToDroppedModel()
	return r.retryOrFinish(true)
}

// handleServerFailure records the failure of a server that ran the request and reports whether another attempt may follow.
func (r *requestJob) handleServerFailure(server *backend.Attempt, reply *Reply) bool {
	r.executions++
	body, err := reply.Body.ReadAll(maxBufferedAnswerBytes)
	server.End(backend.ResultFailure, time.Now())
	r.observeResponse(time.Now())
	r.observeVersion(server, "", true, 0)
	r.log("backend server ran the request and reported a failure", "server", server.Entry.ID, "whole", err == nil)
	if err != nil {
		r.outcomeUnknown = true
		return r.retryOrFinish(false)
	}
	r.serverFailure, r.serverFailureBody = reply, body
	return r.retryOrFinish(false)
}

// handleAnswerWithoutEvents records an answer without events to a request whose stream has begun at another server: it does not continue the
// stream. It reports whether another attempt may follow.
func (r *requestJob) handleAnswerWithoutEvents(server *backend.Attempt) bool {
	r.executions++
	r.outcomeUnknown = true
	server.End(backend.ResultFailure, time.Now())
	r.observeVersion(server, "", true, 0)
	r.log("backend server answered the rest of a stream without events", "server", server.Entry.ID, "after", r.lastEventID)
	return r.retryOrFinish(false)
}

// deliverAnswer reads a complete answer and sends it to the caller. It reports whether another attempt may follow because the
// answer was cut off.
func (r *requestJob) deliverAnswer(server *backend.Attempt, reply *Reply) bool {
	r.executions++
	body, err := reply.Body.ReadAll(maxBufferedAnswerBytes)
	if err != nil {
		server.End(backend.ResultFailure, time.Now())
		if r.ctx.Err() == nil {
			r.observeVersion(server, "", true, 0)
			if r.route.HasPrompt {
				r.recordCrash()
			}
		}
		r.outcomeUnknown = true
		r.log("answer of the backend server could not be read completely", "server", server.Entry.ID, "error", err.Error())
		return r.retryOrFinish(false)
	}
	server.End(backend.ResultSuccess, time.Now())
	r.observeResponse(time.Now())
	r.recordSurvival()
	r.observeVersion(server, "", false, r.answerStart.Sub(r.attemptStart))
	r.recordDelivery(r.caller.Answer(reply, body))
	return false
}

// observeVersion records an answer, or a part of an answer, as evidence on the server's version. Evidence is grouped by route
// and model, because such requests take similar times.
func (r *requestJob) observeVersion(server *backend.Attempt, classSuffix string, bad bool, latency time.Duration) {
	r.gateway.Versions.Observe(r.service.Name, server.Entry.Software, r.route.Name+"/"+r.model+classSuffix, bad, latency)
}

// log logs a decision on the request.
func (r *requestJob) log(message string, attributes ...any) {
	r.gateway.Log.LogAttrs(context.Background(), slog.LevelInfo, message, r.logAttributes(attributes)...)
}

func (r *requestJob) logAttributes(extra []any) []slog.Attr {
	attributes := make([]slog.Attr, 0, 5+len(extra)/2)
	attributes = append(attributes, slog.String("request_id", r.request.ID), slog.String("class", r.route.Name),
		slog.Int64("age_ms", time.Since(r.request.Arrived).Milliseconds()))
	for i := 0; i+1 < len(extra); i += 2 {
		attributes = append(attributes, slog.Any(extra[i].(string), extra[i+1]))
	}
	return attributes
}
