// Package dispatch is the request path: the jobs that a worker carries from dispatch to the last byte. It decides with the
// routing, cascade and retry packages and knows no wire format.
package dispatch

import (
	"context"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// EventKind tells what an event of a reply carries.
type EventKind int

// Kinds of events, in the order in which a successful reply has them: one start, any number of texts, one end.
const (
	EventStart EventKind = iota
	EventText
	EventEnd
)

// Event is one part of a reply on its way from a worker to the front end.
type Event struct {
	Kind EventKind
	// Version and Session are set on EventStart.
	Version declaration.VersionID
	Session string
	// Text is set on EventText.
	Text string
	// FinishReason and Usage are set on EventEnd.
	FinishReason string
	Usage        api.Usage
	// Plain is set on EventEnd of a plain service call.
	Plain *PlainResponse
}

// PlainResponse is the answer of a plain service.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed tells that the answer was recorded by an earlier request with the same idempotency key.
	Replayed bool
}

// replyBuffer is the number of events that may wait for a slow caller before the worker blocks.
const replyBuffer = 64

// Reply carries the events of one request from its worker to the front end.
type Reply struct {
	events chan Event
	// failure is written before events is closed and read after.
	failure *fault.Error
}

// NewReply returns an open reply.
func NewReply() *Reply { return &Reply{events: make(chan Event, replyBuffer)} }

// Send hands over an event; it fails when the context ends before the front end takes it.
func (r *Reply) Send(ctx context.Context, event Event) error {
	select {
	case r.events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Finish ends the reply; problem is nil after an EventEnd. Only the worker calls it, once.
func (r *Reply) Finish(problem *fault.Error) {
	r.failure = problem
	close(r.events)
}

// Next returns the next event. It returns false at the end of the reply, with its error if there is one, and when the
// context ends.
func (r *Reply) Next(ctx context.Context) (Event, bool, *fault.Error) {
	select {
	case event, ok := <-r.events:
		if !ok {
			return Event{}, false, r.failure
		}
		return event, true, nil
	case <-ctx.Done():
		return Event{}, false, fault.Unknown(fault.StepStream, fault.CodeCallerGone, "the caller left").WithCause(ctx.Err())
	}
}

// Ready reports whether an event waits, so that a front end can write several events before it flushes.
func (r *Reply) Ready() bool { return len(r.events) > 0 }
