package e2e

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// callTimeout limits the duration of one call.
const callTimeout = 45 * time.Second

// callerClient is the HTTP client of all callers. It does not reuse connections, so that each call shows whether the instance
// accepts new ones.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// answer is the outcome of one call as its caller observed it.
type answer struct {
	id     string
	status int
	text   string
	// complete means that the caller received the end marker of a stream or a complete body.
	complete    bool
	errorDetail api.ErrorDetail
	// unsent means that the connection was refused, so the request cannot have run.
	unsent bool
}

// notRun reports whether the request certainly did not run, so that the caller may send it to another instance.
func (a answer) notRun() bool { return a.unsent || a.errorDetail.Outcome == api.OutcomeNotRun }

// chatRequest describes a streamed completion of class quick.
type chatRequest struct {
	text, idempotencyKey string
	seed                 int64
	// onChunk is called after each chunk with text; count is the number of such chunks so far.
	onChunk func(count int)
	// timeout is the time after which the caller disconnects; 0 means callTimeout.
	timeout time.Duration
}

func (i *instance) post(ctx context.Context, path, idempotencyKey string, body any) (*http.Response, error) {
	encoded, _ := json.Marshal(body)
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.callerAddress+path, bytes.NewReader(encoded))
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return callerClient.Do(request)
}

// sendChat sends the request and reads the stream to its end.
func (i *instance) sendChat(c chatRequest) answer {
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(c.timeout, callTimeout))
	defer cancel()
	body := api.ChatCompletionRequest{Model: "class:quick", Stream: true, Seed: &c.seed, Messages: []api.ChatMessage{{Role: "user", Content: c.text}}}
	response, err := i.post(ctx, "/v1/chat/completions", c.idempotencyKey, body)
	if err != nil {
		return answer{unsent: strings.Contains(err.Error(), "connection refused")}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{id: response.Header.Get("X-Request-Id"), status: response.StatusCode}
	if a.status != http.StatusOK {
		a.errorDetail = decodeError(response.Body)
		return a
	}
	a.readStream(response.Body, c.onChunk)
	return a
}

func decodeError(body io.Reader) api.ErrorDetail {
	var errorBody api.ErrorBody
	_ = json.NewDecoder(body).Decode(&errorBody)
	return errorBody.Error
}

func (a *answer) readStream(body io.Reader, onChunk func(int)) {
	chunks := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.complete = true
			return
		}
		var event struct {
			api.ChatCompletionChunk
			Error *api.ErrorDetail `json:"error"`
		}
		if json.Unmarshal([]byte(data), &event) != nil {
			return
		}
		if event.Error != nil {
			a.errorDetail = *event.Error
			return
		}
		if len(event.Choices) == 0 || event.Choices[0].Delta.Content == "" {
			continue
		}
		a.text += event.Choices[0].Delta.Content
		chunks++
		if onChunk != nil {
			onChunk(chunks)
		}
	}
}

// sendOrder sends an order with an idempotency key.
func (i *instance) sendOrder(service, key string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response, err := i.post(ctx, "/services/"+service+"/orders", key, map[string]any{"item": "shirt", "count": 400})
	if err != nil {
		return answer{unsent: strings.Contains(err.Error(), "connection refused")}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{id: response.Header.Get("X-Request-Id"), status: response.StatusCode}
	if a.status != http.StatusOK {
		a.errorDetail = decodeError(response.Body)
		return a
	}
	text, err := io.ReadAll(response.Body)
	a.text, a.complete = string(text), err == nil
	return a
}
