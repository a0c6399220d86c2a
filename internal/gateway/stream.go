package gateway

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/backend"
)

const (
	// paceDeliveries is the number of deliveries after which the pace of a stream is judged. Whole streams differ in length and
	// end too late for that.
	paceDeliveries = 3
	// classPace marks the class under which the pace of streams is counted.
	classPace = "/pace"
)

// errPause ends an attempt whose stream has paused for too long.
var errPause = errors.New("pause between events is too long")

// relay passes the events of a stream on as they arrive and reports whether the stream should go on at another server.
func (r *run) relay(server *backend.Run, reply *Reply, cancel context.CancelCauseFunc) bool {
	r.runs++
	first := time.Now()
	server.Reading(first)
	r.read(first)
	r.observe(server, "", false, first.Sub(r.attemptAt))
	if !r.began && r.escalate(server, reply) {
		server.End(backend.ResultNeutral, first)
		return true
	}
	r.accepted(first)
	watch := r.watchPauses(cancel)
	defer watch.stop()
	for delivered := 1; ; delivered++ {
		event, err := reply.Body.Next()
		if err == io.EOF && r.began {
			server.End(backend.ResultGood, time.Now())
			r.answered(nil)
			return false
		}
		if err != nil {
			return r.broken(server, err)
		}
		watch.event()
		if err := r.pass(reply, event, first); err != nil {
			server.End(backend.ResultNeutral, time.Now())
			r.answered(err)
			return false
		}
		if delivered == paceDeliveries {
			r.observe(server, classPace, false, time.Since(first))
		}
	}
}

// pass delivers events; the head goes out with the first ones.
func (r *run) pass(reply *Reply, event Event, first time.Time) error {
	if !r.began {
		if err := r.caller.Begin(reply); err != nil {
			return err
		}
		r.began = true
		r.gateway.Metrics.first(r, first.Sub(r.request.Arrived))
	}
	if err := r.caller.Write(event.Data); err != nil {
		return err
	}
	if event.Last != "" {
		r.last = event.Last
	}
	r.timed(time.Now())
	return nil
}

// timed records when events went to the caller.
func (r *run) timed(now time.Time) {
	if r.eventAt.IsZero() {
		r.first = now.Sub(r.request.Arrived)
	} else {
		r.pause = max(r.pause, now.Sub(r.eventAt))
	}
	r.eventAt = now
}

// broken handles a stream that ended before its end.
func (r *run) broken(server *backend.Run, err error) bool {
	left := r.ctx.Err() != nil
	result := backend.ResultBad
	if left {
		result = backend.ResultNeutral
	}
	server.End(result, time.Now())
	if !left {
		r.observe(server, "", true, 0)
	}
	r.uncertain = true
	r.log("stream broken", "server", server.Entry.ID, "after", r.last, "error", err.Error())
	return r.again(false)
}

// pauses ends an attempt when its stream pauses for too long.
type pauses struct {
	timer *time.Timer
	limit time.Duration
}

func (r *run) watchPauses(cancel context.CancelCauseFunc) *pauses {
	if r.route.Gap == 0 || !r.route.Repeatable() || r.runs >= r.route.MaxAttempts {
		return &pauses{}
	}
	limit := time.Duration(gapPatience * float64(r.route.Gap))
	return &pauses{limit: limit, timer: time.AfterFunc(limit, func() { cancel(errPause) })}
}

func (p *pauses) event() {
	if p.timer != nil {
		p.timer.Reset(p.limit)
	}
}

func (p *pauses) stop() {
	if p.timer != nil {
		p.timer.Stop()
	}
}
