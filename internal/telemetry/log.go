// Package telemetry provides the structured log and the metrics of one instance.
package telemetry

import (
	"io"
	"log/slog"
)

// Attribute keys of the log lines of a request. API keys, prompts and answers are never logged.
const (
	attrInstance     = "instance"
	attrRequest      = "request_id"
	attrOrganisation = "organisation"
	attrClass        = "class"
)

// NewLogger returns a logger that writes one JSON object per line, each with the instance's name.
func NewLogger(out io.Writer, instance string, level slog.Leveler) *slog.Logger {
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With(attrInstance, instance)
}

// Request identifies the request to which log lines belong.
type Request struct {
	ID           string
	Organisation string
	Class        string
}

// WithRequest returns a logger that adds the request's identity to each line.
func WithRequest(log *slog.Logger, request Request) *slog.Logger {
	return log.With(attrRequest, request.ID, attrOrganisation, request.Organisation, attrClass, request.Class)
}
