// Package telemetry holds the structured log and the metrics of one instance.
package telemetry

import (
	"io"
	"log/slog"
)

// Attribute names that every log line of a request carries. Keys, prompts and answers are never logged.
const (
	attrInstance     = "instance"
	attrRequest      = "request_id"
	attrOrganisation = "organisation"
	attrClass        = "class"
)

// NewLogger returns a logger that writes one JSON object a line and adds the instance's name to each.
func NewLogger(out io.Writer, instance string, level slog.Leveler) *slog.Logger {
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With(attrInstance, instance)
}

// Request names the request to which log lines belong.
type Request struct {
	ID           string
	Organisation string
	Class        string
}

// ForRequest returns a logger that adds the request's identity to each line.
func ForRequest(log *slog.Logger, request Request) *slog.Logger {
	return log.With(attrRequest, request.ID, attrOrganisation, request.Organisation, attrClass, request.Class)
}
