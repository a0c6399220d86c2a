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

// callLimit bounds one call.
const callLimit = 45 * time.Second

// callers is the HTTP client of all callers. Without kept connections each call shows whether the instance accepts one.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// answer is what a caller saw of one call.
type answer struct {
	id     string
	status int
	text   string
	// complete means that the end marker of a stream, or a whole body, arrived.
	complete bool
	problem  api.ErrorDetail
	// unsent means that no connection was made, so that nothing ran.
	unsent bool
}

// notRun reports whether the caller may send the request again elsewhere.
func (a answer) notRun() bool { return a.unsent || a.problem.Outcome == api.OutcomeNotRun }

// chat is a streamed completion of class quick.
type chat struct {
	text, key string
	seed      int64
	// onText is called after each text with the number of texts so far.
	onText func(count int)
	// limit is the time after which the caller leaves; 0 means callLimit.
	limit time.Duration
}

func (i *instance) send(ctx context.Context, path, key string, body any) (*http.Response, error) {
	encoded, _ := json.Marshal(body)
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.caller+path, bytes.NewReader(encoded))
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return callers.Do(request)
}

// chat makes a call and reads the stream to its end.
func (i *instance) chat(c chat) answer {
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(c.limit, callLimit))
	defer cancel()
	body := api.ChatCompletionRequest{Model: "class:quick", Stream: true, Seed: &c.seed, Messages: []api.ChatMessage{{Role: "user", Content: c.text}}}
	response, err := i.send(ctx, "/v1/chat/completions", c.key, body)
	if err != nil {
		return answer{unsent: strings.Contains(err.Error(), "connection refused")}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{id: response.Header.Get("X-Request-Id"), status: response.StatusCode}
	if a.status != http.StatusOK {
		a.problem = problemOf(response.Body)
		return a
	}
	a.readStream(response.Body, c.onText)
	return a
}

func problemOf(body io.Reader) api.ErrorDetail {
	var problem api.ErrorBody
	_ = json.NewDecoder(body).Decode(&problem)
	return problem.Error
}

func (a *answer) readStream(body io.Reader, onText func(int)) {
	texts := 0
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
			a.problem = *event.Error
			return
		}
		if len(event.Choices) == 0 || event.Choices[0].Delta.Content == "" {
			continue
		}
		a.text += event.Choices[0].Delta.Content
		texts++
		if onText != nil {
			onText(texts)
		}
	}
}

// order sends an order under a key.
func (i *instance) order(service, key string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	response, err := i.send(ctx, "/services/"+service+"/orders", key, map[string]any{"item": "shirt", "count": 400})
	if err != nil {
		return answer{unsent: strings.Contains(err.Error(), "connection refused")}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{id: response.Header.Get("X-Request-Id"), status: response.StatusCode}
	if a.status != http.StatusOK {
		a.problem = problemOf(response.Body)
		return a
	}
	text, err := io.ReadAll(response.Body)
	a.text, a.complete = string(text), err == nil
	return a
}
