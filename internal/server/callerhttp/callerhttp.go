// Package callerhttp is the caller front end: it decodes requests, hands them to the router and writes what comes back. It
// decides nothing.
package callerhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/access"
	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/dispatch"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/server/httperr"
)

// Headers of the caller API.
const (
	HeaderClass     = "X-Cicadawall-Class"
	HeaderSession   = "X-Cicadawall-Session"
	HeaderVersion   = "X-Cicadawall-Version"
	HeaderRequestID = "X-Request-Id"
	HeaderReplayed  = "X-Cicadawall-Replayed"
	HeaderKey       = "Idempotency-Key"
)

// classPrefix marks a class name in the model field.
const classPrefix = "class:"

// Router takes decoded requests.
type Router interface {
	// Authenticate returns the organisation whose caller key the Authorization header holds.
	Authenticate(header string) (string, *fault.Error)
	// SubmitModel starts a model request and returns its reply.
	SubmitModel(ctx context.Context, request dispatch.ModelRequest) (*dispatch.Reply, *fault.Error)
	// SubmitPlain starts a plain service call and returns its reply.
	SubmitPlain(ctx context.Context, request dispatch.PlainRequest) (*dispatch.Reply, *fault.Error)
	// AllowedVersions returns the versions that the organisation may use.
	AllowedVersions(organisation string) ([]declaration.VersionID, *fault.Error)
	// MaxBodyBytes is the size limit of a request body in bytes.
	MaxBodyBytes() int64
}

// Handler serves the caller API.
type Handler struct {
	router Router
}

// Register adds the caller API to an echo instance.
func Register(e *echo.Echo, router Router) {
	h := &Handler{router: router}
	e.POST("/v1/chat/completions", h.chat)
	e.GET("/v1/models", h.models)
	e.Any("/services/:service/*", h.plain)
}

// exchange is what all handlers need of one request.
type exchange struct {
	id           string
	organisation string
}

func (h *Handler) begin(c echo.Context) (exchange, *fault.Error) {
	x := exchange{id: uuid.NewString()}
	c.Response().Header().Set(HeaderRequestID, x.id)
	if problem := access.CheckHeader(c.Request().Header); problem != nil {
		return x, problem
	}
	organisation, problem := h.router.Authenticate(c.Request().Header.Get("Authorization"))
	x.organisation = organisation
	return x, problem
}

// readBody reads at most the allowed size.
func (h *Handler) readBody(c echo.Context) ([]byte, *fault.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, h.router.MaxBodyBytes()))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.NotRun(fault.StepDecode, fault.CodeBodyTooLarge, "the request body is too large").WithCause(err)
	}
	if err != nil {
		return nil, fault.NotRun(fault.StepDecode, fault.CodeInvalidRequest, "the request body could not be read").WithCause(err)
	}
	return body, nil
}

func (h *Handler) chat(c echo.Context) error {
	x, problem := h.begin(c)
	if problem != nil {
		return httperr.Write(c, problem, x.id)
	}
	request, problem := h.decodeChat(c, x)
	if problem != nil {
		return httperr.Write(c, problem, x.id)
	}
	reply, problem := h.router.SubmitModel(c.Request().Context(), request)
	if problem != nil {
		return httperr.Write(c, problem, x.id)
	}
	if request.Body.Stream {
		return h.stream(c, reply, request)
	}
	return h.whole(c, reply, request)
}

func (h *Handler) decodeChat(c echo.Context, x exchange) (dispatch.ModelRequest, *fault.Error) {
	raw, problem := h.readBody(c)
	if problem != nil {
		return dispatch.ModelRequest{}, problem
	}
	var body api.ChatCompletionRequest
	if err := json.Unmarshal(raw, &body); err != nil {
		return dispatch.ModelRequest{}, fault.NotRun(fault.StepDecode, fault.CodeInvalidRequest, "the body is not a chat completion request: "+err.Error())
	}
	if len(body.Messages) == 0 {
		return dispatch.ModelRequest{}, fault.NotRun(fault.StepDecode, fault.CodeInvalidRequest, "messages must hold at least one message")
	}
	request := dispatch.ModelRequest{
		ID:             x.id,
		Organisation:   x.organisation,
		Class:          c.Request().Header.Get(HeaderClass),
		Model:          body.Model,
		Session:        c.Request().Header.Get(HeaderSession),
		IdempotencyKey: c.Request().Header.Get(HeaderKey),
		Body:           body,
		Arrived:        time.Now(),
	}
	if class, ok := strings.CutPrefix(body.Model, classPrefix); ok {
		request.Class, request.Model = class, ""
	}
	return request, nil
}

func (h *Handler) models(c echo.Context) error {
	x, problem := h.begin(c)
	if problem != nil {
		return httperr.Write(c, problem, x.id)
	}
	ids, problem := h.router.AllowedVersions(x.organisation)
	if problem != nil {
		return httperr.Write(c, problem, x.id)
	}
	list := api.ModelList{Object: "list", Data: []api.ModelInfo{}}
	seen := map[string]bool{}
	for _, id := range ids {
		if seen[id.Model] {
			continue
		}
		seen[id.Model] = true
		list.Data = append(list.Data, api.ModelInfo{Id: id.Model, Object: "model", OwnedBy: x.organisation})
	}
	return c.JSON(http.StatusOK, list)
}

func (h *Handler) plain(c echo.Context) error {
	x, problem := h.begin(c)
	if problem != nil {
		return httperr.Write(c, problem, x.id)
	}
	body, problem := h.readBody(c)
	if problem != nil {
		return httperr.Write(c, problem, x.id)
	}
	path := "/" + c.Param("*")
	if query := c.Request().URL.RawQuery; query != "" {
		path += "?" + query
	}
	reply, problem := h.router.SubmitPlain(c.Request().Context(), dispatch.PlainRequest{
		ID:             x.id,
		Organisation:   x.organisation,
		Service:        c.Param("service"),
		Method:         c.Request().Method,
		Path:           path,
		ContentType:    c.Request().Header.Get("Content-Type"),
		IdempotencyKey: c.Request().Header.Get(HeaderKey),
		Body:           body,
		Arrived:        time.Now(),
	})
	if problem != nil {
		return httperr.Write(c, problem, x.id)
	}
	return h.writePlain(c, reply, x.id)
}

func (h *Handler) writePlain(c echo.Context, reply *dispatch.Reply, id string) error {
	for {
		event, ok, problem := reply.Next(c.Request().Context())
		if !ok {
			return httperr.Write(c, orCut(problem), id)
		}
		if event.Kind != dispatch.EventEnd || event.PlainResponse == nil {
			continue
		}
		if event.PlainResponse.Replayed {
			c.Response().Header().Set(HeaderReplayed, "true")
		}
		return c.Blob(event.PlainResponse.Status, event.PlainResponse.ContentType, event.PlainResponse.Body)
	}
}

// orCut returns the problem, or a cut stream for a reply that ended without its end event.
func orCut(problem *fault.Error) *fault.Error {
	if problem != nil {
		return problem
	}
	return fault.Unknown(fault.StepStream, fault.CodeStreamCut, "the reply ended before its end marker")
}
