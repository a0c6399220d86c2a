package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/crashguard"
)

const (
	// maxCrashesPerRequest is the number of servers that may end while they begin to answer one request. A second one tells a fault of
	// the first server from one of the request.
	maxCrashesPerRequest = 2
	heldMessage          = "backend servers crash when they answer prompts like this one"
)

// errPromptHeld is the cause with which an attempt is cancelled when its prompt becomes held.
var errPromptHeld = errors.New("prompt is held because backend servers crash when they answer it")

// isHeld reports whether the request must not be sent to a server because it would probably crash it.
func (r *requestJob) isHeld(now time.Time) bool {
	if r.trace == nil {
		r.hold = r.gateway.Crashes.Check(r.service.Name, r.request.Prompt, r.hold.Trial, now)
	} else {
		r.hold = r.gateway.Crashes.Preview(r.service.Name, r.request.Prompt, r.hold.Trial, now)
	}
	return r.hold.Held
}

// watchForCrash watches the current attempt until its answer has survived.
func (r *requestJob) watchForCrash(server *backend.Attempt, cancel context.CancelCauseFunc) *crashguard.Attempt {
	process := server.Entry.ID + "@" + strconv.FormatInt(server.Entry.StartedUnixMillis, 10)
	return r.gateway.Crashes.Begin(r.service.Name, process, r.request.ID, r.request.Prompt, r.hold.Trial, func() { cancel(errPromptHeld) })
}

// recordCrash records that the server ended after it had begun an answer and before the answer had survived. Only an end before the first
// event keeps the request from a third server: a stream that made progress is resumed as often as its route allows.
func (r *requestJob) recordCrash() {
	if r.survived {
		return
	}
	if r.lastEventID == "" {
		r.crashes++
	}
	r.watched.Crashed(false, time.Now())
}

// recordEarlyCrash records that the server ended before it had begun an answer. Most requests to which this happens only waited at a server
// that ended for another reason, so it does not keep the request from further servers.
func (r *requestJob) recordEarlyCrash() {
	if !r.survived {
		r.watched.Crashed(true, time.Now())
	}
}

// recordSurvival records that an answer to the request does not crash its server. An answer says nothing of a prompt that has turned harmful
// since the server began it.
func (r *requestJob) recordSurvival() {
	if !r.survived {
		r.survived = true
		r.watched.Survived(r.answerStart, time.Now())
	}
}

// requestEnded reports whether an attempt failed because its request ended or is held, which says nothing about the server.
func (r *requestJob) requestEnded(attempt context.Context) bool {
	return r.ctx.Err() != nil || errors.Is(context.Cause(attempt), errPromptHeld)
}
