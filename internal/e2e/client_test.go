package e2e

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sashabaranov/go-openai"
)

// Guards against answers that an unmodified OpenAI client library cannot read.
func TestOpenAIClientLibrary(t *testing.T) {
	w := newWorld(t)
	w.engine("zone-0", 20, 2)
	w.start(2, nil)
	config := openai.DefaultConfig(callerKey)
	config.BaseURL = "http://" + w.instances[1].caller + "/v1"
	client := openai.NewClientWithConfig(config)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	seed := 5
	request := openai.ChatCompletionRequest{
		Model:    "class:quick",
		Seed:     &seed,
		Messages: []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "which size?"}},
	}
	whole, err := client.CreateChatCompletion(ctx, request)
	if err != nil {
		t.Fatal(err)
	}
	if len(whole.Choices) != 1 || whole.Choices[0].FinishReason != openai.FinishReasonStop || whole.Usage.CompletionTokens == 0 {
		t.Fatalf("whole answer: %+v", whole)
	}
	request.StreamOptions = &openai.StreamOptions{IncludeUsage: true}
	text, usage := streamed(ctx, t, client, request)
	if text == "" || usage == nil || usage.CompletionTokens == 0 {
		t.Errorf("streamed answer %q with usage %+v", text, usage)
	}
	models, err := client.ListModels(ctx)
	if err != nil || len(models.Models) != 1 || models.Models[0].ID != "small" {
		t.Errorf("models: %+v, %v", models.Models, err)
	}
	request.Model = "class:none"
	var refused *openai.APIError
	if _, err := client.CreateChatCompletion(ctx, request); !errors.As(err, &refused) || refused.Code != "unknown_class" {
		t.Errorf("unknown class: %v", err)
	}
}

func streamed(ctx context.Context, t *testing.T, client *openai.Client, request openai.ChatCompletionRequest) (string, *openai.Usage) {
	t.Helper()
	stream, err := client.CreateChatCompletionStream(ctx, request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	text := ""
	var usage *openai.Usage
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return text, usage
		}
		if err != nil {
			t.Fatalf("after %q: %v", text, err)
		}
		if chunk.Usage != nil {
			usage = chunk.Usage
		}
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
	}
}
