// Package operatorhttp serves the configuration calls of the operator API over HTTP.
package operatorhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/cicadawall/cicadawall/internal/access"
	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/server/httperr"
)

// maxBodyBytes bounds a request body. A declaration has at most 1 MiB, which JSON escapes may double.
const maxBodyBytes = 4 << 20

// Configuration reads and changes the shared configuration.
type Configuration interface {
	// Apply validates a declaration and commits it as the next revision.
	Apply(ctx context.Context, req api.ApplyRequest) api.ApplyResponse
	// Show returns the declaration in force at this instance; false if there is none.
	Show() (api.ConfigDocument, bool)
	// Status returns the revision in force at this instance and the last reported revision of every registered instance.
	Status() api.ConfigStatus
}

// Handlers serve the configuration calls of one instance.
type Handlers struct {
	Configuration Configuration
}

// Register adds the routes to the group, which must use the Authenticate middleware.
func (h Handlers) Register(group *echo.Group) {
	group.GET("/operator/v1/config", h.show)
	group.POST("/operator/v1/config", h.apply)
	group.GET("/operator/v1/config/status", h.status)
}

// Authenticate returns middleware that refuses requests without a valid operator key.
func Authenticate(keys access.OperatorKeys) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if problem := keys.Authenticate(c.Request().Header.Get(echo.HeaderAuthorization)); problem != nil {
				return httperr.Write(c, problem, "")
			}
			return next(c)
		}
	}
}

// errorBody returns the body of a request that was refused without any effect.
func errorBody(code, message, advice string) api.ErrorBody {
	return api.ErrorBody{Error: api.ErrorDetail{
		Message: message, Type: "invalid_request_error", Code: code, Outcome: api.OutcomeNotRun, Step: "configure", Advice: advice,
	}}
}

func (h Handlers) show(c echo.Context) error {
	doc, ok := h.Configuration.Show()
	if !ok {
		return c.JSON(http.StatusNotFound, errorBody("configuration_stale", "no configuration is in force at this instance",
			"apply the first declaration with base revision 0, or ask another instance"))
	}
	return c.JSON(http.StatusOK, doc)
}

func (h Handlers) status(c echo.Context) error {
	return c.JSON(http.StatusOK, h.Configuration.Status())
}

func (h Handlers) apply(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return c.JSON(http.StatusRequestEntityTooLarge, errorBody("body_too_large", "the request is too large", "send at most 4 MiB"))
	}
	var req api.ApplyRequest
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&req); err != nil {
		return c.JSON(http.StatusBadRequest, errorBody("invalid_request", "the request is not a valid ApplyRequest", "see api/operator.yaml"))
	}
	response := h.Configuration.Apply(c.Request().Context(), req)
	return c.JSON(httpStatus(response.State), response)
}

// httpStatus returns the HTTP status for the outcome of a change.
func httpStatus(state api.ApplyResponseState) int {
	switch state {
	case api.ApplyConflict:
		return http.StatusConflict
	case api.ApplyInvalid:
		return http.StatusUnprocessableEntity
	case api.ApplyUnavailable:
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}
