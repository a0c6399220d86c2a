package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

const (
	// callTimeout bounds one call, in addition to the wait for acceptance that the call asks for.
	callTimeout = 10 * time.Second
	// maxReply bounds a reply in bytes.
	maxReply = 16 << 20
)

// refusedError is an answer of the operator API that refuses the call.
type refusedError struct {
	exit    int
	message string
}

func (e *refusedError) Error() string { return e.message }

type operatorClient struct {
	base string
	key  string
}

func (f OperatorFlags) client() operatorClient {
	return operatorClient{base: strings.TrimRight(f.OperatorURL, "/"), key: f.OperatorKey}
}

// show reads the declaration in force; revision 0 means that there is none.
func (c operatorClient) show(ctx context.Context) (api.ConfigDocument, error) {
	var doc api.ConfigDocument
	status, err := c.call(ctx, http.MethodGet, "/operator/v1/config", nil, &doc, 0)
	if status == http.StatusNotFound {
		return api.ConfigDocument{}, nil
	}
	return doc, err
}

func (c operatorClient) status(ctx context.Context) (api.ConfigStatus, error) {
	var status api.ConfigStatus
	_, err := c.call(ctx, http.MethodGet, "/operator/v1/config/status", nil, &status, 0)
	return status, err
}

func (c operatorClient) apply(ctx context.Context, req api.ApplyRequest) (api.ApplyResponse, error) {
	var response api.ApplyResponse
	wait := time.Duration(req.WaitMillis) * time.Millisecond
	_, err := c.call(ctx, http.MethodPost, "/operator/v1/config", req, &response, wait)
	if response.State != "" {
		return response, nil
	}
	return response, err
}

// call sends one request. An answer other than 200 is decoded as well, because a refused change has a typed answer.
func (c operatorClient) call(ctx context.Context, method, path string, body, into any, wait time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Wrap(err, "encode the request")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, &refusedError{exit: ExitUsage, message: fmt.Sprintf("%q is not a URL", c.base)}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	reply, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "call the operator API")
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(io.LimitReader(reply.Body, maxReply))
	if err != nil {
		return reply.StatusCode, errors.Wrap(err, "read the reply of the operator API")
	}
	if err := json.Unmarshal(text, into); err != nil {
		return reply.StatusCode, errors.Errorf("the operator API answered status %d without a valid body", reply.StatusCode)
	}
	return reply.StatusCode, refusalOf(reply.StatusCode, text)
}

func refusalOf(status int, text []byte) error {
	if status == http.StatusOK {
		return nil
	}
	var body api.ErrorBody
	if json.Unmarshal(text, &body) != nil || body.Error.Message == "" {
		return errors.Errorf("the operator API answered status %d", status)
	}
	message := fmt.Sprintf("%s: %s", body.Error.Code, body.Error.Message)
	if body.Error.Advice != "" {
		message += "; " + body.Error.Advice
	}
	if status >= http.StatusInternalServerError {
		return errors.New(message)
	}
	return &refusedError{exit: ExitInvalid, message: message}
}
