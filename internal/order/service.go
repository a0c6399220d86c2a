package order

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/url"
	"time"

	"github.com/google/uuid"

	"github.com/cicadawall/cicadawall/internal/fault"
)

// maxKeyLength is the longest idempotency key in bytes; it keeps row keys below common limits of table services.
const maxKeyLength = 255

// New returns a service.
func New(config Config) *Service {
	if config.NewID == nil {
		config.NewID = uuid.NewString
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	config.ClaimWindow = orDefault(config.ClaimWindow, defaultClaimWindow)
	config.StoreTimeout = orDefault(config.StoreTimeout, defaultStoreTimeout)
	config.MaxWait = orDefault(config.MaxWait, defaultMaxWait)
	config.Retention = orDefault(config.Retention, defaultRetention)
	if config.MaxResultBytes == 0 {
		config.MaxResultBytes = defaultMaxResultBytes
	}
	if config.PendingLimit == 0 {
		config.PendingLimit = defaultPendingLimit
	}
	return &Service{
		config:  config,
		claims:  &claims{table: config.Table, timeout: config.StoreTimeout},
		pending: newPendingTable(config.PendingLimit),
	}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// RowKey returns the key of the order's row in the table service.
func RowKey(organisation, service, idempotencyKey string) string {
	return "order/" + url.PathEscape(organisation) + "/" + url.PathEscape(service) + "/" + url.PathEscape(idempotencyKey)
}

// digest identifies the content of a call: a key that comes back with another digest is refused.
func digest(req Request) string {
	hash := sha256.New()
	fmt.Fprintf(hash, "%d:%s %d:%s ", len(req.Method), req.Method, len(req.Path), req.Path)
	hash.Write(req.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// Execute runs the order unless a call under the same key did, and returns the answer. An error with the outcome not_run
// means that this call caused and will cause no execution. Execute does not end early when the context is cancelled,
// because the result must be recorded; it ends at the context's deadline or after Config.MaxWait.
func (s *Service) Execute(ctx context.Context, req Request) (Response, *fault.Error) {
	if refused := s.check(req); refused != nil {
		return Response{}, refused
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = s.config.Now().Add(s.config.MaxWait)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	e := &execution{
		service: s,
		req:     req,
		key:     RowKey(req.Organisation, req.Service, req.IdempotencyKey),
		digest:  digest(req),
	}
	return e.run(ctx)
}

func (s *Service) check(req Request) *fault.Error {
	if req.IdempotencyKey == "" {
		return fault.NotRun(fault.StepClaim, fault.CodeIdempotencyKeyRequired, "this call must not be repeated and needs an idempotency key").
			WithAdvice("send the header Idempotency-Key with a value that is unique for the order")
	}
	if len(req.IdempotencyKey) > maxKeyLength {
		return fault.NotRun(fault.StepClaim, fault.CodeInvalidRequest,
			fmt.Sprintf("the idempotency key has %d bytes; the limit is %d", len(req.IdempotencyKey), maxKeyLength))
	}
	if !s.pending.room() {
		return storeUnavailable("too many order results wait for the table service")
	}
	return nil
}

func storeUnavailable(message string) *fault.Error {
	return fault.NotRun(fault.StepClaim, fault.CodeOrderStoreUnavailable, message).
		WithAdvice("repeat under the same idempotency key").
		WithRetryAfter(time.Second)
}
