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
	// from is the number of chunks that the client has already.
	from int
	plan plan
}

func (s *Server) completions(c echo.Context) error {
	var request api.ChatCompletionRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	if s.state.getSettings().Draining {
		return s.refuse(c, http.StatusServiceUnavailable, "draining", "the engine takes no new work")
	}
	model, name, _ := strings.Cut(request.Model, "@")
	version, ok := s.state.loaded(model, name, time.Now())
	if !ok {
		return s.refuse(c, http.StatusNotFound, "version_not_loaded", request.Model+" is not loaded")
	}
	plan := s.state.plan()
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

func newCompletion(c echo.Context, request api.ChatCompletionRequest, version api.EngineStandinVersion, plan plan) *completion {
	prompt := prefix.Render(request.Messages)
	from, _ := strconv.Atoi(c.Request().Header.Get(resumeHeader))
	id := c.Request().Header.Get(completionHeader)
	if id == "" {
		id = "chatcmpl-" + uuid.NewString()
	}
	return &completion{
		id:      id,
		request: request,
		version: version,
		prompt:  prompt,
		answer:  compose(version, prompt, seedOf(request), limitOf(request)),
		from:    max(0, from),
		plan:    plan,
	}
}

// run queues the completion and relays its tokens.
func (s *Server) run(c echo.Context, done *completion) error {
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	blocks := blockNames(done.version, done.prompt)
	sequence := s.sequence(ctx, done, blocks)
	s.registry.add(done.id, cancel, blocks)
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
	s.state.countStarted(done.version.Model, done.version.Version)
	if done.request.Stream {
		return s.stream(c, done, sequence)
	}
	return s.whole(c, done, sequence)
}

// blockNames returns the names of the prompt's blocks as the cache events carry them.
func blockNames(version api.EngineStandinVersion, prompt string) []string {
	blocks := prefix.Blocks(declaration.VersionID{Model: version.Model, Version: version.Version}, prompt)
	names := make([]string, 0, len(blocks))
	for _, block := range blocks {
		names = append(names, block.String())
	}
	return names
}

// sequence computes the work of the completion. Cached blocks need no prefill, and neither do the tokens of a resumed
// answer if this engine has the KV cache of the completion.
func (s *Server) sequence(ctx context.Context, done *completion, blocks []string) *sequence {
	settings := s.state.getSettings()
	hits := s.cache.use(blocks, settings, time.Now())
	fresh := promptTokens(done.prompt[hits*prefix.BlockBytes:])
	total := len(done.answer.tokens)
	if _, known := s.registry.find(done.id); !known {
		fresh += min(done.from, total)
	}
	return &sequence{
		ctx:      ctx,
		id:       done.id,
		prefill:  time.Duration(float64(fresh) * settings.PrefillMicros * float64(time.Microsecond)),
		interval: time.Duration(settings.TokenMillis * float64(time.Millisecond)),
		from:     min(done.from, total),
		total:    total,
		tokens:   make(chan int, total),
		done: func(cancelled bool) {
			s.queue.ended()
			s.state.countEnded(cancelled)
		},
	}
}

// whole collects the tokens and answers once.
func (s *Server) whole(c echo.Context, done *completion, sequence *sequence) error {
	received := 0
	for range sequence.tokens {
		received++
	}
	if received < sequence.total-sequence.from {
		common.CloseConnection()
	}
	return c.JSON(http.StatusOK, done.wholeAnswer())
}

// stream relays the tokens as server-sent events, with the faults of the plan.
func (s *Server) stream(c echo.Context, done *completion, sequence *sequence) error {
	writer := newFrameWriter(c, done)
	for index := range sequence.tokens {
		writer.write(done.tokenFrame(index))
	}
	if c.Request().Context().Err() != nil || !writer.sawAll(sequence) {
		common.CloseConnection()
	}
	for _, frame := range done.endFrames() {
		writer.write(frame)
	}
	writer.flush()
	return nil
}
