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
	c := newCluster(t)
	c.startEngine("zone-0", 20, 2)
	c.startInstances(2, nil)
	config := openai.DefaultConfig(callerKey)
	config.BaseURL = "http://" + c.instances[1].callerAddress + "/v1"
	client := openai.NewClientWithConfig(config)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	seed := 5
	request := openai.ChatCompletionRequest{
		Model:    "class:quick",
		Seed:     &seed,
		Messages: []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "which size?"}},
	}
	completion, err := client.CreateChatCompletion(ctx, request)
	if err != nil {
		t.Fatal(err)
	}
	if len(completion.Choices) != 1 || completion.Choices[0].FinishReason != openai.FinishReasonStop || completion.Usage.CompletionTokens == 0 {
		t.Fatalf("non-streamed completion: %+v", completion)
	}
	request.StreamOptions = &openai.StreamOptions{IncludeUsage: true}
	text, usage := collectStream(ctx, t, client, request)
	if text == "" || usage == nil || usage.CompletionTokens == 0 {
		t.Errorf("streamed completion %q with usage %+v", text, usage)
	}
	models, err := client.ListModels(ctx)
	if err != nil || len(models.Models) != 1 || models.Models[0].ID != "small" {
		t.Errorf("models: %+v, %v", models.Models, err)
	}
	request.Model = "class:none"
	var apiErr *openai.APIError
	if _, err := client.CreateChatCompletion(ctx, request); !errors.As(err, &apiErr) || apiErr.Code != "unknown_class" {
		t.Errorf("unknown class: %v", err)
	}
}

func collectStream(ctx context.Context, t *testing.T, client *openai.Client, request openai.ChatCompletionRequest) (string, *openai.Usage) {
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
			t.Fatalf("stream failed after %q: %v", text, err)
		}
		if chunk.Usage != nil {
			usage = chunk.Usage
		}
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
	}
}
