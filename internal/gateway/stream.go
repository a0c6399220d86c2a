package gateway

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/crashguard"
	"github.com/cicadawall/cicadawall/internal/migration"
)

const (
	// paceDeliveryCount is the number of deliveries whose duration is the evidence on the pace of a stream. The duration of a whole
	// stream is not used because it depends on the stream's length and is known too late.
	paceDeliveryCount = 3
)

// errGapTimeout is the cause with which an attempt is cancelled when its stream pauses for too long between two events.
var errGapTimeout = errors.New("pause between events is too long")

// errStreamRepeated is the error of a stream that does not go on after the last event that the caller got.
var errStreamRepeated = errors.New("stream repeats events that were delivered before")

// relayStream forwards the events of a stream as they arrive and reports whether the stream should resume at another server.
func (r *requestJob) relayStream(
	ctx context.Context, server *backend.Attempt, reply *Reply, cancel context.CancelCauseFunc,
) bool {
	r.executions++
	firstAt := time.Now()
	server.RecordPrefill(firstAt)
	r.recordPromptWork(firstAt)
	r.observeVersion(server, "", false, firstAt.Sub(r.attemptStart))
	r.gateway.models.observeFirstEvent(r.service, r.model, firstAt.Sub(r.attemptStart), firstAt)
	if !r.headSent && r.escalate(server, reply) {
		server.End(backend.ResultNeutral, firstAt)
		return true
	}
	r.recordAnswerWork(firstAt)
	timer := r.startGapTimer(cancel)
	defer timer.stop()
	var firstEventAt time.Time
	for delivered := 1; ; delivered++ {
		event, err := reply.Body.Next()
		now := time.Now()
		if err == io.EOF && r.headSent {
			r.recordSurvival()
			server.End(backend.ResultSuccess, now)
			r.recordDelivery(nil)
			return false
		}
		if err != nil {
			if ctx.Err() == nil {
				r.recordCrash()
			}
			return r.handleBrokenStream(ctx, server, delivered-1, err)
		}
		if firstEventAt.IsZero() && !continuesStream(r.lastEventID, event.FirstID) {
			return r.handleBrokenStream(ctx, server, delivered-1, errStreamRepeated)
		}
		if event.LastID != "" {
			// Bytes without an event, such as comments, are no progress.
			timer.reset()
			switch {
			case firstEventAt.IsZero():
				firstEventAt = now
				r.watched.Begun()
			case now.Sub(firstEventAt) >= crashguard.SurvivalTime:
				r.recordSurvival()
			}
		}
		if err := r.relayEvent(reply, event, firstAt); err != nil {
			server.End(backend.ResultNeutral, time.Now())
			r.recordDelivery(err)
			return false
		}
		if delivered == paceDeliveryCount {
			r.observeVersion(server, migration.PaceClassSuffix, false, time.Since(firstAt))
		}
	}
}

// relayEvent sends events to the caller, the first of them preceded by the head of the answer.
func (r *requestJob) relayEvent(reply *Reply, event Event, firstAt time.Time) error {
	if !r.headSent {
		if err := r.caller.Begin(reply); err != nil {
			return err
		}
		r.headSent = true
		r.gateway.Metrics.observeFirstEvent(r, firstAt.Sub(r.request.Arrived))
	}
	if err := r.caller.Write(event.Data); err != nil {
		return err
	}
	if event.LastID != "" {
		r.lastEventID = event.LastID
	}
	r.recordEventTime(time.Now())
	return nil
}

// continuesStream reports whether an event may follow the last one that the caller got. The identifiers of a stream are increasing numbers;
// others cannot be compared.
func continuesStream(last, next string) bool {
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	nextNumber, err := strconv.ParseInt(next, 10, 64)
	return err != nil || nextNumber > lastNumber
}

// recordEventTime updates the time to the first event and the longest pause after a delivery to the caller.
func (r *requestJob) recordEventTime(now time.Time) {
	if r.lastEventAt.IsZero() {
		r.timeToFirstEvent = now.Sub(r.request.Arrived)
	} else {
		r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
}

// handleBrokenStream records a stream that was cut off after some deliveries and reports whether it should resume at another server.
func (r *requestJob) handleBrokenStream(ctx context.Context, server *backend.Attempt, delivered int, err error) bool {
	requestEnded := r.requestEnded(ctx)
	result := backend.ResultFailure
	if requestEnded {
		result = backend.ResultNeutral
	}
	server.End(result, time.Now())
	if !requestEnded {
		r.observeVersion(server, "", true, 0)
	}
	r.outcomeUnknown = true
	r.log("stream of the backend server was interrupted", "server", server.Entry.ID, "after", r.lastEventID, "deliveries", delivered,
		"shared_parts", crashguard.SharedParts(r.request.Prompt), "error", err.Error())
	return r.retryOrFinish(false)
}

// gapTimer cancels an attempt whose stream pauses for too long. Without a timer it does nothing.
type gapTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

func (r *requestJob) startGapTimer(cancel context.CancelCauseFunc) *gapTimer {
	if r.route.TargetGap == 0 || !r.route.Repeatable() || r.executions >= r.route.MaxAttempts {
		return &gapTimer{}
	}
	timeout := time.Duration(gapTimeoutRatio * float64(r.route.TargetGap))
	return &gapTimer{timeout: timeout, timer: time.AfterFunc(timeout, func() { cancel(errGapTimeout) })}
}

func (g *gapTimer) reset() {
	if g.timer != nil {
		g.timer.Reset(g.timeout)
	}
}

func (g *gapTimer) stop() {
	if g.timer != nil {
		g.timer.Stop()
	}
}
