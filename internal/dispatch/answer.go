package dispatch

import (
	"context"
	"strings"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/engine/stream"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/quality"
)

// Kinds of bill lines.
const (
	lineAnswer  = "answer"
	lineCascade = "cascade"
	linePartial = "partial"
	lineService = "service"
)

// tokensPerCostUnit is the number of tokens for which the declared costs hold.
const tokensPerCostUnit = 1000.0

// defaultRatingShare is the share of answers that are rated where the class declares none.
const defaultRatingShare = 0.05

// answer is what one step of a chain produced.
type answer struct {
	version declaration.VersionID
	text    strings.Builder
	chunks  int
	// usage is what the engine of the current attempt sent; it counts the tokens of that attempt only.
	usage *api.Usage
	// earlier counts the completion tokens of the attempts before the current one; earlierChunks counts their chunks.
	earlier       int
	earlierChunks int
	finishReason  string
	confidence    float64
	// escalate means that the answer was too weak to pass on.
	escalate bool
	// second means that the answer is the second step of a chain.
	second bool
	// promptTokens is the estimate that counts when the engine sent no usage.
	promptTokens int
}

// resume starts another attempt, which continues the answer after its last chunk.
func (a *answer) resume() {
	usage := a.tokens()
	a.earlier = usage.CompletionTokens
	a.earlierChunks = a.chunks
	a.promptTokens = usage.PromptTokens
	a.usage = nil
}

// add takes the next chunk of the answer.
func (a *answer) add(chunk stream.Chunk) {
	if chunk.Body.Usage != nil {
		a.usage = chunk.Body.Usage
	}
	if reason := finishReason(chunk); reason != "" {
		a.finishReason = reason
	}
	if text := chunkText(chunk); text != "" {
		a.chunks++
		a.text.WriteString(text)
	}
}

// tokens returns the tokens of the answer over all attempts: the prompt once, and the completion tokens of each attempt by
// the engine's usage, or by an estimate of one token a chunk if the attempt ended before its usage arrived.
func (a *answer) tokens() api.Usage {
	prompt, completion := a.promptTokens, a.chunks-a.earlierChunks
	if a.usage != nil {
		prompt, completion = a.usage.PromptTokens, a.usage.CompletionTokens
	}
	completion += a.earlier
	return api.Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

func (a *answer) line(kind string, snapshot *declaration.Snapshot) api.BillLine {
	usage := a.tokens()
	return api.BillLine{
		Kind:             kind,
		Model:            a.version.Model,
		Version:          a.version.Version,
		PromptTokens:     usage.PromptTokens,
		CompletionTokens: usage.CompletionTokens,
		Cost:             costOf(snapshot, a.version, usage.PromptTokens, usage.CompletionTokens),
	}
}

// costOf returns the cost units of an attempt.
func costOf(snapshot *declaration.Snapshot, id declaration.VersionID, prompt, completion int) float64 {
	version, ok := snapshot.Version(id)
	if !ok {
		return 0
	}
	return (version.InputCost*float64(prompt) + version.OutputCost*float64(completion)) / tokensPerCostUnit
}

// finish makes the bill durable and then passes the end marker on.
func (j *modelJob) finish(ctx context.Context, plan Plan, a *answer) *fault.Error {
	j.lines = append(j.lines, a.line(lineAnswer, j.router.Config.Snapshot()))
	if problem := j.commitBill(ctx, api.OutcomeAnswered); problem != nil {
		return problem
	}
	j.observePace(a)
	j.sample(plan, a)
	if err := j.start(ctx, a.version); err != nil {
		return fault.Unknown(fault.StepStream, fault.CodeCallerGone, "the caller left").WithCause(err)
	}
	event := Event{Kind: EventEnd, FinishReason: a.finishReason, Usage: a.tokens()}
	if err := j.reply.Send(ctx, event); err != nil {
		return fault.Unknown(fault.StepStream, fault.CodeCallerGone, "the caller left before the end of the answer").WithCause(err)
	}
	return nil
}

func (j *modelJob) commitBill(ctx context.Context, outcome api.Outcome) *fault.Error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline.Add(billGrace))
	defer cancel()
	err := j.router.Ledger.Commit(ctx, newBill(j.request.ID, j.request.Organisation, j.class.Name, j.request.IdempotencyKey, outcome, j.lines))
	if err == nil {
		return nil
	}
	return fault.Unknown(fault.StepBill, fault.CodeBillNotDurable, "the answer is complete but its bill is not durable").
		WithCause(err).
		WithAdvice("repeat the request with the same idempotency key; it is billed once")
}

func newBill(id, organisation, class, key string, outcome api.Outcome, lines []api.BillLine) api.Bill {
	identity := organisation + "/request/" + id
	if key != "" {
		identity = organisation + "/key/" + key
	}
	return api.Bill{
		Id:           identity,
		Organisation: organisation,
		Class:        class,
		RequestID:    id,
		UnixMillis:   time.Now().UnixMilli(),
		Outcome:      outcome,
		Lines:        lines,
	}
}

// billCut bills the tokens of an answer whose caller left midway. A request that failed before any text reached the caller
// costs nothing, and a cut answer is free because the caller cannot use it.
func (j *modelJob) billCut() {
	if j.ctx.Err() == nil || !j.started || len(j.lines) == 0 {
		return
	}
	if problem := j.commitBill(j.ctx, api.OutcomeUnknown); problem != nil {
		j.router.Log.Warn("bill of a cancelled request is not durable", "request_id", j.request.ID, "error", problem.Error())
	}
}

// sample offers an answer to the rating service. The answers of an explored chain are all rated.
func (j *modelJob) sample(plan Plan, a *answer) {
	rated := quality.Answer{
		ID:             j.request.ID + "/" + a.version.String(),
		Class:          j.class.Name,
		Version:        a.version,
		Text:           a.text.String(),
		Confidence:     a.confidence,
		QualityFloor:   plan.FirstQualityFloor,
		Delivered:      !a.escalate,
		RatingFraction: defaultRatingShare,
	}
	if a.second {
		rated.EscalatedFrom = plan.Chain.FirstVersion
		rated.QualityFloor = plan.SecondQualityFloor
	}
	if j.class.RatingShare != nil {
		rated.RatingFraction = *j.class.RatingShare
	}
	if plan.Explored {
		rated.RatingFraction = 1
	}
	if n := len(j.request.Body.Messages); n > 0 {
		rated.Prompt = j.request.Body.Messages[n-1].Content
	}
	j.router.Sampler.Sample(rated)
}
