// Package callerhttp is the HTTP front end of the caller API. It decodes requests, submits them to the router and encodes the
// replies; all routing decisions are made by the router.
package callerhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/access"
	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/buffer"
	"github.com/cicadawall/cicadawall/internal/callerconn"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/dispatch"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/server/httperr"
)

// Request and response headers of the caller API.
const (
	HeaderClass          = "X-Cicadawall-Class"
	HeaderSession        = "X-Cicadawall-Session"
	HeaderVersion        = "X-Cicadawall-Version"
	HeaderRequestID      = "X-Request-Id"
	HeaderReplayed       = "X-Cicadawall-Replayed"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// bodyMemoryRetryAfter is the Retry-After of a request whose body finds no memory: about the time in which other requests end.
const bodyMemoryRetryAfter = 500 * time.Millisecond

// classPrefix marks a value of the request's model field that names a class instead of a model.
const classPrefix = "class:"

// Router runs decoded requests.
type Router interface {
	// Authenticate returns the organisation that owns the caller key in the Authorization header.
	Authenticate(header string) (string, *fault.Error)
	// SubmitModel starts a model request and returns its reply.
	SubmitModel(ctx context.Context, request dispatch.ModelRequest) (*dispatch.Reply, *fault.Error)
	// SubmitPlain starts a plain service call and returns its reply.
	SubmitPlain(ctx context.Context, request dispatch.PlainRequest) (*dispatch.Reply, *fault.Error)
	// AllowedVersions returns the versions that the organisation may use.
	AllowedVersions(organisation string) ([]declaration.VersionID, *fault.Error)
	// MaxBodyBytes returns the size limit of a request body in bytes.
	MaxBodyBytes() int64
}

// Handler serves the caller API.
type Handler struct {
	router Router
	bodies *buffer.Bodies
}

// Register adds the caller API to an echo instance. The bodies of all requests share the memory.
func Register(e *echo.Echo, router Router, bodies *buffer.Bodies) {
	h := &Handler{router: router, bodies: bodies}
	e.POST("/v1/chat/completions", h.chatCompletions)
	e.GET("/v1/models", h.listModels)
	e.Any("/services/:service/*", h.callService)
}

// requestInfo identifies a request and the organisation of its caller.
type requestInfo struct {
	id           string
	organisation string
}

// authenticate assigns the request an ID, sets it as a response header and authenticates the caller. The returned requestInfo
// has the ID also when authentication fails.
func (h *Handler) authenticate(c echo.Context) (requestInfo, *fault.Error) {
	info := requestInfo{id: uuid.NewString()}
	c.Response().Header().Set(HeaderRequestID, info.id)
	problem := access.CheckHeader(c.Request().Header)
	if problem == nil {
		info.organisation, problem = h.router.Authenticate(c.Request().Header.Get("Authorization"))
	}
	if problem != nil {
		closeUnread(c)
	}
	return info, problem
}

// closeUnread closes the connection after the response if the request has a body, which was not read to its end. net/http would otherwise wait for
// the rest before it sends the response. A connection of HTTP/2 is shared with other requests and stays open.
func closeUnread(c echo.Context) {
	if r := c.Request(); r.ContentLength != 0 && r.ProtoMajor == 1 {
		c.Response().Header().Set("Connection", "close")
	}
}

// beginBody returns the memory of the request's body, which must be released when the request has ended.
func (h *Handler) beginBody(c echo.Context) *buffer.Body {
	return h.bodies.Begin(callerconn.BodyInterrupter{Controller: http.NewResponseController(c.Response())})
}

// readBody reads the request body and refuses one that exceeds the size limit, or for which there is no memory.
func (h *Handler) readBody(c echo.Context, body *buffer.Body) ([]byte, *fault.Error) {
	limit := h.router.MaxBodyBytes()
	length := c.Request().ContentLength
	err := buffer.ErrTooLong
	if length <= limit {
		var data []byte
		if data, err = body.ReadAll(c.Request().Body, length, int(limit)); err == nil {
			return data, nil
		}
	}
	closeUnread(c)
	var overLimit *http.MaxBytesError
	switch {
	case errors.Is(err, buffer.ErrTooLong), errors.As(err, &overLimit):
		return nil, fault.NotRun(fault.StepDecode, fault.CodeBodyTooLarge, "the request body is too large").WithCause(err)
	case errors.Is(err, buffer.ErrFull), errors.Is(err, buffer.ErrEvicted):
		return nil, fault.NotRun(fault.StepDecode, fault.CodeQueueFull, "there is no memory for the request body now").
			WithCause(err).WithRetryAfter(bodyMemoryRetryAfter)
	default:
		return nil, fault.NotRun(fault.StepDecode, fault.CodeInvalidRequest, "the request body could not be read").WithCause(err)
	}
}

func (h *Handler) chatCompletions(c echo.Context) error {
	info, problem := h.authenticate(c)
	if problem != nil {
		return httperr.Write(c, problem, info.id)
	}
	body := h.beginBody(c)
	defer body.Release()
	request, problem := h.decodeChat(c, info, body)
	if problem != nil {
		return httperr.Write(c, problem, info.id)
	}
	reply, problem := h.router.SubmitModel(c.Request().Context(), request)
	if problem != nil {
		return httperr.Write(c, problem, info.id)
	}
	if request.Body.Stream {
		return h.streamCompletion(c, reply, request)
	}
	return h.writeCompletion(c, reply, request)
}

func (h *Handler) decodeChat(c echo.Context, info requestInfo, memory *buffer.Body) (dispatch.ModelRequest, *fault.Error) {
	raw, problem := h.readBody(c, memory)
	if problem != nil {
		return dispatch.ModelRequest{}, problem
	}
	var body api.ChatCompletionRequest
	if err := json.Unmarshal(raw, &body); err != nil {
		return dispatch.ModelRequest{}, fault.NotRun(fault.StepDecode, fault.CodeInvalidRequest, "the body is not a chat completion request: "+err.Error())
	}
	if len(body.Messages) == 0 {
		return dispatch.ModelRequest{}, fault.NotRun(fault.StepDecode, fault.CodeInvalidRequest, "messages must contain at least one message")
	}
	request := dispatch.ModelRequest{
		ID:             info.id,
		Organisation:   info.organisation,
		Class:          c.Request().Header.Get(HeaderClass),
		Model:          body.Model,
		Session:        c.Request().Header.Get(HeaderSession),
		IdempotencyKey: c.Request().Header.Get(HeaderIdempotencyKey),
		Body:           body,
		Arrived:        time.Now(),
	}
	if class, ok := strings.CutPrefix(body.Model, classPrefix); ok {
		request.Class, request.Model = class, ""
	}
	return request, nil
}

func (h *Handler) listModels(c echo.Context) error {
	info, problem := h.authenticate(c)
	if problem != nil {
		return httperr.Write(c, problem, info.id)
	}
	ids, problem := h.router.AllowedVersions(info.organisation)
	if problem != nil {
		return httperr.Write(c, problem, info.id)
	}
	list := api.ModelList{Object: "list", Data: []api.ModelInfo{}}
	seen := map[string]bool{}
	for _, id := range ids {
		if seen[id.Model] {
			continue
		}
		seen[id.Model] = true
		list.Data = append(list.Data, api.ModelInfo{Id: id.Model, Object: "model", OwnedBy: info.organisation})
	}
	return c.JSON(http.StatusOK, list)
}

func (h *Handler) callService(c echo.Context) error {
	info, problem := h.authenticate(c)
	if problem != nil {
		return httperr.Write(c, problem, info.id)
	}
	memory := h.beginBody(c)
	defer memory.Release()
	body, problem := h.readBody(c, memory)
	if problem != nil {
		return httperr.Write(c, problem, info.id)
	}
	path := "/" + c.Param("*")
	if query := c.Request().URL.RawQuery; query != "" {
		path += "?" + query
	}
	reply, problem := h.router.SubmitPlain(c.Request().Context(), dispatch.PlainRequest{
		ID:             info.id,
		Organisation:   info.organisation,
		Service:        c.Param("service"),
		Method:         c.Request().Method,
		Path:           path,
		ContentType:    c.Request().Header.Get("Content-Type"),
		IdempotencyKey: c.Request().Header.Get(HeaderIdempotencyKey),
		Body:           body,
		Arrived:        time.Now(),
	})
	if problem != nil {
		return httperr.Write(c, problem, info.id)
	}
	return h.writeServiceResponse(c, reply, info.id)
}

// writeServiceResponse waits for the end of a service call and writes the backend server's response.
func (h *Handler) writeServiceResponse(c echo.Context, reply *dispatch.Reply, id string) error {
	for {
		event, ok, problem := reply.Next(c.Request().Context())
		if !ok {
			return httperr.Write(c, orStreamCut(problem), id)
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

// orStreamCut returns the problem, or a stream_cut error if the reply ended without an error and without its end event.
func orStreamCut(problem *fault.Error) *fault.Error {
	if problem != nil {
		return problem
	}
	return fault.Unknown(fault.StepStream, fault.CodeStreamCut, "the reply ended before its end marker")
}
