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
	"github.com/cicadawall/cicadawall/internal/httpsend"
)

const (
	// callTimeout bounds one call, in addition to the requested wait for acceptance of a change.
	callTimeout = 10 * time.Second
	// maxReplyBytes bounds the body of a reply.
	maxReplyBytes = 16 << 20
)

// refusedError reports an invalid operator URL, or a reply of the operator API that refuses the call.
type refusedError struct {
	// exitCode is the exit code of the command.
	exitCode int
	message  string
}

func (e *refusedError) Error() string { return e.message }

// operatorClient calls the operator API of one instance.
type operatorClient struct {
	baseURL string
	key     string
	http    *http.Client
}

func (f OperatorFlags) client() operatorClient {
	return operatorClient{baseURL: strings.TrimRight(f.OperatorURL, "/"), key: f.OperatorKey, http: httpsend.NewClient()}
}

// show returns the declaration in force. Its revision is 0 if there is none.
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

// call sends one request and decodes the reply into target. A reply with another status than 200 is decoded as well, because a
// refused change is answered with an ApplyResponse; its error is returned in addition.
func (c operatorClient) call(ctx context.Context, method, path string, body, target any, wait time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Wrap(err, "encode the request")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, &refusedError{exitCode: ExitUsage, message: fmt.Sprintf("%q is not a URL", c.baseURL)}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	reply, err := c.http.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "call the operator API")
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	if err != nil {
		return reply.StatusCode, errors.Wrap(err, "read the reply of the operator API")
	}
	if err := json.Unmarshal(text, target); err != nil {
		return reply.StatusCode, errors.Errorf("the operator API answered with status %d and a body that cannot be decoded", reply.StatusCode)
	}
	return reply.StatusCode, responseError(reply.StatusCode, text)
}

// responseError returns the error of a reply with another status than 200. Below 500 it is a refusedError: the request was
// certainly refused.
func responseError(status int, text []byte) error {
	if status == http.StatusOK {
		return nil
	}
	var body api.ErrorBody
	if json.Unmarshal(text, &body) != nil || body.Error.Message == "" {
		return errors.Errorf("the operator API answered with status %d", status)
	}
	message := fmt.Sprintf("%s: %s", body.Error.Code, body.Error.Message)
	if body.Error.Advice != "" {
		message += "; " + body.Error.Advice
	}
	if status >= http.StatusInternalServerError {
		return errors.New(message)
	}
	return &refusedError{exitCode: ExitInvalid, message: message}
}
