// Package operatorhttp is the HTTP front end of the configuration part of the operator API.
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

// maxBody bounds a request in bytes; a declaration has at most 1 MiB, which JSON escapes may double.
const maxBody = 4 << 20

// Configuration is the configuration service of this instance.
type Configuration interface {
	Apply(ctx context.Context, req api.ApplyRequest) api.ApplyResponse
	Show() (api.ConfigDocument, bool)
	Status() api.ConfigStatus
}

// Handlers are the echo handlers of one instance.
type Handlers struct {
	Configuration Configuration
}

// Register adds the routes to the group, which must carry Authenticate.
func (h Handlers) Register(group *echo.Group) {
	group.GET("/operator/v1/config", h.show)
	group.POST("/operator/v1/config", h.apply)
	group.GET("/operator/v1/config/status", h.status)
}

// Authenticate accepts requests with an operator key.
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

func refusal(code, message, advice string) api.ErrorBody {
	return api.ErrorBody{Error: api.ErrorDetail{
		Message: message, Type: "invalid_request_error", Code: code, Outcome: api.OutcomeNotRun, Step: "configure", Advice: advice,
	}}
}

func (h Handlers) show(c echo.Context) error {
	doc, ok := h.Configuration.Show()
	if !ok {
		return c.JSON(http.StatusNotFound, refusal("configuration_stale", "no configuration is in force here",
			"apply the first one on base revision 0, or ask another instance"))
	}
	return c.JSON(http.StatusOK, doc)
}

func (h Handlers) status(c echo.Context) error {
	return c.JSON(http.StatusOK, h.Configuration.Status())
}

func (h Handlers) apply(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBody+1))
	if err != nil || len(body) > maxBody {
		return c.JSON(http.StatusRequestEntityTooLarge, refusal("body_too_large", "the request is too large", "send at most 4 MiB"))
	}
	var req api.ApplyRequest
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&req); err != nil {
		return c.JSON(http.StatusBadRequest, refusal("invalid_request", "the request is not a valid ApplyRequest", "see api/operator.yaml"))
	}
	response := h.Configuration.Apply(c.Request().Context(), req)
	return c.JSON(statusOf(response.State), response)
}

func statusOf(state api.ApplyResponseState) int {
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
