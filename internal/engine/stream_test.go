package engine

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/cicadawall/cicadawall/internal/engine/sse"
	"github.com/cicadawall/cicadawall/internal/engine/stream"
)

// Guards against a stream that is cut inside a line, a field or the end marker, and still counts as complete or adds part of a
// chunk to the answer.
func TestCutAtEveryByte(t *testing.T) {
	var encoded strings.Builder
	for sequence := 1; sequence <= 4; sequence++ {
		finish := ""
		if sequence == 4 {
			finish = `,"finish_reason":"stop"`
		}
		fmt.Fprintf(&encoded, "id: %d\ndata: {\"id\":\"c1\",\"choices\":[{\"delta\":{\"content\":\"%d\"}%s}]}\n\n", sequence, sequence, finish)
	}
	encoded.WriteString("id: 5\ndata: [DONE]\n\n")
	input := encoded.String()
	for cut := 0; cut <= len(input); cut++ {
		decoder := sse.NewDecoder(strings.NewReader(input[:cut]))
		assembler := stream.New(stream.Options{CompletionID: "c1"})
		text := ""
		for {
			event, err := decoder.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			chunk, err := decodeChunk(event)
			if err != nil {
				t.Fatalf("cut at %d: %v", cut, err)
			}
			ready, _ := assembler.Push(chunk)
			for _, chunk := range ready {
				text += chunk.Body.Choices[0].Delta.Content
			}
		}
		if want := strings.Count(input[:cut], "}]}\n\n"); text != "1234"[:want] {
			t.Fatalf("cut at %d: text %q", cut, text)
		}
		if assembler.Complete() != (cut == len(input)) {
			t.Fatalf("cut at %d of %d: complete %t", cut, len(input), assembler.Complete())
		}
	}
}
