// Package httperr maps the errors of package fault to HTTP responses.
package httperr

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
)

var statusByCode = map[fault.Code]int{
	fault.CodeUnauthenticated:         http.StatusUnauthorized,
	fault.CodeInvalidRequest:          http.StatusBadRequest,
	fault.CodeBodyTooLarge:            http.StatusRequestEntityTooLarge,
	fault.CodeUnknownClass:            http.StatusNotFound,
	fault.CodeUnknownModel:            http.StatusNotFound,
	fault.CodeUnknownService:          http.StatusNotFound,
	fault.CodeNotAllowed:              http.StatusForbidden,
	fault.CodePromptHeld:              http.StatusServiceUnavailable,
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
	fault.CodeOverloaded:              http.StatusServiceUnavailable,
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

// Status returns the HTTP status of an error code; 500 for a code without one of its own.
func Status(code fault.Code) int {
	if status, ok := statusByCode[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Body returns the JSON form of an error.
func Body(problem *fault.Error, requestID string) api.ErrorBody {
	status := Status(problem.Code)
	errorType := "server_error"
	switch {
	case status == http.StatusTooManyRequests:
		errorType = "rate_limit_error"
	case status < http.StatusInternalServerError:
		errorType = "invalid_request_error"
	}
	return api.ErrorBody{Error: api.ErrorDetail{
		Message:   problem.Message,
		Type:      errorType,
		Code:      string(problem.Code),
		Outcome:   problem.Outcome,
		RequestId: requestID,
		Step:      string(problem.Step),
		Peer:      problem.Peer,
		Advice:    problem.Advice,
	}}
}

// Write answers a request with an error. The Retry-After header is rounded up to whole seconds.
func Write(c echo.Context, problem *fault.Error, requestID string) error {
	if problem.RetryAfter > 0 {
		seconds := int((problem.RetryAfter + time.Second - 1) / time.Second)
		c.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	return c.JSON(Status(problem.Code), Body(problem, requestID))
}
