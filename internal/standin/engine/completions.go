package engine

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/engine/prefix"
	"github.com/cicadawall/cicadawall/internal/standin/common"
)

// completion is one accepted request.
type completion struct {
	id      string
	request api.ChatCompletionRequest
	version api.EngineStandinVersion
	prompt  string
	answer  answer
	// resumeFrom is the number of chunks that the client has received already.
	resumeFrom int
	plan       faultPlan
}

func (s *Server) handleCompletion(c echo.Context) error {
	var request api.ChatCompletionRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	if s.state.getSettings().Draining {
		return s.refuse(c, http.StatusServiceUnavailable, "draining", "the engine takes no new work")
	}
	model, versionName, _ := strings.Cut(request.Model, "@")
	version, ok := s.state.findLoaded(model, versionName, time.Now())
	if !ok {
		return s.refuse(c, http.StatusNotFound, "version_not_loaded", request.Model+" is not loaded")
	}
	plan := s.state.nextFaultPlan()
	if plan.fail {
		detail := api.ErrorDetail{Message: "failure on command", Type: "server_error", Code: "failed", Outcome: api.OutcomeUnknown}
		return c.JSON(http.StatusInternalServerError, api.ErrorBody{Error: detail})
	}
	if plan.close {
		common.CloseConnection()
	}
	completion := newCompletion(c, request, version, plan)
	return s.run(c, completion)
}

func newCompletion(c echo.Context, request api.ChatCompletionRequest, version api.EngineStandinVersion, plan faultPlan) *completion {
	prompt := prefix.Render(request.Messages)
	resumeFrom, _ := strconv.Atoi(c.Request().Header.Get(resumeHeader))
	id := c.Request().Header.Get(completionHeader)
	if id == "" {
		id = "chatcmpl-" + uuid.NewString()
	}
	return &completion{
		id:         id,
		request:    request,
		version:    version,
		prompt:     prompt,
		answer:     generateAnswer(version, prompt, requestedSeed(request), requestedMaxTokens(request)),
		resumeFrom: max(0, resumeFrom),
		plan:       plan,
	}
}

// run queues the completion and sends its tokens to the client.
func (s *Server) run(c echo.Context, completion *completion) error {
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	blocks := blockNames(completion.version, completion.prompt)
	sequence := s.newSequence(ctx, completion, blocks)
	s.registry.add(completion.id, cancel, blocks)
	sequence.priority, _ = strconv.Atoi(c.Request().Header.Get(priorityHeader))
	if !s.queue.push(sequence) {
		return s.refuse(c, http.StatusTooManyRequests, "queue_full", "the queue is full")
	}
	stop := context.AfterFunc(ctx, func() {
		if s.queue.remove(sequence) {
			s.state.countEnded(true)
			close(sequence.tokens)
		}
	})
	defer stop()
	s.state.countStarted(completion.version.Model, completion.version.Version)
	if completion.request.Stream {
		return s.answerStream(c, completion, sequence)
	}
	return s.answerWhole(c, completion, sequence)
}

// blockNames returns the names of the prompt's blocks in the form that cache events use.
func blockNames(version api.EngineStandinVersion, prompt string) []string {
	blocks := prefix.Blocks(declaration.VersionID{Model: version.Model, Version: version.Version}, prompt)
	names := make([]string, 0, len(blocks))
	for _, block := range blocks {
		names = append(names, block.String())
	}
	return names
}

// newSequence returns the completion's sequence for the queue. Cached blocks need no prefill, and neither do the tokens of a
// resumed answer if this engine has the KV cache of the completion.
func (s *Server) newSequence(ctx context.Context, completion *completion, blocks []string) *sequence {
	settings := s.state.getSettings()
	hits := s.cache.lookUpAndStore(blocks, settings, time.Now())
	prefillTokens := promptTokens(completion.prompt[hits*prefix.BlockBytes:])
	totalTokens := len(completion.answer.tokens)
	if _, known := s.registry.find(completion.id); !known {
		prefillTokens += min(completion.resumeFrom, totalTokens)
	}
	return &sequence{
		ctx:           ctx,
		id:            completion.id,
		prefillTime:   time.Duration(float64(prefillTokens) * settings.PrefillMicros * float64(time.Microsecond)),
		tokenInterval: time.Duration(settings.TokenMillis * float64(time.Millisecond)),
		resumeFrom:    min(completion.resumeFrom, totalTokens),
		totalTokens:   totalTokens,
		tokens:        make(chan int, totalTokens),
		onDone: func(cancelled bool) {
			s.queue.sequenceEnded()
			s.state.countEnded(cancelled)
		},
	}
}

// answerWhole waits for all tokens and answers with the whole completion. It closes the connection if the sequence was
// interrupted.
func (s *Server) answerWhole(c echo.Context, completion *completion, sequence *sequence) error {
	received := 0
	for range sequence.tokens {
		received++
	}
	if received < sequence.totalTokens-sequence.resumeFrom {
		common.CloseConnection()
	}
	return c.JSON(http.StatusOK, completion.wholeAnswer())
}

// answerStream sends the tokens as server-sent events and applies the faults of the plan.
func (s *Server) answerStream(c echo.Context, completion *completion, sequence *sequence) error {
	writer := newFrameWriter(c, completion)
	for index := range sequence.tokens {
		writer.write(completion.tokenFrame(index))
	}
	if c.Request().Context().Err() != nil || !writer.wroteAllTokens(sequence) {
		common.CloseConnection()
	}
	for _, frame := range completion.endFrames() {
		writer.write(frame)
	}
	writer.flush()
	return nil
}
