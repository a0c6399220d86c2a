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

// target is where a stream is sent.
type target struct {
	url, key, model string
}

// tokens is the length of each answer.
const tokens = 20

// sample is what the streams of one phase took.
type sample struct {
	// first holds the times from the request to the first token in seconds.
	first    []float64
	finished int
	failed   int
}

func newClient(streams int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams, MaxIdleConns: 2 * streams}}
}

// phase keeps the given number of streams open for a time. The first stream of each caller opens its connection and starts
// at a time of its own, and does not count.
func phase(client *http.Client, to target, l level) sample {
	ctx, cancel := context.WithTimeout(context.Background(), l.phase)
	defer cancel()
	samples := make([]sample, l.streams)
	var group sync.WaitGroup
	for n := range l.streams {
		group.Go(func() {
			samples[n] = caller(ctx, client, to, time.Duration(n)*tokens*l.between()/time.Duration(l.streams), n)
		})
	}
	group.Wait()
	var all sample
	for _, one := range samples {
		all.first = append(all.first, one.first...)
		all.finished += one.finished
		all.failed += one.failed
	}
	return all
}

// caller sends one stream after the other until the context ends. The last one is left when the context ends.
func caller(ctx context.Context, client *http.Client, to target, offset time.Duration, number int) sample {
	var s sample
	select {
	case <-time.After(offset):
	case <-ctx.Done():
		return s
	}
	for round := 0; ctx.Err() == nil; round++ {
		first, err := stream(ctx, client, to, fmt.Sprintf("caller %d request %d: which size for a 100 cm chest?", number, round))
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			s.failed++
			continue
		}
		if round > 0 {
			s.first = append(s.first, first.Seconds())
		}
		s.finished++
	}
	return s
}

var (
	dataPrefix = []byte("data: ")
	content    = []byte(`"content":"`)
	endMarker  = []byte("[DONE]")
)

// stream makes one request and returns the time to its first token.
func stream(ctx context.Context, client *http.Client, to target, text string) (time.Duration, error) {
	limit := tokens
	body, err := json.Marshal(api.ChatCompletionRequest{Model: to.model, Stream: true, MaxTokens: &limit,
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
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "send the request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("status %d", response.StatusCode)
	}
	return read(response, began)
}

func read(response *http.Response, began time.Time) (time.Duration, error) {
	var first time.Duration
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		switch {
		case !ok:
		case bytes.Equal(data, endMarker):
			return first, drainBody(lines)
		case first == 0 && bytes.Contains(data, content):
			first = time.Since(began)
		}
	}
	return 0, errors.New("the stream ended without its end marker")
}

// drainBody reads to the end, so that the connection can be used again.
func drainBody(lines *bufio.Scanner) error {
	for lines.Scan() {
	}
	return errors.Wrap(lines.Err(), "read the end of the stream")
}
