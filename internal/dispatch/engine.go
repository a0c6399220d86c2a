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
	// CompletionID names the answer; all attempts that resume it share the id.
	CompletionID string
	Version      declaration.VersionID
	Body         api.ChatCompletionRequest
	Priority     int
	// ResumeAfter is the sequence number of the last chunk that arrived; 0 starts from the beginning.
	ResumeAfter int64
	// Permitted is asked immediately before the first byte is sent; an error stops the attempt unsent.
	Permitted func() error
}

// AttemptError says how an attempt failed and what is certain about it.
type AttemptError struct {
	// Sent is false only if certainly no byte reached the transport.
	Sent bool
	// Refused means that the engine answered that it did not run the attempt.
	Refused bool
	// Status is the HTTP status of the engine's answer; 0 if there was none.
	Status int
	Cause  error
}

// Error implements error.
func (e *AttemptError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Chunks is the answer of an engine as it arrives. Only one goroutine uses it.
type Chunks interface {
	// Next returns the next chunk as the engine sent it. io.EOF means that the connection ended.
	Next(ctx context.Context) (stream.Chunk, error)
	// Close cancels the attempt if it still runs.
	Close()
}

// Engine sends attempts to model engines.
type Engine interface {
	Start(ctx context.Context, server table.Server, attempt Attempt) (Chunks, *AttemptError)
}

// PlainCall is one call of a plain service.
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

// PlainSender sends calls that may be repeated to plain services.
type PlainSender interface {
	Call(ctx context.Context, call PlainCall) (*PlainResponse, *AttemptError)
}
