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

// Kinds of bill lines: a complete answer, the first answer of a chain that was escalated to the second version, an answer
// that the caller received in part, and a call of a plain service.
const (
	billLineAnswer  = "answer"
	billLineCascade = "cascade"
	billLinePartial = "partial"
	billLineService = "service"
)

// tokensPerCostUnit is the number of tokens that a declared cost applies to: costs are declared per 1000 tokens.
const tokensPerCostUnit = 1000.0

// defaultRatingFraction is the fraction of answers to rate if the class declares no ratingShare.
const defaultRatingFraction = 0.05

// answer accumulates the output of one step of a chain over all its attempts.
type answer struct {
	version    declaration.VersionID
	text       strings.Builder
	textChunks int
	// usage is the usage report of the current attempt's engine and counts the tokens of that attempt only; nil until it
	// arrives.
	usage *api.Usage
	// earlierCompletionTokens and earlierTextChunks count the completion tokens and the chunks with text of the attempts before
	// the current one.
	earlierCompletionTokens int
	earlierTextChunks       int
	finishReason            string
	confidence              float64
	// escalate means that the confidence of the answer is below the chain's threshold, so that the second step must run.
	escalate bool
	// secondStep means that the answer comes from the second step of a chain.
	secondStep bool
	// promptTokens is used if the current attempt reports no usage: an estimate, or the number that an earlier attempt
	// reported.
	promptTokens int
}

// beginAttempt saves the token counts so far before the next attempt, which continues the answer after its last chunk.
func (a *answer) beginAttempt() {
	usage := a.totalUsage()
	a.earlierCompletionTokens = usage.CompletionTokens
	a.earlierTextChunks = a.textChunks
	a.promptTokens = usage.PromptTokens
	a.usage = nil
}

// add appends the next chunk to the answer.
func (a *answer) add(chunk stream.Chunk) {
	if chunk.Body.Usage != nil {
		a.usage = chunk.Body.Usage
	}
	if reason := finishReason(chunk); reason != "" {
		a.finishReason = reason
	}
	if text := chunkText(chunk); text != "" {
		a.textChunks++
		a.text.WriteString(text)
	}
}

// totalUsage returns the tokens of the answer over all attempts. It counts the prompt once. The completion tokens of an
// attempt are those that its engine reported, or one per chunk if the attempt ended before its usage report arrived.
func (a *answer) totalUsage() api.Usage {
	prompt, completion := a.promptTokens, a.textChunks-a.earlierTextChunks
	if a.usage != nil {
		prompt, completion = a.usage.PromptTokens, a.usage.CompletionTokens
	}
	completion += a.earlierCompletionTokens
	return api.Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

func (a *answer) billLine(kind string, snapshot *declaration.Snapshot) api.BillLine {
	usage := a.totalUsage()
	return api.BillLine{
		Kind:             kind,
		Model:            a.version.Model,
		Version:          a.version.Version,
		PromptTokens:     usage.PromptTokens,
		CompletionTokens: usage.CompletionTokens,
		Cost:             tokenCost(snapshot, a.version, usage.PromptTokens, usage.CompletionTokens),
	}
}

// tokenCost returns the cost of the tokens on a version in cost units; 0 if the version is not declared.
func tokenCost(snapshot *declaration.Snapshot, id declaration.VersionID, promptTokens, completionTokens int) float64 {
	version, ok := snapshot.Version(id)
	if !ok {
		return 0
	}
	return (version.InputCost*float64(promptTokens) + version.OutputCost*float64(completionTokens)) / tokensPerCostUnit
}

// finishAnswer makes the bill durable and only then sends the end marker to the caller.
func (j *modelJob) finishAnswer(ctx context.Context, plan Plan, a *answer) *fault.Error {
	j.billLines = append(j.billLines, a.billLine(billLineAnswer, j.router.Config.Snapshot()))
	if problem := j.commitBill(ctx, api.OutcomeAnswered); problem != nil {
		return problem
	}
	j.observeInterTokenLatency(a)
	j.sampleAnswer(plan, a)
	if err := j.sendStart(ctx, a.version); err != nil {
		return fault.Unknown(fault.StepStream, fault.CodeCallerGone, "the caller disconnected").WithCause(err)
	}
	event := Event{Kind: EventEnd, FinishReason: a.finishReason, Usage: a.totalUsage()}
	if err := j.reply.Send(ctx, event); err != nil {
		return fault.Unknown(fault.StepStream, fault.CodeCallerGone, "the caller disconnected before the end of the answer").WithCause(err)
	}
	return nil
}

func (j *modelJob) commitBill(ctx context.Context, outcome api.Outcome) *fault.Error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline.Add(billGracePeriod))
	defer cancel()
	err := j.router.Ledger.Commit(ctx, newBill(j.request.ID, j.request.Organisation, j.class.Name, j.request.IdempotencyKey, outcome, j.billLines))
	if err == nil {
		return nil
	}
	return fault.Unknown(fault.StepBill, fault.CodeBillNotDurable, "the answer is complete but its bill is not durable").
		WithCause(err).
		WithAdvice("repeat the request with the same idempotency key; it is billed once")
}

func newBill(requestID, organisation, class, idempotencyKey string, outcome api.Outcome, lines []api.BillLine) api.Bill {
	billID := organisation + "/request/" + requestID
	if idempotencyKey != "" {
		billID = organisation + "/key/" + idempotencyKey
	}
	return api.Bill{
		Id:           billID,
		Organisation: organisation,
		Class:        class,
		RequestID:    requestID,
		UnixMillis:   time.Now().UnixMilli(),
		Outcome:      outcome,
		Lines:        lines,
	}
}

// billCancelled bills the tokens of an answer whose caller disconnected before its end. A request that failed before any text
// reached the caller costs nothing. An answer that was cut by a failure is free because the caller cannot use it.
func (j *modelJob) billCancelled() {
	if j.ctx.Err() == nil || !j.replyStarted || len(j.billLines) == 0 {
		return
	}
	if problem := j.commitBill(j.ctx, api.OutcomeUnknown); problem != nil {
		j.router.Log.Warn("failed to make the bill of a cancelled request durable", "request_id", j.request.ID, "error", problem.Error())
	}
}

// sampleAnswer passes an answer to the sampler, which selects answers for the rating service. All answers of an exploration
// chain are rated.
func (j *modelJob) sampleAnswer(plan Plan, a *answer) {
	rated := quality.Answer{
		ID:             j.request.ID + "/" + a.version.String(),
		Class:          j.class.Name,
		Version:        a.version,
		Text:           a.text.String(),
		Confidence:     a.confidence,
		QualityFloor:   plan.FirstQualityFloor,
		Delivered:      !a.escalate,
		RatingFraction: defaultRatingFraction,
	}
	if a.secondStep {
		rated.EscalatedFrom = plan.Chain.FirstVersion
		rated.QualityFloor = plan.SecondQualityFloor
	}
	if j.class.RatingFraction != nil {
		rated.RatingFraction = *j.class.RatingFraction
	}
	if plan.Explored {
		rated.RatingFraction = 1
	}
	if n := len(j.request.Body.Messages); n > 0 {
		rated.Prompt = j.request.Body.Messages[n-1].Content
	}
	j.router.Sampler.Sample(rated)
}
