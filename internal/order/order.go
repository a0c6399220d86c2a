// Package order executes calls of plain services at most once. Each call has an idempotency key, and a claim in the table
// service ensures that at most one call per key runs at a backend server, whichever component fails.
package order

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// Request is one call of a plain service that must run at most once.
type Request struct {
	Organisation   string
	Service        string
	IdempotencyKey string
	Method         string
	Path           string
	ContentType    string
	Body           []byte
}

// Response is the answer of the backend server to this call or to an earlier call under the same idempotency key.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed says that the order ran for an earlier call or send, and that the answer is its recorded result.
	Replayed      bool
	BackendServer string
}

// Server is a backend server of a plain service.
type Server struct {
	ID string
	// ChecksFencing says that the server refuses a call whose fence is lower than the highest fence that it received for the
	// order key.
	ChecksFencing bool
}

// ServerPicker selects backend servers for orders and looks them up.
type ServerPicker interface {
	// Pick selects a server for a new order. An error must have the outcome not_run.
	Pick(organisation, service string) (Server, *fault.Error)
	// Server returns the server with the id, or false if there is no such server any more.
	Server(id string) (Server, bool)
}

// Send is one call to a backend server.
type Send struct {
	// OrderKey identifies the order at the backend server. It is unique across organisations and services.
	OrderKey     string
	Organisation string
	Service      string
	Server       Server
	Fence        int64
	Method       string
	Path         string
	ContentType  string
	Body         []byte
	// SendBefore is the time from which the first byte must no longer be handed to the transport.
	SendBefore time.Time
}

// SendResult says what is known for certain about one call.
type SendResult struct {
	// Sent is false only if it is certain that no byte reached the transport.
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

// FenceRaise asks a backend server that checks fencing tokens to refuse sends of one order under a lower fence.
type FenceRaise struct {
	OrderKey string
	Service  string
	Server   Server
	Fence    int64
}

// FenceResult is the server's answer to a FenceRaise.
type FenceResult struct {
	// Ran means that the server started the order under a lower fence. Status is 0 while the order is still running.
	Ran         bool
	Status      int
	ContentType string
	Body        []byte
}

// Dispatcher sends orders and fences to backend servers.
type Dispatcher interface {
	// Send makes one call and never retries it. It checks SendBefore on the monotonic clock immediately before the first
	// byte. With net/http, set GetBody to nil: the transport retries a request that has a header Idempotency-Key and a
	// GetBody function when a reused connection fails.
	Send(ctx context.Context, send Send) SendResult
	// RaiseFence raises the fence of one order at its backend server. It is idempotent.
	RaiseFence(ctx context.Context, raise FenceRaise) (FenceResult, error)
}

// Config holds the dependencies and settings of a Service. Zero durations, sizes and functions are replaced by the defaults.
type Config struct {
	Table       platform.Table
	Dispatcher  Dispatcher
	Servers     ServerPicker
	Incarnation string
	// NewID returns a unique attempt id; the default is a random UUID.
	NewID func() string
	// Now returns the time with a monotonic reading; the default is time.Now.
	Now func() time.Time
	// ClaimWindow is the time after the start of a claim within which its holder may send the order; default 5 s.
	ClaimWindow time.Duration
	// StoreTimeout is the timeout of one call to the table service; default 1 s.
	StoreTimeout time.Duration
	// MaxWait is the timeout of Execute if its context has no deadline; default 30 s.
	MaxWait time.Duration
	// Retention is the time for which a result is replayed; default 24 h.
	Retention time.Duration
	// MaxResultBytes is the longest answer body that is recorded for replays; default 256 KiB. A longer body is returned only
	// to the call that ran the order.
	MaxResultBytes int
	// PendingLimit is the number of pending writes to the table service from which new orders are refused; default 10,000.
	PendingLimit int
}

// Defaults of Config.
const (
	defaultClaimWindow  = 5 * time.Second
	defaultStoreTimeout = time.Second
	defaultMaxWait      = 30 * time.Second
	defaultRetention    = 24 * time.Hour
	// defaultMaxResultBytes keeps rows below the common size limits of table services.
	defaultMaxResultBytes = 256 << 10
	defaultPendingLimit   = 10_000
)

// Service executes orders at most once.
type Service struct {
	config  Config
	claims  *claimStore
	pending *pendingTable
}
