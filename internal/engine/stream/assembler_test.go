package stream

import (
	"fmt"
	"testing"

	"github.com/cicadawall/cicadawall/internal/api"
)

const (
	ownID     = "own"
	foreignID = "foreign"
)

// text returns chunk number sequence of an answer.
func text(id string, sequence int64) Chunk {
	delta := api.ChunkDelta{Content: fmt.Sprintf("%s-%d ", id, sequence)}
	body := api.ChatCompletionChunk{Id: id, Choices: []api.ChunkChoice{{Delta: delta}}}
	return Chunk{CompletionID: id, Sequence: sequence, Body: body}
}

func finish(id string, sequence int64) Chunk {
	body := api.ChatCompletionChunk{Id: id, Choices: []api.ChunkChoice{{FinishReason: "stop"}}}
	return Chunk{CompletionID: id, Sequence: sequence, Body: body}
}

func usage(sequence int64) Chunk {
	return Chunk{CompletionID: ownID, Sequence: sequence, Body: api.ChatCompletionChunk{Id: ownID, Usage: &api.Usage{}}}
}

func end(sequence int64) Chunk { return Chunk{Sequence: sequence, End: true} }

// Guards against answers with gaps, repeats or parts of other answers, and against a whole answer without its end marker.
func TestPush(t *testing.T) {
	tests := []struct {
		name     string
		options  Options
		chunks   []Chunk
		out      []int64
		verdicts []Verdict
		complete bool
	}{
		{name: "in order", chunks: []Chunk{text(ownID, 1), finish(ownID, 2), end(3)}, out: []int64{1, 2}, complete: true},
		{name: "no end marker", chunks: []Chunk{text(ownID, 1), finish(ownID, 2)}, out: []int64{1, 2}},
		{name: "end marker without finish reason", chunks: []Chunk{text(ownID, 1), end(2)}, out: []int64{1}},
		{name: "neighbours changed places", chunks: []Chunk{text(ownID, 2), text(ownID, 1), end(4), finish(ownID, 3)},
			out: []int64{1, 2, 3}, complete: true},
		{name: "repeated", chunks: []Chunk{text(ownID, 1), text(ownID, 1), text(ownID, 3), text(ownID, 3)},
			out: []int64{1}, verdicts: []Verdict{Accepted, Duplicate, Accepted, Duplicate}},
		{name: "foreign", chunks: []Chunk{text(foreignID, 1), text(ownID, 1), finish(foreignID, 2), end(3)},
			out: []int64{1}, verdicts: []Verdict{Foreign, Accepted, Foreign, Accepted}},
		{name: "early end marker does not take a chunk's place",
			chunks: []Chunk{text(ownID, 1), end(2), text(ownID, 2), finish(ownID, 3), end(4)}, out: []int64{1, 2, 3}, complete: true},
		{name: "after the end", chunks: []Chunk{finish(ownID, 1), end(2), text(ownID, 2)}, out: []int64{1}, complete: true,
			verdicts: []Verdict{Accepted, Accepted, AfterEnd}},
		{name: "outside the window", options: Options{Window: 2}, chunks: []Chunk{text(ownID, 3), text(ownID, 2)},
			verdicts: []Verdict{OutsideWindow, Accepted}},
		{name: "unnumbered", chunks: []Chunk{text(ownID, 0), end(0)}, verdicts: []Verdict{Unnumbered, Unnumbered}},
		{name: "usage missing", options: Options{RequireUsage: true}, chunks: []Chunk{finish(ownID, 1), end(2), usage(2)},
			out: []int64{1, 2}},
		{name: "usage present", options: Options{RequireUsage: true}, chunks: []Chunk{finish(ownID, 1), usage(2), end(3)},
			out: []int64{1, 2}, complete: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.options.CompletionID = ownID
			assembler := New(test.options)
			var out []int64
			for i, chunk := range test.chunks {
				ready, verdict := assembler.Push(chunk)
				for _, chunk := range ready {
					out = append(out, chunk.Sequence)
				}
				if test.verdicts != nil && verdict != test.verdicts[i] {
					t.Errorf("chunk %d: verdict %d, want %d", i, verdict, test.verdicts[i])
				}
			}
			if fmt.Sprint(out) != fmt.Sprint(test.out) || assembler.Complete() != test.complete {
				t.Errorf("out %v complete %t, want %v %t", out, assembler.Complete(), test.out, test.complete)
			}
		})
	}
}

// Guards, over arbitrary orders, repeats, foreign chunks and early end markers, against output that is not a gapless
// prefix of the answer, against completeness without the end marker, and against an answer that cannot be resumed.
func FuzzAssembler(f *testing.F) {
	f.Add(uint8(3), []byte{0, 1, 0, 2, 0, 3, 0, 4, 2, 5})
	f.Add(uint8(5), []byte{0, 2, 0, 1, 1, 1, 2, 2, 0, 4, 0, 3, 0, 3, 2, 7})
	f.Add(uint8(1), []byte{2, 1, 2, 2, 1, 1, 0, 2, 0, 1})
	f.Add(uint8(40), []byte{0, 41, 0, 30, 2, 41, 1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, length uint8, ops []byte) {
		last := int64(length) + 1
		answer := func(sequence int64) Chunk {
			if sequence == last {
				return finish(ownID, sequence)
			}
			return text(ownID, sequence)
		}
		assembler := New(Options{CompletionID: ownID, Window: 8})
		var out int64
		endSeen := false
		push := func(chunk Chunk) {
			ready, _ := assembler.Push(chunk)
			for _, got := range ready {
				out++
				if got.End || got.CompletionID != ownID || got.Sequence != out || got.Sequence > last {
					t.Fatalf("chunk %d of %q came out at place %d", got.Sequence, got.CompletionID, out)
				}
			}
			endSeen = endSeen || (chunk.End && chunk.Sequence == last+1)
			if assembler.Complete() && (!endSeen || out != last) {
				t.Fatalf("complete after %d of %d chunks, end marker seen: %t", out, last, endSeen)
			}
			if assembler.Waiting() > 8 {
				t.Fatalf("%d chunks wait in a window of 8", assembler.Waiting())
			}
		}
		for ; len(ops) >= 2; ops = ops[2:] {
			sequence := int64(ops[1])
			switch ops[0] % 3 {
			case 0:
				if sequence <= last {
					push(answer(sequence))
				}
			case 1:
				push(text(foreignID, sequence))
			case 2:
				push(end(sequence))
			}
		}
		for sequence := assembler.ResumeFrom() + 1; sequence <= last; sequence++ {
			push(answer(sequence))
		}
		push(end(last + 1))
		if !assembler.Complete() || out != last {
			t.Fatalf("resumed answer has %d of %d chunks, complete %t", out, last, assembler.Complete())
		}
	})
}
