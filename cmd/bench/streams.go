package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

// target is the server and the model or class to which streams are sent.
type target struct {
	url, key, model string
}

// tokensPerAnswer is the length of each answer.
const tokensPerAnswer = 20

// sample holds the measurements of the streams of one phase.
type sample struct {
	// firstTokenSeconds holds the times from the request to the first token.
	firstTokenSeconds []float64
	finished          int
	failed            int
}

func newClient(streams int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams, MaxIdleConns: 2 * streams}}
}

// runPhase keeps the level's number of streams open for the length of a phase. The callers start with different offsets, so that
// their requests are spread evenly. The first stream of each caller opens the connection and its latency is not measured.
func runPhase(client *http.Client, to target, l loadLevel) sample {
	ctx, cancel := context.WithTimeout(context.Background(), l.phaseDuration)
	defer cancel()
	samples := make([]sample, l.streams)
	var group sync.WaitGroup
	for n := range l.streams {
		group.Go(func() {
			samples[n] = runCaller(ctx, client, to, time.Duration(n)*tokensPerAnswer*l.tokenInterval()/time.Duration(l.streams), n)
		})
	}
	group.Wait()
	var combined sample
	for _, one := range samples {
		combined.firstTokenSeconds = append(combined.firstTokenSeconds, one.firstTokenSeconds...)
		combined.finished += one.finished
		combined.failed += one.failed
	}
	return combined
}

// runCaller sends one request after the other until the context ends. It does not count the request that is then in flight.
func runCaller(ctx context.Context, client *http.Client, to target, offset time.Duration, number int) sample {
	var s sample
	select {
	case <-time.After(offset):
	case <-ctx.Done():
		return s
	}
	for round := 0; ctx.Err() == nil; round++ {
		firstToken, err := streamCompletion(ctx, client, to, fmt.Sprintf("caller %d request %d: which size for a 100 cm chest?", number, round))
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			s.failed++
			continue
		}
		if round > 0 {
			s.firstTokenSeconds = append(s.firstTokenSeconds, firstToken.Seconds())
		}
		s.finished++
	}
	return s
}

var (
	dataPrefix   = []byte("data: ")
	contentField = []byte(`"content":"`)
	endMarker    = []byte("[DONE]")
)

// streamCompletion sends one request, reads its stream to the end and returns the time to first token.
func streamCompletion(ctx context.Context, client *http.Client, to target, text string) (time.Duration, error) {
	maxTokens := tokensPerAnswer
	body, err := json.Marshal(api.ChatCompletionRequest{Model: to.model, Stream: true, MaxTokens: &maxTokens,
		Messages: []api.ChatMessage{{Role: "user", Content: text}}})
	if err != nil {
		return 0, errors.Wrap(err, "encode the request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, to.url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "build the request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+to.key)
	startedAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "send the request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("send the request: status %d", response.StatusCode)
	}
	return timeToFirstToken(response, startedAt)
}

func timeToFirstToken(response *http.Response, startedAt time.Time) (time.Duration, error) {
	var firstToken time.Duration
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		switch {
		case !ok:
		case bytes.Equal(data, endMarker):
			return firstToken, drainBody(lines)
		case firstToken == 0 && bytes.Contains(data, contentField):
			firstToken = time.Since(startedAt)
		}
	}
	return 0, errors.New("the stream ended without the end marker")
}

// drainBody reads the body to its end, so that the connection can be reused.
func drainBody(lines *bufio.Scanner) error {
	for lines.Scan() {
	}
	return errors.Wrap(lines.Err(), "read the end of the stream")
}
