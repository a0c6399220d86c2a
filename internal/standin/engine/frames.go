package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/standin/common"
)

// endMarker is the data of a stream's last event.
const endMarker = "[DONE]"

// frame is one server-sent event.
type frame struct {
	sequence int
	data     string
}

func (f frame) encode() []byte { return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", f.sequence, f.data) }

func (d *completion) chunk(choices []api.ChunkChoice, usage *api.Usage) string {
	chunk := api.ChatCompletionChunk{
		Id: d.id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: d.request.Model,
		Choices: choices, Usage: usage,
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(fmt.Sprintf("encode chunk: %v", err))
	}
	return string(data)
}

// tokenFrame returns the event of one token; the first token of the answer has number 1.
func (d *completion) tokenFrame(index int) frame {
	choice := api.ChunkChoice{Delta: api.ChunkDelta{Content: d.answer.tokens[index]}}
	if index == 0 {
		choice.Delta.Role = "assistant"
	}
	if d.request.Logprobs {
		choice.Logprobs = d.logprobs(index, index+1)
	}
	return frame{sequence: index + 1, data: d.chunk([]api.ChunkChoice{choice}, nil)}
}

func (d *completion) logprobs(from, to int) *api.Logprobs {
	logprobs := &api.Logprobs{Content: []api.TokenLogprob{}}
	for i := from; i < to; i++ {
		logprobs.Content = append(logprobs.Content, api.TokenLogprob{Token: d.answer.tokens[i], Logprob: d.answer.logprobs[i]})
	}
	return logprobs
}

// usage returns the token counts; the tokens that a resumed answer skips are not counted.
func (d *completion) usage() *api.Usage {
	prompt := promptTokens(d.prompt)
	generated := max(0, len(d.answer.tokens)-d.resumeFrom)
	return &api.Usage{PromptTokens: prompt, CompletionTokens: generated, TotalTokens: prompt + generated}
}

// endFrames returns the events after the last token: the finish reason, the usage if requested, and the end marker. A
// resumed answer leaves out the events that the client has received already.
func (d *completion) endFrames() []frame {
	next := len(d.answer.tokens) + 1
	choice := api.ChunkChoice{FinishReason: d.answer.finishReason}
	frames := []frame{{sequence: next, data: d.chunk([]api.ChunkChoice{choice}, nil)}}
	if d.request.StreamOptions != nil && d.request.StreamOptions.IncludeUsage {
		next++
		frames = append(frames, frame{sequence: next, data: d.chunk([]api.ChunkChoice{}, d.usage())})
	}
	frames = append(frames, frame{sequence: next + 1, data: endMarker})
	for len(frames) > 0 && frames[0].sequence <= d.resumeFrom {
		frames = frames[1:]
	}
	return frames
}

func (d *completion) wholeAnswer() api.ChatCompletion {
	message := api.ChatMessage{Role: "assistant"}
	for _, token := range d.answer.tokens[min(d.resumeFrom, len(d.answer.tokens)):] {
		message.Content += token
	}
	choice := api.ChatChoice{Message: message, FinishReason: d.answer.finishReason}
	if d.request.Logprobs {
		choice.Logprobs = d.logprobs(0, len(d.answer.tokens))
	}
	return api.ChatCompletion{
		Id: d.id, Object: "chat.completion", Created: time.Now().Unix(), Model: d.request.Model,
		Choices: []api.ChatChoice{choice}, Usage: d.usage(),
	}
}

// frameWriter writes events and applies the completion's faults.
type frameWriter struct {
	c          echo.Context
	completion *completion
	// frameCount counts the events that were passed to write; because of faults, more or fewer may be sent.
	frameCount int
	// delayed is an event that the reorder fault sends after the next event.
	delayed *frame
}

func newFrameWriter(c echo.Context, completion *completion) *frameWriter {
	return &frameWriter{c: c, completion: completion}
}

// wroteAllTokens reports whether all tokens of the sequence were passed to write.
func (w *frameWriter) wroteAllTokens(sequence *sequence) bool {
	return w.frameCount == sequence.totalTokens-sequence.resumeFrom
}

// write sends one event and applies the faults of the plan.
func (w *frameWriter) write(f frame) {
	plan := w.completion.plan
	if plan.cut && w.frameCount >= plan.cutAfter {
		common.CloseConnection()
	}
	if plan.stall && w.frameCount == plan.stallAfter {
		common.Sleep(w.c.Request().Context(), time.Duration(plan.stallMillis)*time.Millisecond)
	}
	w.frameCount++
	if plan.foreign {
		foreign := *w.completion
		foreign.id = "chatcmpl-foreign"
		choice := api.ChunkChoice{Delta: api.ChunkDelta{Content: "foreign"}}
		w.send(frame{sequence: f.sequence, data: foreign.chunk([]api.ChunkChoice{choice}, nil)})
	}
	if plan.reorder && w.delayed == nil {
		w.delayed = &f
		return
	}
	w.send(f)
	if plan.duplicate {
		w.send(f)
	}
	w.flush()
}

// flush sends the delayed event, if there is one.
func (w *frameWriter) flush() {
	if w.delayed == nil {
		return
	}
	f := *w.delayed
	w.delayed = nil
	w.send(f)
}

func (w *frameWriter) send(f frame) {
	response := w.c.Response()
	if !response.Committed {
		response.Header().Set("Content-Type", "text/event-stream")
		response.Header().Set("Cache-Control", "no-cache")
		response.WriteHeader(http.StatusOK)
	}
	_, _ = response.Write(f.encode())
	response.Flush()
}
