// Package stream puts the chunks of one answer in order. It is pure: chunks come in by Push, in any order, repeated, late
// or mixed with those of other answers, and the assembler hands out a gapless prefix of the answer.
package stream

import "github.com/cicadawall/cicadawall/internal/api"

// DefaultWindow is the number of chunks that may wait for an earlier one. Engines reorder neighbours only; 64 chunks are
// 3.7 s of an answer at the target pace of 58 ms.
const DefaultWindow = 64

// Chunk is one numbered part of an answer.
type Chunk struct {
	// CompletionID names the answer; the end marker carries none.
	CompletionID string
	// Sequence counts from 1 without gaps, the end marker included; 0 means that the engine sent no number.
	Sequence int64
	// End marks the end of the answer; such a chunk has no body.
	End  bool
	Body api.ChatCompletionChunk
}

// Finished reports whether the chunk carries a finish reason.
func (c Chunk) Finished() bool {
	for _, choice := range c.Body.Choices {
		if choice.FinishReason != "" {
			return true
		}
	}
	return false
}

// Verdict says what became of a chunk.
type Verdict int

// Verdicts of Push. All but Accepted mean that the chunk was dropped.
const (
	// Accepted means that the chunk was handed out or waits for an earlier one.
	Accepted Verdict = iota
	// Duplicate means that a chunk with the number was accepted before.
	Duplicate
	// Foreign means that the chunk belongs to another answer.
	Foreign
	// AfterEnd means that the answer is complete already.
	AfterEnd
	// OutsideWindow means that too many earlier chunks are missing. The stream should be resumed.
	OutsideWindow
	// Unnumbered means that the chunk has no sequence number.
	Unnumbered
)

// Options of an Assembler.
type Options struct {
	// CompletionID is the id of the answer; chunks with another id are dropped.
	CompletionID string
	// Window is the number of chunks that may wait for an earlier one; default DefaultWindow.
	Window int
	// RequireUsage makes the answer complete only after a chunk with the usage.
	RequireUsage bool
}

// Assembler puts the chunks of one answer in order. It is not safe for concurrent use.
type Assembler struct {
	options Options
	// last is the number of the last chunk handed out.
	last    int64
	waiting map[int64]Chunk
	// ends holds the numbers of end markers ahead. They are kept apart from the chunks: a marker does not say which answer
	// it ends, so it must not take the place of a chunk.
	ends     map[int64]bool
	finished bool
	usage    bool
	complete bool
}

// New returns an assembler for one answer.
func New(options Options) *Assembler {
	if options.Window <= 0 {
		options.Window = DefaultWindow
	}
	return &Assembler{options: options, waiting: map[int64]Chunk{}, ends: map[int64]bool{}}
}

// Push takes one chunk and returns the chunks that are next in order, which may be none. The end marker is never returned;
// it makes Complete true.
func (a *Assembler) Push(chunk Chunk) ([]Chunk, Verdict) {
	if verdict := a.judge(chunk); verdict != Accepted {
		return nil, verdict
	}
	if chunk.End {
		a.ends[chunk.Sequence] = true
	} else {
		a.waiting[chunk.Sequence] = chunk
	}
	return a.release(), Accepted
}

func (a *Assembler) judge(chunk Chunk) Verdict {
	switch {
	case a.complete:
		return AfterEnd
	case !chunk.End && chunk.CompletionID != a.options.CompletionID:
		return Foreign
	case chunk.Sequence <= 0:
		return Unnumbered
	case chunk.Sequence <= a.last:
		return Duplicate
	case chunk.Sequence > a.last+int64(a.options.Window):
		return OutsideWindow
	case chunk.End && a.ends[chunk.Sequence]:
		return Duplicate
	}
	if _, ok := a.waiting[chunk.Sequence]; ok && !chunk.End {
		return Duplicate
	}
	return Accepted
}

// release hands out the chunks that follow the last one and then checks for the end.
func (a *Assembler) release() []Chunk {
	var ready []Chunk
	for {
		chunk, ok := a.waiting[a.last+1]
		if !ok {
			break
		}
		a.last++
		delete(a.waiting, a.last)
		delete(a.ends, a.last)
		a.finished = a.finished || chunk.Finished()
		a.usage = a.usage || chunk.Body.Usage != nil
		ready = append(ready, chunk)
	}
	if a.ends[a.last+1] && a.finished && (a.usage || !a.options.RequireUsage) {
		a.complete = true
		clear(a.waiting)
	}
	return ready
}

// Complete reports whether the whole answer was handed out and its end marker was seen.
func (a *Assembler) Complete() bool { return a.complete }

// ResumeFrom returns the number of the last chunk handed out, from which a resumed stream continues.
func (a *Assembler) ResumeFrom() int64 { return a.last }

// Waiting returns the number of chunks that wait for an earlier one.
func (a *Assembler) Waiting() int { return len(a.waiting) }
