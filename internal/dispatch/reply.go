// Package dispatch implements the request path: it admits requests and runs them as jobs on the worker pool up to the end of
// the reply. It takes its decisions from the routing, cascade and retry packages and does not depend on a wire format.
package dispatch

import (
	"context"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// EventKind is the kind of an event of a reply.
type EventKind int

// Kinds of events. A successful model reply consists of one start, any number of texts and one end, in this order; the reply
// of a plain service call is one end.
const (
	EventStart EventKind = iota
	EventText
	EventEnd
)

// Event is one part of a reply, sent from the worker to the front end.
type Event struct {
	Kind EventKind
	// Version and Session, the session handle, are set on EventStart.
	Version declaration.VersionID
	Session string
	// Text is set on EventText.
	Text string
	// FinishReason and Usage are set on EventEnd.
	FinishReason string
	Usage        api.Usage
	// PlainResponse is set on EventEnd of a plain service call.
	PlainResponse *PlainResponse
}

// PlainResponse is the response of a plain service.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed means that the response is the recorded result of an earlier request with the same idempotency key.
	Replayed bool
}

// replyBufferEvents is the number of events that are buffered for a slow caller before the worker blocks.
const replyBufferEvents = 64

// Reply transfers the events of one request from its worker to the front end.
type Reply struct {
	events chan Event
	// failure is written before events is closed and read only afterwards.
	failure *fault.Error
}

// NewReply returns an open reply.
func NewReply() *Reply { return &Reply{events: make(chan Event, replyBufferEvents)} }

// Send buffers an event for the front end. It blocks while the buffer is full and fails if the context ends first.
func (r *Reply) Send(ctx context.Context, event Event) error {
	select {
	case r.events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Finish ends the reply; problem is nil after an EventEnd. It must be called exactly once, and not concurrently with Send.
func (r *Reply) Finish(problem *fault.Error) {
	r.failure = problem
	close(r.events)
}

// Next returns the next event. It returns false at the end of the reply, with the error of a failed request, and when the
// context ends.
func (r *Reply) Next(ctx context.Context) (Event, bool, *fault.Error) {
	select {
	case event, ok := <-r.events:
		if !ok {
			return Event{}, false, r.failure
		}
		return event, true, nil
	case <-ctx.Done():
		return Event{}, false, fault.Unknown(fault.StepStream, fault.CodeCallerGone, "the caller disconnected").WithCause(ctx.Err())
	}
}

// HasBuffered reports whether an event is buffered, so that a front end can write several events before it flushes.
func (r *Reply) HasBuffered() bool { return len(r.events) > 0 }
