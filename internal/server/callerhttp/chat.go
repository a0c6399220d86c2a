package callerhttp

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/dispatch"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/server/httperr"
)

const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	roleAssistant    = "assistant"
	sseDone          = "data: [DONE]\n\n"
)

func setStartHeaders(c echo.Context, event dispatch.Event) {
	header := c.Response().Header()
	header.Set(HeaderVersion, event.Version.String())
	if event.Session != "" {
		header.Set(HeaderSession, event.Session)
	}
}

// whole collects the reply and writes it as one body.
func (h *Handler) whole(c echo.Context, reply *dispatch.Reply, request dispatch.ModelRequest) error {
	var text strings.Builder
	var model string
	for {
		event, ok, problem := reply.Next(c.Request().Context())
		if !ok {
			return httperr.Write(c, orCut(problem), request.ID)
		}
		switch event.Kind {
		case dispatch.EventStart:
			setStartHeaders(c, event)
			model = event.Version.Model
		case dispatch.EventText:
			text.WriteString(event.Text)
		case dispatch.EventEnd:
			usage := event.Usage
			return c.JSON(http.StatusOK, api.ChatCompletion{
				Id:      request.ID,
				Object:  objectCompletion,
				Created: request.Arrived.Unix(),
				Model:   model,
				Choices: []api.ChatChoice{{
					Message:      api.ChatMessage{Role: roleAssistant, Content: text.String()},
					FinishReason: event.FinishReason,
				}},
				Usage: &usage,
			})
		}
	}
}

// sseWriter writes chunks of one answer as server-sent events.
type sseWriter struct {
	c       echo.Context
	request dispatch.ModelRequest
	model   string
	started bool
}

func (w *sseWriter) start(event dispatch.Event) {
	w.model = event.Version.Model
	w.started = true
	setStartHeaders(w.c, event)
	header := w.c.Response().Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	w.c.Response().WriteHeader(http.StatusOK)
}

func (w *sseWriter) data(value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode stream event")
	}
	buf := make([]byte, 0, len(encoded)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, encoded...)
	buf = append(buf, "\n\n"...)
	_, err = w.c.Response().Write(buf)
	return errors.Wrap(err, "write stream event")
}

func (w *sseWriter) chunk(choices []api.ChunkChoice, usage *api.Usage) error {
	return w.data(api.ChatCompletionChunk{
		Id:      w.request.ID,
		Object:  objectChunk,
		Created: w.request.Arrived.Unix(),
		Model:   w.model,
		Choices: choices,
		Usage:   usage,
	})
}

func (w *sseWriter) text(text string) error {
	return w.chunk([]api.ChunkChoice{{Delta: api.ChunkDelta{Role: roleAssistant, Content: text}}}, nil)
}

func (w *sseWriter) end(event dispatch.Event) error {
	if err := w.chunk([]api.ChunkChoice{{FinishReason: event.FinishReason}}, nil); err != nil {
		return err
	}
	options := w.request.Body.StreamOptions
	if options != nil && options.IncludeUsage {
		if err := w.chunk([]api.ChunkChoice{}, &event.Usage); err != nil {
			return err
		}
	}
	_, err := w.c.Response().Write([]byte(sseDone))
	return errors.Wrap(err, "write end of stream")
}

// fail reports an error in the stream, or as a plain response if the stream has not begun. It never writes the end marker.
func (w *sseWriter) fail(problem *fault.Error) error {
	if !w.started {
		return httperr.Write(w.c, problem, w.request.ID)
	}
	return w.data(httperr.Body(problem, w.request.ID))
}

// stream writes the reply as server-sent events.
func (h *Handler) stream(c echo.Context, reply *dispatch.Reply, request dispatch.ModelRequest) error {
	w := &sseWriter{c: c, request: request}
	for {
		event, ok, problem := reply.Next(c.Request().Context())
		if !ok {
			return w.fail(orCut(problem))
		}
		if err := w.event(event); err != nil {
			return err
		}
		if event.Kind == dispatch.EventEnd {
			c.Response().Flush()
			return nil
		}
		if w.started && !reply.HasBuffered() {
			c.Response().Flush()
		}
	}
}

func (w *sseWriter) event(event dispatch.Event) error {
	switch event.Kind {
	case dispatch.EventStart:
		w.start(event)
		return nil
	case dispatch.EventText:
		return w.text(event.Text)
	case dispatch.EventEnd:
		return w.end(event)
	}
	return nil
}
