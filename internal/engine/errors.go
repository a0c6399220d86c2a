package engine

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/httpsend"
)

// Kind sorts failed calls by what is known about them.
type Kind int

// Kinds of failed calls.
const (
	// KindNotSent means that certainly no byte of the request left this process.
	KindNotSent Kind = iota + 1
	// KindNoReply means that the request may have been sent and no response arrived.
	KindNoReply
	// KindRefused means that the backend server answered that it did not take the request.
	KindRefused
	// KindFailed means that the backend server answered with an error and may have run the request.
	KindFailed
	// KindCut means that the response ended, or was silent for too long, before its end.
	KindCut
	// KindMalformed means that the response cannot be read or is too large.
	KindMalformed
	// KindOldFence means that the backend server refused an old fencing number.
	KindOldFence
)

var kindNames = map[Kind]string{
	KindNotSent: "not sent", KindNoReply: "no reply", KindRefused: "refused", KindFailed: "failed",
	KindCut: "cut", KindMalformed: "malformed", KindOldFence: "old fencing number",
}

// String returns the kind in words.
func (k Kind) String() string { return kindNames[k] }

// Error is a failed call to a backend server. It states facts; what follows from them is decided elsewhere.
type Error struct {
	Kind Kind
	// Step names the call, for example "chat completion".
	Step string
	// Peer is the address of the backend server.
	Peer string
	// Status is the HTTP status, or 0 if no response arrived.
	Status int
	// Code and Message come from the error body, if there was one.
	Code    string
	Message string
	// RetryAfter is the wait that the backend server asked for; zero means none.
	RetryAfter time.Duration
	// Load is the load report that came with the response, if any.
	Load  *LoadReport
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s at %s: %s", e.Step, e.Peer, e.Kind)
	if e.Status != 0 {
		text = fmt.Sprintf("%s: status %d %s %s", text, e.Status, e.Code, e.Message)
	}
	if e.Cause != nil {
		text = fmt.Sprintf("%s: %v", text, e.Cause)
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NotRun reports whether the backend server certainly has not run the request and will not.
func (e *Error) NotRun() bool {
	return e.Kind == KindNotSent || e.Kind == KindRefused || e.Kind == KindOldFence
}

// sendError types a request without a response.
func sendError(step, peer string, err error) *Error {
	kind := KindNoReply
	var failed *httpsend.Error
	if errors.As(err, &failed) && !failed.Sent {
		kind = KindNotSent
	}
	return &Error{Kind: kind, Step: step, Peer: peer, Cause: err}
}

// statusKind types an error status. The adapter promises that 503 and the statuses below 500 mean "not run", except 408,
// which servers send for requests that they gave up on.
func statusKind(status int) Kind {
	switch {
	case status == http.StatusRequestTimeout:
		return KindFailed
	case status == http.StatusServiceUnavailable, status >= 400 && status < 500:
		return KindRefused
	}
	return KindFailed
}
