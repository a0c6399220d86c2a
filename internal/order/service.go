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

// maxIdempotencyKeyBytes is the maximum length of an idempotency key. It keeps row keys below common limits of table
// services.
const maxIdempotencyKeyBytes = 255

// New returns a service with the configuration; zero values are replaced by the defaults.
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
		claims:  &claimStore{table: config.Table, timeout: config.StoreTimeout},
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

// digest returns a hash of the method, path and body of a call. An idempotency key that is used again with another digest is
// refused.
func digest(req Request) string {
	hash := sha256.New()
	fmt.Fprintf(hash, "%d:%s %d:%s ", len(req.Method), req.Method, len(req.Path), req.Path)
	hash.Write(req.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// Execute runs the order unless an earlier call under the same idempotency key ran it, and returns the answer. An error with
// the outcome not_run means that this call has not caused and will not cause an execution. Execute ignores the cancellation
// of the context, because the result must be recorded; it ends at the deadline of the context or after Config.MaxWait.
func (s *Service) Execute(ctx context.Context, req Request) (Response, *fault.Error) {
	if refused := s.checkRequest(req); refused != nil {
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

func (s *Service) checkRequest(req Request) *fault.Error {
	if req.IdempotencyKey == "" {
		return fault.NotRun(fault.StepClaim, fault.CodeIdempotencyKeyRequired, "this call must not be repeated and needs an idempotency key").
			WithAdvice("send the header Idempotency-Key with a value that is unique for the order")
	}
	if len(req.IdempotencyKey) > maxIdempotencyKeyBytes {
		return fault.NotRun(fault.StepClaim, fault.CodeInvalidRequest,
			fmt.Sprintf("the idempotency key has %d bytes; the limit is %d", len(req.IdempotencyKey), maxIdempotencyKeyBytes))
	}
	if !s.pending.hasCapacity() {
		return storeUnavailable("too many order results are waiting to be written to the table service")
	}
	return nil
}

func storeUnavailable(message string) *fault.Error {
	return fault.NotRun(fault.StepClaim, fault.CodeOrderStoreUnavailable, message).
		WithAdvice("repeat under the same idempotency key").
		WithRetryAfter(time.Second)
}
