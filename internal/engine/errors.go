package engine

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/httpsend"
)

// Kind classifies failed calls by what is known about them.
type Kind int

// Kinds of failed calls.
const (
	// KindNotSent means that no byte of the request left this process.
	KindNotSent Kind = iota + 1
	// KindNoResponse means that the request may have been sent and no response arrived.
	KindNoResponse
	// KindRefused means that the backend server answered that it did not run the request.
	KindRefused
	// KindFailed means that the backend server answered with an error and may have run the request.
	KindFailed
	// KindInterrupted means that the response started but was incomplete: the connection ended or the stream stalled.
	KindInterrupted
	// KindMalformed means that the response cannot be decoded or is too large.
	KindMalformed
	// KindStaleFence means that the backend server refused a stale fencing token and did not run the request.
	KindStaleFence
)

var kindNames = map[Kind]string{
	KindNotSent: "not sent", KindNoResponse: "no response", KindRefused: "refused", KindFailed: "failed",
	KindInterrupted: "interrupted", KindMalformed: "malformed", KindStaleFence: "stale fencing token",
}

// String returns a description for error messages.
func (k Kind) String() string { return kindNames[k] }

// Error describes a failed call to a backend server. It states what is known; the package that uses it decides about retries.
type Error struct {
	Kind Kind
	// Operation names the kind of call, for example "chat completion".
	Operation string
	// Address is the IP:port of the backend server.
	Address string
	// Status is the HTTP status, or 0 if no response arrived.
	Status int
	// Code and Message come from the error body, if there was one.
	Code    string
	Message string
	// RetryAfter is the delay that the backend server requested in the Retry-After header; zero means none.
	RetryAfter time.Duration
	// Load is the load report from the response header, or nil.
	Load  *LoadReport
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s at %s: %s", e.Operation, e.Address, e.Kind)
	if e.Status != 0 {
		text = fmt.Sprintf("%s: status %d %s %s", text, e.Status, e.Code, e.Message)
	}
	if e.Cause != nil {
		text = fmt.Sprintf("%s: %v", text, e.Cause)
	}
	return text
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Cause }

// NotRun reports whether the backend server certainly has not run the request and will not.
func (e *Error) NotRun() bool {
	return e.Kind == KindNotSent || e.Kind == KindRefused || e.Kind == KindStaleFence
}

// sendError returns the Error for a request that got no response.
func sendError(operation, address string, err error) *Error {
	kind := KindNoResponse
	var failure *httpsend.Error
	if errors.As(err, &failure) && !failure.Sent {
		kind = KindNotSent
	}
	return &Error{Kind: kind, Operation: operation, Address: address, Cause: err}
}

// statusKind returns the kind for an error status. By the adapter's contract, 503 and the statuses below 500 mean that the
// request was not run. The exception is 408, which servers send when they give up on a request that may have started.
func statusKind(status int) Kind {
	switch {
	case status == http.StatusRequestTimeout:
		return KindFailed
	case status == http.StatusServiceUnavailable, status >= 400 && status < 500:
		return KindRefused
	}
	return KindFailed
}
