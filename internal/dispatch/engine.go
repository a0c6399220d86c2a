package dispatch

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/engine/stream"
	"github.com/cicadawall/cicadawall/internal/table"
)

// Attempt is one attempt of a request on a model engine.
type Attempt struct {
	// CompletionID identifies the answer; all attempts that resume it have the same id.
	CompletionID string
	Version      declaration.VersionID
	Body         api.ChatCompletionRequest
	Priority     int
	// ResumeAfter is the sequence number of the last chunk received in order; 0 starts from the beginning.
	ResumeAfter int64
	// CheckPermit is called immediately before the first byte is sent; if it returns an error, nothing is sent.
	CheckPermit func() error
}

// AttemptError reports why an attempt failed and how far it is known to have come.
type AttemptError struct {
	// Sent is false only if it is certain that no byte was handed to the transport.
	Sent bool
	// Refused means that the backend server answered that it did not run the attempt.
	Refused bool
	// Status is the HTTP status of the response; 0 if there was none.
	Status int
	Cause  error
}

// Error implements error.
func (e *AttemptError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// ChunkStream reads the chunks of an engine's answer as they arrive. It is not safe for concurrent use.
type ChunkStream interface {
	// Next returns the next chunk in the order of arrival, or io.EOF when the connection has ended.
	Next(ctx context.Context) (stream.Chunk, error)
	// Close cancels the attempt if it is still running.
	Close()
}

// Engine sends attempts to model engines.
type Engine interface {
	// Start sends an attempt to a backend server and returns the stream of its answer.
	Start(ctx context.Context, server table.Server, attempt Attempt) (ChunkStream, *AttemptError)
}

// PlainCall is one attempt of a plain service call on a backend server.
type PlainCall struct {
	Organisation string
	Service      string
	Server       table.Server
	Method       string
	Path         string
	ContentType  string
	Body         []byte
	Timeout      time.Duration
}

// PlainSender sends repeatable calls to plain services.
type PlainSender interface {
	Call(ctx context.Context, call PlainCall) (*PlainResponse, *AttemptError)
}
