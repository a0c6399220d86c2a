package gateway

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// Request is one request of a caller, decoded as far as routing decisions need it. Encoded and Body are passed on unchanged.
type Request struct {
	ID   string
	Host string
	// Path is the raw path without the query.
	Path string
	// Key is the caller's API key; empty if there is none.
	Key string
	// Timeout is how long the caller waits, from Arrived on; zero if the request does not state it.
	Timeout time.Duration
	Arrived time.Time
	// Model is empty on requests without a prompt.
	Model string
	// AnyModel is set if the caller leaves the choice of the model to the gateway.
	AnyModel     bool
	Prompt       []backend.PromptPart
	OutputTokens int
	// LastEventID is the last event that the caller received in an earlier request, after which the answer resumes; empty if
	// there is none.
	LastEventID string
	Body        []byte
	// Encoded is the front end's form of the request.
	Encoded any
}

// sessionID identifies the caller's session by a part of the prompt. The last part may belong to the request alone, while the
// part before it is the same for all requests of a session. A request without a prompt is identified by its own ID.
func (r *Request) sessionID() string {
	switch len(r.Prompt) {
	case 0:
		return r.ID
	case 1:
		return r.Prompt[0].ID
	default:
		return r.Prompt[len(r.Prompt)-2].ID
	}
}

// Attempt is one attempt of a request at one backend server.
type Attempt struct {
	Request      *Request
	Server       backend.Entry
	Organisation string
	// Model, if not empty, replaces the model of the request.
	Model string
	// Remaining is the time left until the deadline; zero if there is none.
	Remaining time.Duration
	// Urgency is the priority of the request in the server's queue, from 0, the most urgent, to 9.
	Urgency int
	// LastEventID is the last event of this answer that was delivered to the caller, after which the server resumes; empty if
	// there is none.
	LastEventID string
	// NewConnection is set if the attempt must not reuse an idle connection.
	NewConnection bool
}

// Verdict is what the head of an answer says about the execution of the request.
type Verdict int

// The verdicts of answers.
const (
	// VerdictSuccess is a success with the server's response seal.
	VerdictSuccess Verdict = iota
	// VerdictFailure is a failure of a server that ran the request.
	VerdictFailure
	// VerdictNotRun is a refusal: the server has not run the request and will not.
	VerdictNotRun
	// VerdictMisdirected says that another server listens on the address; the request was not run.
	VerdictMisdirected
)

// Reply is the head of a server's answer. Body must be closed.
type Reply struct {
	Verdict Verdict
	// Confidence is the model's confidence in its answer, from 0 to 100, or -1 if the server states none.
	Confidence int
	// ServerLeaving is set if the server says that it leaves, and Backoff is how long it asks to get no requests; zero if it does not.
	ServerLeaving bool
	Backoff       time.Duration
	// InvalidSignal describes a header about leaving or waiting that cannot be understood; empty if there is none.
	InvalidSignal string
	// IsEventStream is set if the body is a stream of events.
	IsEventStream bool
	Body          Body
	// Encoded is the front end's form of the head.
	Encoded any
}

// Event is one or more complete events of a stream.
type Event struct {
	// FirstID and LastID are the identifiers of the first and the last event in Data that have one; empty if none has.
	FirstID string
	LastID  string
	Data    []byte
}

// Body is the body of a server's answer.
type Body interface {
	// ReadAll reads the whole body. It returns an error if the body is longer than limit bytes or incomplete.
	ReadAll(limit int) ([]byte, error)
	// Next returns the events that have arrived and waits if there are none. It returns io.EOF only after a complete stream.
	Next() (Event, error)
	Close()
}

// SendError reports an attempt that got no answer.
type SendError struct {
	// Sent is false if no byte was written to the server.
	Sent bool
	// ServerClosed is true if the server closed or reset the connection.
	ServerClosed bool
	// Malformed is true if the server sent bytes that are no answer.
	Malformed bool
	// ReusedConnection is true if the connection had served an earlier request.
	ReusedConnection bool
	Cause            error
}

// Error implements error.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Backends sends attempts to backend servers.
type Backends interface {
	// Send returns the head of the answer, or a *SendError. The context must not end before the body is closed: when it ends, the
	// connection is closed, which cancels the request at the server.
	Send(ctx context.Context, attempt Attempt) (*Reply, error)
}

// Caller receives the answer to one request. The methods are called by one goroutine at a time.
type Caller interface {
	// Answer delivers a complete answer of a server.
	Answer(reply *Reply, body []byte) error
	// Begin delivers the head of an answer whose body follows.
	Begin(reply *Reply) error
	// Write delivers a part of the body without buffering it.
	Write(data []byte) error
	// Refuse delivers an error of this instance instead of an answer of a server.
	Refuse(refusal *fault.Error)
	// Abort ends an answer that has begun in such a way that it does not look complete.
	Abort()
}
