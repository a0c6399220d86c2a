package gatewayhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/server/httperr"
)

const (
	// ExplainPath is the path on the peer address that explains where a request would go.
	ExplainPath = "/peer/v1/gateway/explain"
	// maxExplainBytes bounds a query; it is four times the largest head of a request, which contains the prompt parts.
	maxExplainBytes = 64 << 10
	// maxExplainNumber bounds each number of a query, so that sums and durations computed from them do not overflow.
	maxExplainNumber = 100_000_000
)

// Explainer explains requests.
type Explainer interface {
	// Explain returns where the request would go now, or an error if this instance is not ready.
	Explain(query api.GatewayExplainQuery) (api.GatewayExplanation, *fault.Error)
}

// ExplainRoute returns the route that explains requests.
func ExplainRoute(explainer Explainer) PeerRoute {
	return func(e *echo.Echo) {
		e.POST(ExplainPath, func(c echo.Context) error {
			query, problem := decodeExplainQuery(c.Request().Body)
			if problem != nil {
				return httperr.Write(c, problem, "")
			}
			explanation, problem := explainer.Explain(query)
			if problem != nil {
				return httperr.Write(c, problem, "")
			}
			return c.JSON(http.StatusOK, explanation)
		})
	}
}

// decodeExplainQuery reads a query. Its errors do not contain parts of the body, which holds an API key.
func decodeExplainQuery(body io.Reader) (api.GatewayExplainQuery, *fault.Error) {
	var query api.GatewayExplainQuery
	text, err := io.ReadAll(io.LimitReader(body, maxExplainBytes+1))
	switch {
	case err != nil:
		return query, invalidQuery("the body could not be read")
	case len(text) > maxExplainBytes:
		return query, fault.NotRun(fault.StepDecode, fault.CodeBodyTooLarge, fmt.Sprintf("the body is longer than %d bytes", maxExplainBytes))
	case json.Unmarshal(text, &query) != nil:
		return query, invalidQuery("the body is not a valid GatewayExplainQuery")
	case query.Host == "":
		return query, invalidQuery("host is missing")
	case !strings.HasPrefix(query.Path, "/"):
		return query, invalidQuery("path does not begin with a slash")
	case !validNumber(int64(query.OutputTokens)):
		return query, invalidQuery("outputTokens is out of range")
	case !validNumber(query.TimeoutMillis):
		return query, invalidQuery("timeoutMillis is out of range")
	}
	for _, part := range query.Prompt {
		if part.Id == "" || !validNumber(int64(part.Tokens)) {
			return query, invalidQuery("a part of the prompt has no id or a number of tokens that is out of range")
		}
	}
	return query, nil
}

func validNumber(n int64) bool { return n >= 0 && n <= maxExplainNumber }

func invalidQuery(message string) *fault.Error {
	return fault.NotRun(fault.StepDecode, fault.CodeInvalidRequest, message)
}

// RefusedError is the answer of an instance that does not explain a request.
type RefusedError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Message }

// Explain asks the instance where the request would go. It returns a *RefusedError if the instance answers that it does not say.
func (c *Client) Explain(ctx context.Context, address string, query api.GatewayExplainQuery) (api.GatewayExplanation, error) {
	var explanation api.GatewayExplanation
	status, answer, err := c.post(ctx, address, ExplainPath, query)
	if err != nil {
		return explanation, errors.Wrapf(err, "ask instance %s", address)
	}
	if status != http.StatusOK {
		return explanation, refusedError(status, answer)
	}
	return explanation, errors.Wrapf(json.Unmarshal(answer, &explanation), "decode the answer of instance %s", address)
}

func refusedError(status int, answer []byte) *RefusedError {
	var body api.ErrorBody
	if json.Unmarshal(answer, &body) != nil || body.Error.Message == "" {
		return &RefusedError{Status: status, Message: fmt.Sprintf("the instance answered with status %d", status)}
	}
	return &RefusedError{Status: status, Message: fmt.Sprintf("%s: %s", body.Error.Code, body.Error.Message)}
}
