// Package order runs calls of plain services that must not be repeated. Each call has an idempotency key; a claim in the
// table service ensures that at most one call per key reaches a backend server, whatever fails.
package order

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// Request is one call that must not be repeated.
type Request struct {
	Organisation   string
	Service        string
	IdempotencyKey string
	Method         string
	Path           string
	ContentType    string
	Body           []byte
}

// Response is the answer of the backend server, now or at an earlier call under the same key.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed is true if the answer was recorded before this call.
	Replayed      bool
	BackendServer string
}

// Server is a backend server of a plain service.
type Server struct {
	ID string
	// ChecksFencing says that the server refuses a call whose fence is lower than the highest fence it saw for the key.
	ChecksFencing bool
}

// ServerPicker finds backend servers.
type ServerPicker interface {
	// Pick returns a server for a new order. A refusal must have the outcome not_run.
	Pick(organisation, service string) (Server, *fault.Error)
	// Server returns the server with the id, or false if it is gone.
	Server(id string) (Server, bool)
}

// Send is one call to a backend server.
type Send struct {
	// OrderKey identifies the order at the backend server; it is unique over organisations and services.
	OrderKey     string
	Organisation string
	Service      string
	Server       Server
	Fence        int64
	Method       string
	Path         string
	ContentType  string
	Body         []byte
	// SendBefore is the time after which the first byte must not be handed to the transport.
	SendBefore time.Time
}

// SendResult says what is certain about one call.
type SendResult struct {
	// Sent is false only if certainly no byte reached the transport.
	Sent bool
	// StaleFence means that the server refused the call because of its fence and did not run it.
	StaleFence bool
	// Answered means that the whole answer arrived; Status, ContentType and Body hold it.
	Answered    bool
	Status      int
	ContentType string
	Body        []byte
	Err         error
}

// FenceRaise asks a backend server that checks fencing numbers to refuse lower fences for one order.
type FenceRaise struct {
	OrderKey string
	Service  string
	Server   Server
	Fence    int64
}

// FenceResult is the server's answer to a FenceRaise.
type FenceResult struct {
	// Ran means that the order was started under a lower fence. Status is 0 while it is still running.
	Ran         bool
	Status      int
	ContentType string
	Body        []byte
}

// Dispatcher talks to backend servers.
type Dispatcher interface {
	// Send makes one call and never repeats it. It checks SendBefore by the monotonic clock immediately before the first
	// byte. With net/http, set GetBody to nil: the transport repeats a request that has a header Idempotency-Key and a
	// GetBody function when a reused connection fails.
	Send(ctx context.Context, send Send) SendResult
	// Fence raises the fence of one order. It is repeatable.
	Fence(ctx context.Context, raise FenceRaise) (FenceResult, error)
}

// Config holds what a Service needs. Zero durations and functions take the defaults.
type Config struct {
	Table       platform.Table
	Dispatcher  Dispatcher
	Servers     ServerPicker
	Incarnation string
	// NewID returns a unique attempt id; the default is a random UUID.
	NewID func() string
	// Now returns the time with a monotonic reading; the default is time.Now.
	Now func() time.Time
	// ClaimWindow is the time from the start of a claim within which its holder may send; default 5 s.
	ClaimWindow time.Duration
	// StoreTimeout bounds one call to the table service; default 1 s.
	StoreTimeout time.Duration
	// MaxWait bounds one Execute whose context has no deadline; default 30 s.
	MaxWait time.Duration
	// Retention is the time for which a result is replayed; default 24 h.
	Retention time.Duration
	// MaxResultBytes is the longest answer that is kept for repeats; default 256 KiB. Longer ones reach only the first caller.
	MaxResultBytes int
	// PendingLimit bounds the writes that wait for the table service; default 10,000.
	PendingLimit int
}

// Defaults of Config.
const (
	defaultClaimWindow  = 5 * time.Second
	defaultStoreTimeout = time.Second
	defaultMaxWait      = 30 * time.Second
	defaultRetention    = 24 * time.Hour
	// defaultMaxResultBytes keeps rows below common limits of table services.
	defaultMaxResultBytes = 256 << 10
	defaultPendingLimit   = 10_000
)

// Service executes orders at most once.
type Service struct {
	config  Config
	claims  *claims
	pending *pendingTable
}
