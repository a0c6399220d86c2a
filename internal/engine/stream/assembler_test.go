package stream

import (
	"fmt"
	"testing"

	"github.com/cicadawall/cicadawall/internal/api"
)

const (
	answerID  = "own"
	foreignID = "foreign"
)

// textChunk returns a chunk with text that identifies its answer and sequence number.
func textChunk(id string, sequence int64) Chunk {
	delta := api.ChunkDelta{Content: fmt.Sprintf("%s-%d ", id, sequence)}
	body := api.ChatCompletionChunk{Id: id, Choices: []api.ChunkChoice{{Delta: delta}}}
	return Chunk{CompletionID: id, Sequence: sequence, Body: body}
}

func finishChunk(id string, sequence int64) Chunk {
	body := api.ChatCompletionChunk{Id: id, Choices: []api.ChunkChoice{{FinishReason: "stop"}}}
	return Chunk{CompletionID: id, Sequence: sequence, Body: body}
}

func usageChunk(sequence int64) Chunk {
	return Chunk{CompletionID: answerID, Sequence: sequence, Body: api.ChatCompletionChunk{Id: answerID, Usage: &api.Usage{}}}
}

func endMarker(sequence int64) Chunk { return Chunk{Sequence: sequence, End: true} }

// Guards against answers with gaps, repeats or chunks of other answers, and against answers that count as complete without
// their end marker.
func TestPush(t *testing.T) {
	tests := []struct {
		name     string
		options  Options
		chunks   []Chunk
		released []int64
		verdicts []Verdict
		complete bool
	}{
		{name: "in order", chunks: []Chunk{textChunk(answerID, 1), finishChunk(answerID, 2), endMarker(3)}, released: []int64{1, 2}, complete: true},
		{name: "no end marker", chunks: []Chunk{textChunk(answerID, 1), finishChunk(answerID, 2)}, released: []int64{1, 2}},
		{name: "end marker without finish reason", chunks: []Chunk{textChunk(answerID, 1), endMarker(2)}, released: []int64{1}},
		{name: "neighbours changed places", chunks: []Chunk{textChunk(answerID, 2), textChunk(answerID, 1), endMarker(4), finishChunk(answerID, 3)},
			released: []int64{1, 2, 3}, complete: true},
		{name: "repeated", chunks: []Chunk{textChunk(answerID, 1), textChunk(answerID, 1), textChunk(answerID, 3), textChunk(answerID, 3)},
			released: []int64{1}, verdicts: []Verdict{Accepted, Duplicate, Accepted, Duplicate}},
		{name: "foreign", chunks: []Chunk{textChunk(foreignID, 1), textChunk(answerID, 1), finishChunk(foreignID, 2), endMarker(3)},
			released: []int64{1}, verdicts: []Verdict{Foreign, Accepted, Foreign, Accepted}},
		{name: "early end marker does not take a chunk's place",
			chunks: []Chunk{textChunk(answerID, 1), endMarker(2), textChunk(answerID, 2), finishChunk(answerID, 3), endMarker(4)}, released: []int64{1, 2, 3}, complete: true},
		{name: "after the end", chunks: []Chunk{finishChunk(answerID, 1), endMarker(2), textChunk(answerID, 2)}, released: []int64{1}, complete: true,
			verdicts: []Verdict{Accepted, Accepted, AfterEnd}},
		{name: "outside the window", options: Options{Window: 2}, chunks: []Chunk{textChunk(answerID, 3), textChunk(answerID, 2)},
			verdicts: []Verdict{OutsideWindow, Accepted}},
		{name: "unnumbered", chunks: []Chunk{textChunk(answerID, 0), endMarker(0)}, verdicts: []Verdict{Unnumbered, Unnumbered}},
		{name: "usage missing", options: Options{RequireUsage: true}, chunks: []Chunk{finishChunk(answerID, 1), endMarker(2), usageChunk(2)},
			released: []int64{1, 2}},
		{name: "usage present", options: Options{RequireUsage: true}, chunks: []Chunk{finishChunk(answerID, 1), usageChunk(2), endMarker(3)},
			released: []int64{1, 2}, complete: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.options.CompletionID = answerID
			assembler := New(test.options)
			var released []int64
			for i, chunk := range test.chunks {
				ready, verdict := assembler.Push(chunk)
				for _, chunk := range ready {
					released = append(released, chunk.Sequence)
				}
				if test.verdicts != nil && verdict != test.verdicts[i] {
					t.Errorf("chunk %d: verdict %d, want %d", i, verdict, test.verdicts[i])
				}
			}
			if fmt.Sprint(released) != fmt.Sprint(test.released) || assembler.Complete() != test.complete {
				t.Errorf("released %v, complete %t, want %v, %t", released, assembler.Complete(), test.released, test.complete)
			}
		})
	}
}

// Guards, for arbitrary orders, repeats, foreign chunks and early end markers, against output that is not a prefix of the
// answer without gaps, against answers that count as complete without the end marker, and against answers that cannot be
// resumed.
func FuzzAssembler(f *testing.F) {
	f.Add(uint8(3), []byte{0, 1, 0, 2, 0, 3, 0, 4, 2, 5})
	f.Add(uint8(5), []byte{0, 2, 0, 1, 1, 1, 2, 2, 0, 4, 0, 3, 0, 3, 2, 7})
	f.Add(uint8(1), []byte{2, 1, 2, 2, 1, 1, 0, 2, 0, 1})
	f.Add(uint8(40), []byte{0, 41, 0, 30, 2, 41, 1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, length uint8, ops []byte) {
		lastSequence := int64(length) + 1
		answerChunk := func(sequence int64) Chunk {
			if sequence == lastSequence {
				return finishChunk(answerID, sequence)
			}
			return textChunk(answerID, sequence)
		}
		assembler := New(Options{CompletionID: answerID, Window: 8})
		var released int64
		endSeen := false
		push := func(chunk Chunk) {
			ready, _ := assembler.Push(chunk)
			for _, got := range ready {
				released++
				if got.End || got.CompletionID != answerID || got.Sequence != released || got.Sequence > lastSequence {
					t.Fatalf("chunk %d of %q was released at position %d", got.Sequence, got.CompletionID, released)
				}
			}
			endSeen = endSeen || (chunk.End && chunk.Sequence == lastSequence+1)
			if assembler.Complete() && (!endSeen || released != lastSequence) {
				t.Fatalf("complete after %d of %d chunks, end marker seen: %t", released, lastSequence, endSeen)
			}
			if assembler.BufferedCount() > 8 {
				t.Fatalf("%d chunks are buffered in a window of 8", assembler.BufferedCount())
			}
		}
		for ; len(ops) >= 2; ops = ops[2:] {
			sequence := int64(ops[1])
			switch ops[0] % 3 {
			case 0:
				if sequence <= lastSequence {
					push(answerChunk(sequence))
				}
			case 1:
				push(textChunk(foreignID, sequence))
			case 2:
				push(endMarker(sequence))
			}
		}
		for sequence := assembler.ResumeFrom() + 1; sequence <= lastSequence; sequence++ {
			push(answerChunk(sequence))
		}
		push(endMarker(lastSequence + 1))
		if !assembler.Complete() || released != lastSequence {
			t.Fatalf("resumed answer has %d of %d chunks, complete %t", released, lastSequence, assembler.Complete())
		}
	})
}
