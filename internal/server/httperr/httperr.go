// Package httperr maps typed errors to HTTP responses.
package httperr

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
)

var statuses = map[fault.Code]int{
	fault.CodeUnauthenticated:         http.StatusUnauthorized,
	fault.CodeInvalidRequest:          http.StatusBadRequest,
	fault.CodeBodyTooLarge:            http.StatusRequestEntityTooLarge,
	fault.CodeUnknownClass:            http.StatusNotFound,
	fault.CodeUnknownModel:            http.StatusNotFound,
	fault.CodeUnknownService:          http.StatusNotFound,
	fault.CodeNotAllowed:              http.StatusForbidden,
	fault.CodeVersionWithdrawn:        http.StatusConflict,
	fault.CodeTargetUnmet:             http.StatusServiceUnavailable,
	fault.CodeConfigurationStale:      http.StatusServiceUnavailable,
	fault.CodeSessionUnavailable:      http.StatusServiceUnavailable,
	fault.CodeSessionInvalid:          http.StatusBadRequest,
	fault.CodeSessionVersionWithdrawn: http.StatusConflict,
	fault.CodeLimitExceeded:           http.StatusTooManyRequests,
	fault.CodeQueueFull:               http.StatusTooManyRequests,
	fault.CodeDeadlineUnreachable:     http.StatusTooManyRequests,
	fault.CodeDeadlineExceeded:        http.StatusGatewayTimeout,
	fault.CodeDraining:                http.StatusServiceUnavailable,
	fault.CodeNoBackendServer:         http.StatusServiceUnavailable,
	fault.CodeBackendServerFailed:     http.StatusBadGateway,
	fault.CodeStreamCut:               http.StatusBadGateway,
	fault.CodeIdempotencyKeyRequired:  http.StatusBadRequest,
	fault.CodeIdempotencyKeyReused:    http.StatusUnprocessableEntity,
	fault.CodeOrderInProgress:         http.StatusConflict,
	fault.CodeOrderUnknown:            http.StatusBadGateway,
	fault.CodeOrderStoreUnavailable:   http.StatusServiceUnavailable,
	fault.CodeBillingBufferFull:       http.StatusServiceUnavailable,
	fault.CodeBillNotDurable:          http.StatusBadGateway,
}

// Status returns the HTTP status of a code.
func Status(code fault.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Body returns the wire form of a typed error.
func Body(problem *fault.Error, requestID string) api.ErrorBody {
	status := Status(problem.Code)
	family := "server_error"
	switch {
	case status == http.StatusTooManyRequests:
		family = "rate_limit_error"
	case status < http.StatusInternalServerError:
		family = "invalid_request_error"
	}
	return api.ErrorBody{Error: api.ErrorDetail{
		Message:   problem.Message,
		Type:      family,
		Code:      string(problem.Code),
		Outcome:   problem.Outcome,
		RequestId: requestID,
		Step:      string(problem.Step),
		Peer:      problem.Peer,
		Advice:    problem.Advice,
	}}
}

// Write answers a request with a typed error.
func Write(c echo.Context, problem *fault.Error, requestID string) error {
	if problem.RetryAfter > 0 {
		seconds := int((problem.RetryAfter + time.Second - 1) / time.Second)
		c.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	return c.JSON(Status(problem.Code), Body(problem, requestID))
}
