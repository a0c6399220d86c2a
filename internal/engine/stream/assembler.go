// Package stream puts the chunks of one answer in order. Chunks passed to Push may be reordered, repeated, late or mixed with
// chunks of other answers; the assembler releases a prefix of the answer without gaps. The package does no I/O.
package stream

import "github.com/cicadawall/cicadawall/internal/api"

// DefaultWindow is the default of Options.Window. Engines only swap neighbouring chunks; 64 chunks are 3.7 s of an answer at
// the target inter-token latency of 58 ms.
const DefaultWindow = 64

// Chunk is one numbered part of an answer.
type Chunk struct {
	// CompletionID identifies the answer; it is empty for the end marker.
	CompletionID string
	// Sequence counts from 1 without gaps and includes the end marker; 0 means that the engine sent no number.
	Sequence int64
	// End is true for the end marker, which has no body.
	End  bool
	Body api.ChatCompletionChunk
}

// HasFinishReason reports whether the chunk carries a finish reason.
func (c Chunk) HasFinishReason() bool {
	for _, choice := range c.Body.Choices {
		if choice.FinishReason != "" {
			return true
		}
	}
	return false
}

// Verdict is the result of Push for one chunk.
type Verdict int

// Verdicts of Push. All but Accepted mean that the chunk was dropped.
const (
	// Accepted means that the chunk was released, or buffered until the chunks before it arrive.
	Accepted Verdict = iota
	// Duplicate means that a chunk with the same sequence number was accepted before.
	Duplicate
	// Foreign means that the chunk belongs to another answer.
	Foreign
	// AfterEnd means that the answer is already complete.
	AfterEnd
	// OutsideWindow means that too many earlier chunks are missing. The stream should be resumed.
	OutsideWindow
	// Unnumbered means that the chunk has no sequence number.
	Unnumbered
)

// Options configures an Assembler.
type Options struct {
	// CompletionID is the id of the answer; chunks with another id are dropped.
	CompletionID string
	// Window is the number of sequence numbers beyond the last released chunk that are accepted; default DefaultWindow.
	Window int
	// RequireUsage makes a chunk with the token usage a condition for a complete answer.
	RequireUsage bool
}

// Assembler puts the chunks of one answer in order. It is not safe for concurrent use.
type Assembler struct {
	options Options
	// lastReleased is the sequence number of the last released chunk.
	lastReleased int64
	buffered     map[int64]Chunk
	// endMarkers holds the sequence numbers of the end markers received ahead of their turn. They are kept apart from the
	// buffered chunks: an end marker does not identify its answer, so it must not replace a chunk with the same number.
	endMarkers       map[int64]bool
	finishReasonSeen bool
	usageSeen        bool
	complete         bool
}

// New returns an assembler for one answer.
func New(options Options) *Assembler {
	if options.Window <= 0 {
		options.Window = DefaultWindow
	}
	return &Assembler{options: options, buffered: map[int64]Chunk{}, endMarkers: map[int64]bool{}}
}

// Push adds one chunk and returns the chunks that it releases in order, which may be none. The end marker is never returned;
// it makes Complete true.
func (a *Assembler) Push(chunk Chunk) ([]Chunk, Verdict) {
	if verdict := a.classify(chunk); verdict != Accepted {
		return nil, verdict
	}
	if chunk.End {
		a.endMarkers[chunk.Sequence] = true
	} else {
		a.buffered[chunk.Sequence] = chunk
	}
	return a.releaseInOrder(), Accepted
}

func (a *Assembler) classify(chunk Chunk) Verdict {
	switch {
	case a.complete:
		return AfterEnd
	case !chunk.End && chunk.CompletionID != a.options.CompletionID:
		return Foreign
	case chunk.Sequence <= 0:
		return Unnumbered
	case chunk.Sequence <= a.lastReleased:
		return Duplicate
	case chunk.Sequence > a.lastReleased+int64(a.options.Window):
		return OutsideWindow
	case chunk.End && a.endMarkers[chunk.Sequence]:
		return Duplicate
	}
	if _, ok := a.buffered[chunk.Sequence]; ok && !chunk.End {
		return Duplicate
	}
	return Accepted
}

// releaseInOrder returns the buffered chunks that follow the last released one without a gap, and then checks whether the
// answer is complete.
func (a *Assembler) releaseInOrder() []Chunk {
	var ready []Chunk
	for {
		chunk, ok := a.buffered[a.lastReleased+1]
		if !ok {
			break
		}
		a.lastReleased++
		delete(a.buffered, a.lastReleased)
		delete(a.endMarkers, a.lastReleased)
		a.finishReasonSeen = a.finishReasonSeen || chunk.HasFinishReason()
		a.usageSeen = a.usageSeen || chunk.Body.Usage != nil
		ready = append(ready, chunk)
	}
	if a.endMarkers[a.lastReleased+1] && a.finishReasonSeen && (a.usageSeen || !a.options.RequireUsage) {
		a.complete = true
		clear(a.buffered)
	}
	return ready
}

// Complete reports whether the whole answer has been released and its end marker has arrived.
func (a *Assembler) Complete() bool { return a.complete }

// ResumeFrom returns the sequence number of the last released chunk, after which a resumed stream continues.
func (a *Assembler) ResumeFrom() int64 { return a.lastReleased }

// BufferedCount returns the number of chunks that are buffered until an earlier one arrives.
func (a *Assembler) BufferedCount() int { return len(a.buffered) }
