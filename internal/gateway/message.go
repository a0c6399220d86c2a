package gateway

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// Request is one attempt of a caller, decoded as far as decisions need it. Encoded and Body go to the server unchanged.
type Request struct {
	ID   string
	Host string
	// Path is the raw path without the query.
	Path string
	Key  string
	// Patience is how long the caller waits, from Arrived; zero if it does not say.
	Patience time.Duration
	Arrived  time.Time
	// Model is empty on requests without a prompt.
	Model string
	// AnyModel leaves the choice of the model to the system.
	AnyModel     bool
	Prompt       []backend.Part
	OutputTokens int
	// After is the last event that the caller has from an earlier request; empty if it has none.
	After string
	Body  []byte
	// Encoded is the front end's form of the request.
	Encoded any
}

// session returns what names the caller's session. The last part of a prompt may belong to the request alone, the one before
// it is the same for all requests of a session.
func (r *Request) session() string {
	switch len(r.Prompt) {
	case 0:
		return r.ID
	case 1:
		return r.Prompt[0].ID
	default:
		return r.Prompt[len(r.Prompt)-2].ID
	}
}

// Attempt is one request for one backend server.
type Attempt struct {
	Request      *Request
	Server       backend.Entry
	Organisation string
	// Model goes to the server in place of the request's, if not empty.
	Model string
	// Remaining is the time that is left for the answer; zero if there is no limit.
	Remaining time.Duration
	// Urgency orders requests at the server, from 0, the first, to 9.
	Urgency int
	// After is the last event that the caller has; empty if it has none of this answer.
	After string
	// Fresh asks for a new connection.
	Fresh bool
}

// Verdict is what an answer says about the request's run.
type Verdict int

// Verdicts of answers.
const (
	// VerdictSuccess is a success with the server's seal.
	VerdictSuccess Verdict = iota
	// VerdictFailure is a failure of a server that ran the request.
	VerdictFailure
	// VerdictNotRun is a refusal: the server has not run the request and will not.
	VerdictNotRun
	// VerdictMoved says that another server has the address; the request was not run.
	VerdictMoved
)

// Reply is the head of a server's answer. Body must be closed.
type Reply struct {
	Verdict Verdict
	// Confidence is the model's opinion of its answer, 0 to 100, or -1 if it gave none.
	Confidence int
	// Events is set if the body is a series of events.
	Events bool
	Body   Body
	// Encoded is the front end's form of the head.
	Encoded any
}

// Event is one or more complete events of a stream.
type Event struct {
	// Last is the identifier of the last event in Data.
	Last string
	Data []byte
}

// Body is the body of a server's answer.
type Body interface {
	// All reads the whole body up to the limit. It returns ErrTooLong beyond it, and an error if the body is cut.
	All(limit int) ([]byte, error)
	// Next returns the events that are there, waiting for the first. io.EOF is the proper end of the stream.
	Next() (Event, error)
	Close()
}

// SendError is an attempt without an answer.
type SendError struct {
	// Sent is false if no byte was written to the server.
	Sent bool
	// Stale is true if the connection had been kept from an earlier request.
	Stale bool
	Cause error
}

// Error implements error.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Backends sends attempts to backend servers.
type Backends interface {
	// Send returns the head of the answer, or a *SendError. The context must live until the body is closed; when it ends the
	// server is told by closing the connection.
	Send(ctx context.Context, attempt Attempt) (*Reply, error)
}

// Caller takes the answer of one request. The methods are called by one goroutine at a time.
type Caller interface {
	// Answer delivers a complete answer of a server.
	Answer(reply *Reply, body []byte) error
	// Begin delivers the head of an answer whose body follows.
	Begin(reply *Reply) error
	// Write delivers a part of the body at once.
	Write(data []byte) error
	// Refuse delivers an answer of this instance.
	Refuse(refusal *fault.Error)
	// Cut ends an answer that has begun so that it does not look complete.
	Cut()
}
