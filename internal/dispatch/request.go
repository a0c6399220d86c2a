package dispatch

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// ModelRequest is a decoded request of a caller to a class or a model.
type ModelRequest struct {
	ID           string
	Organisation string
	// Class is the name of a declared class.
	Class string
	// Model restricts the choice to one model; empty lets the router choose.
	Model string
	// Session is an id chosen by the caller or a handle issued by the router; empty starts a new session.
	Session        string
	IdempotencyKey string
	// Body is passed to the engine with the model name replaced.
	Body api.ChatCompletionRequest
	// Arrived is the time at which the request was decoded.
	Arrived time.Time
}

// EstimatedTokens returns the estimated number of prompt and answer tokens.
func (r *ModelRequest) EstimatedTokens() int {
	const (
		bytesPerToken        = 4
		defaultAnswerTokens  = 256
		perMessageOverhead   = 4
		minimumTokenEstimate = 1
	)
	total := 0
	for _, message := range r.Body.Messages {
		total += len(message.Content)/bytesPerToken + perMessageOverhead
	}
	switch {
	case r.Body.MaxCompletionTokens != nil:
		total += *r.Body.MaxCompletionTokens
	case r.Body.MaxTokens != nil:
		total += *r.Body.MaxTokens
	default:
		total += defaultAnswerTokens
	}
	return max(total, minimumTokenEstimate)
}

// PlainRequest is a decoded call of a plain service.
type PlainRequest struct {
	ID             string
	Organisation   string
	Service        string
	Method         string
	Path           string
	ContentType    string
	IdempotencyKey string
	Body           []byte
	Arrived        time.Time
}
