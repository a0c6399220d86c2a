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

// setStartHeaders sets the headers that are known when the answer starts: the version and the session handle.
func setStartHeaders(c echo.Context, event dispatch.Event) {
	header := c.Response().Header()
	header.Set(HeaderVersion, event.Version.String())
	if event.Session != "" {
		header.Set(HeaderSession, event.Session)
	}
}

// writeCompletion collects the events of the reply and writes them as one chat completion.
func (h *Handler) writeCompletion(c echo.Context, reply *dispatch.Reply, request dispatch.ModelRequest) error {
	var text strings.Builder
	var model string
	for {
		event, ok, problem := reply.Next(c.Request().Context())
		if !ok {
			return httperr.Write(c, orStreamCut(problem), request.ID)
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

// sseWriter writes one answer as a stream of server-sent events.
type sseWriter struct {
	c           echo.Context
	request     dispatch.ModelRequest
	model       string
	headersSent bool
}

func (w *sseWriter) writeHeaders(event dispatch.Event) {
	w.model = event.Version.Model
	w.headersSent = true
	setStartHeaders(w.c, event)
	header := w.c.Response().Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	w.c.Response().WriteHeader(http.StatusOK)
}

func (w *sseWriter) writeData(value any) error {
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

func (w *sseWriter) writeChunk(choices []api.ChunkChoice, usage *api.Usage) error {
	return w.writeData(api.ChatCompletionChunk{
		Id:      w.request.ID,
		Object:  objectChunk,
		Created: w.request.Arrived.Unix(),
		Model:   w.model,
		Choices: choices,
		Usage:   usage,
	})
}

func (w *sseWriter) writeText(text string) error {
	return w.writeChunk([]api.ChunkChoice{{Delta: api.ChunkDelta{Role: roleAssistant, Content: text}}}, nil)
}

func (w *sseWriter) writeEnd(event dispatch.Event) error {
	if err := w.writeChunk([]api.ChunkChoice{{FinishReason: event.FinishReason}}, nil); err != nil {
		return err
	}
	options := w.request.Body.StreamOptions
	if options != nil && options.IncludeUsage {
		if err := w.writeChunk([]api.ChunkChoice{}, &event.Usage); err != nil {
			return err
		}
	}
	_, err := w.c.Response().Write([]byte(sseDone))
	return errors.Wrap(err, "write end of stream")
}

// writeError writes an error as a stream event, or as an ordinary error response if the stream has not started. It never writes
// the [DONE] marker, so that the caller doesn't take an interrupted answer for a complete one.
func (w *sseWriter) writeError(problem *fault.Error) error {
	if !w.headersSent {
		return httperr.Write(w.c, problem, w.request.ID)
	}
	return w.writeData(httperr.Body(problem, w.request.ID))
}

// streamCompletion writes the reply as server-sent events. It flushes only when no further event is buffered, so that events
// that arrive together are sent together.
func (h *Handler) streamCompletion(c echo.Context, reply *dispatch.Reply, request dispatch.ModelRequest) error {
	w := &sseWriter{c: c, request: request}
	for {
		event, ok, problem := reply.Next(c.Request().Context())
		if !ok {
			return w.writeError(orStreamCut(problem))
		}
		if err := w.writeEvent(event); err != nil {
			return err
		}
		if event.Kind == dispatch.EventEnd {
			c.Response().Flush()
			return nil
		}
		if w.headersSent && !reply.HasBuffered() {
			c.Response().Flush()
		}
	}
}

func (w *sseWriter) writeEvent(event dispatch.Event) error {
	switch event.Kind {
	case dispatch.EventStart:
		w.writeHeaders(event)
		return nil
	case dispatch.EventText:
		return w.writeText(event.Text)
	case dispatch.EventEnd:
		return w.writeEnd(event)
	}
	return nil
}
